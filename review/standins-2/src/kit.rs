//! What all cases share: the record, the clock, base64, the project's processes and a temporary folder.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: `record.txt` of the case's folder.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(fs::File, Instant)>>);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).expect("record.txt can be written");
        Record(Arc::new(Mutex::new((file, Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let mut guard = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let at = guard.1.elapsed().as_millis();
        let _ = writeln!(guard.0, "{at:>6} ms  {text}");
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn b64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unb64(text: &str) -> String {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let Some(digit) = DIGITS.iter().position(|d| *d == c) else {
            return String::new();
        };
        bits = (bits << 6) | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A case that couldn't run ends the program with 2.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    end_all_processes();
    std::process::exit(2);
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill(pid: u32, signal: &str) {
    let _ = Command::new("kill")
        .args([signal, &pid.to_string()])
        .stderr(Stdio::null())
        .status();
}

pub fn end_all_processes() {
    let pids = std::mem::take(&mut *CHILDREN.lock().unwrap_or_else(|e| e.into_inner()));
    for pid in pids {
        kill(pid, "-KILL");
    }
}

/// One of the project's processes, started with the deploy file's `run`.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: &str) {
        kill(self.child.id(), signal);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        CHILDREN
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .retain(|pid| *pid != id);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The case's environment.
pub struct Kit {
    pub root: PathBuf,
    pub scratch: PathBuf,
    pub record: Record,
    pub trouble: bool,
    run: String,
}

impl Kit {
    pub fn new(root: &Path, scratch: &Path, folder: &Path, trouble: bool) -> Kit {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|_| cannot_run("deploy/balancer.toml can't be read"));
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = "));
        let run = run.unwrap_or_else(|| cannot_run("no `run` in the deploy file"));
        let record = Record::create(&folder.join("record.txt"));
        record.line(if trouble {
            "with the disruption"
        } else {
            "without the disruption (TROUBLE=0)"
        });
        Kit {
            root: root.into(),
            scratch: scratch.into(),
            record,
            trouble,
            run: run.trim().trim_matches('"').into(),
        }
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.scratch.join(name);
        fs::write(&path, text)
            .unwrap_or_else(|_| cannot_run("the scratch folder can't be written"));
        path
    }

    /// Starts `run` with arguments and variables, from the root, as the deployment page says.
    pub fn start(
        &self,
        label: &str,
        tmp: &str,
        arguments: &str,
        variables: &[(&str, String)],
    ) -> Process {
        let tmp = self.scratch.join(tmp);
        let _ = fs::create_dir_all(&tmp);
        let log = self.scratch.join(format!("{label}.log"));
        let out = fs::File::create(log).unwrap_or_else(|_| cannot_run("no log file"));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{} {arguments}", self.run));
        command.current_dir(&self.root).env("TMPDIR", &tmp);
        for (name, value) in variables {
            command.env(name, value);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out);
        let child = command
            .spawn()
            .unwrap_or_else(|_| cannot_run("the program can't be started"));
        CHILDREN
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(child.id());
        // run.sh ends these if it is told to end itself.
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.scratch.join("pids"));
        if let Ok(mut pids) = pids {
            let _ = writeln!(pids, "{}", child.id());
        }
        self.record.line(&format!("start {label}"));
        Process { child }
    }
}

/// A loopback port that is free now.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no free port"));
    listener
        .local_addr()
        .map(|a| a.port())
        .unwrap_or_else(|_| cannot_run("no free port"))
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Asks a health check until it is good.
pub fn wait_until_ready(address: SocketAddr, label: &str) {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(20) {
        if is_ready(address) {
            return;
        }
        sleep_ms(50);
    }
    cannot_run(&format!("{label} did not become ready"));
}

pub fn is_ready(address: SocketAddr) -> bool {
    let Some(mut stream) = connect(address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream
        .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n")
        .is_err()
    {
        return false;
    }
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("\"ready\":true")
}

/// The membership service: it takes reports and answers none.
pub fn start_membership() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no socket"));
    let address = socket
        .local_addr()
        .unwrap_or_else(|_| cannot_run("no socket"));
    thread::spawn(move || {
        let mut buffer = [0; 256];
        while socket.recv_from(&mut buffer).is_ok() {}
    });
    address
}

/// The least memory that the pages give a node.
const MEMORY_MB: u32 = 32;

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub promise: u32,
    pub deadline: u32,
    pub window: u32,
    pub worth: u32,
}

pub const READ: Class = Class {
    name: "statement-read",
    effect: "repeatable",
    promise: 2300,
    deadline: 8700,
    window: 5000,
    worth: 1,
};
pub const POST: Class = Class {
    name: "settlement-post",
    effect: "once",
    promise: 2900,
    deadline: 12000,
    window: 5000,
    worth: 3,
};

/// A node's configuration: the example of the wire page, of a warm node of six cores whose classes make no calls.
pub fn node_config(
    name: &str,
    listen: SocketAddr,
    executor: SocketAddr,
    members: SocketAddr,
) -> String {
    let classes = [&READ, &POST];
    let lanes: Vec<String> = classes
        .iter()
        .map(|c| {
            format!(
                "{{\"deadline\":{}.0,\"effect\":\"{}\",\"lateWorth\":0.2,\"name\":\"{}\",\"promise\":{}.0,\"window\":{}.0,\"worth\":{}.0}}",
                c.deadline, c.effect, c.name, c.promise, c.window, c.worth
            )
        })
        .collect();
    let no_calls = vec!["false"; classes.len()].join(",");
    let no_skips = vec!["0.0"; classes.len()].join(",");
    let db = start_database();
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"executor\":\"{executor}\",\"members\":\"{members}\",\"db\":\"{db}\",\
         \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\"limits\":{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":512}},\
         \"settings\":{{\"clientHabits\":{{\"marksRetry\":true}},\"domainType\":\"server\",\
         \"goal\":{{\"whole\":0.4,\"worstClass\":0.35,\"worstTenant\":0.1,\"worstWindow\":0.15}},\
         \"invariants\":{{\"answerSlack\":100.0,\"drainGrace\":2000.0,\"fall\":3000.0,\"fallMultiple\":8.0,\"startCapacity\":0.22,\"warmUp\":18000.0}},\
         \"lanes\":[{}],\"layers\":[\"billing-nodes\"],\"me\":0,\"overShareWorth\":0.1,\
         \"policyLimits\":{{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":60937,\"maxRetryAfter\":1000.0,\"retryAfter\":true}},\
         \"prices\":{{\"connection\":0.0,\"handshake\":0.02,\"lateFail\":0.08,\"origin\":0.0,\"waste\":0.03}},\
         \"reporting\":{{\"fields\":[],\"source\":\"off\"}},\"round\":4.0,\"servers\":2,\
         \"specifics\":{{\"callerIdle\":30000.0,\"callsOut\":5.41,\"classCalls\":[{no_calls}],\"classSkipWorth\":[{no_skips}],\"cold\":false,\
         \"cores\":6,\"deepChecks\":false,\"dependsOn\":\"one_for_all\",\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\
         \"halt\":\"discard\",\"heapKb\":26622.0,\"heardFor\":1000.0,\"keyKb\":133.24,\"linger\":200.0,\"passesDeadline\":false,\
         \"registryFollows\":false,\"runFactor\":8.0,\"say\":\"weight\",\"shareFor\":0.0,\"shareSpan\":5000.0,\"tellsGone\":false,\"upstreams\":3}},\
         \"tenants\":[{{\"allowancePerS\":65.0,\"name\":\"alpenergia\",\"share\":0.51}},{{\"allowancePerS\":61.0,\"name\":\"solpiana\",\"share\":0.49}}],\
         \"tier\":0,\"worthBy\":\"request\",\"zone\":\"milano-lambrate\",\"zones\":[\"milano-lambrate\",\"bergamo-est\"]}}}}",
        lanes.join(",")
    )
}

/// A database that answers each call well; the cases make no calls.
fn start_database() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no socket"));
    let address = listener
        .local_addr()
        .unwrap_or_else(|_| cannot_run("no socket"));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    address
}

/// A request of a front end.
pub fn request_line(id: u64, class: &str, rid: u64, tenant: &str, body: &str) -> String {
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{class}\",\"params\":{{\"rid\":\"{rid:016x}\",\"t0\":{},\"peer\":1,\"acct\":\"{tenant}\",\"mem\":24.5,\"prio\":0.6250,\"body\":\"{}\"}}}}\n",
        unix_ms(),
        b64(body.as_bytes())
    )
}
