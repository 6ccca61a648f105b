//! The cases. Each returns how the rule was broken, a line for each request.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::broker::{Broker, Message};
use crate::client::FrontEnd;
use crate::executor::Executor;
use crate::kit::{
    connect, free_port, node_config, request_line, sleep_ms, start_membership, wait_until_ready,
    Class, Kit, Process, POST, READ,
};

/// Time beyond a due time in which an answer still counts: 100 ms of slack, and 50 ms on sockets.
const SLACK: Duration = Duration::from_millis(150);

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn start_node(kit: &Kit, label: &str, config: &str, listen: SocketAddr) -> Process {
    let path: PathBuf = kit.file(&format!("{label}.json"), config);
    let variables = [
        ("PROXY_NAME", "n1".to_string()),
        ("PROXY_LISTEN", listen.to_string()),
        ("PROXY_CONFIG", path.display().to_string()),
    ];
    kit.start(label, "tmp", "", &variables)
}

/// A process is replaced while a tool writes the inventory: the new process reads the first half of the file.
pub fn half_written_inventory(kit: &Kit) -> Vec<String> {
    const MESSAGES: usize = 12;
    let executors = [
        Executor::start("executor A", &kit.record),
        Executor::start("executor B", &kit.record),
    ];
    let queues = [
        "alpenergia.settlements",
        "alpenergia.statements",
        "solpiana.statements",
    ];
    let broker = Broker::start(&queues, Duration::from_millis(2), &kit.record);
    // The form of deploy/inventory.yaml.
    let whole = format!(
        "all:\n  vars:\n    host: 127.0.0.1\n    port: {}\n    vhost: billing\n    username: mothwinch\n    \
         password_env: MOTHWINCH_AMQP_PASSWORD\n  children:\n    settlements:\n      vars:\n        class: settlement-post\n        \
         prefetch: 4\n      hosts:\n        alpenergia-settlements:\n          queue: alpenergia.settlements\n          \
         tenant: alpenergia\n    reads:\n      vars:\n        class: statement-read\n        prefetch: 16\n      hosts:\n        \
         alpenergia-statements:\n          queue: alpenergia.statements\n          tenant: alpenergia\n        \
         solpiana-statements:\n          queue: solpiana.statements\n          tenant: solpiana\n",
        broker.address.port()
    );
    let inventory = kit.file("inventory.yaml", &whole);
    let listen = loopback(free_port());
    let admins = [loopback(free_port()), loopback(free_port())];
    let members = start_membership();
    let start = |i: usize, label: &str| {
        let config = node_config("n1", listen, executors[i].address, members);
        let path = kit.file(&format!("{label}.json"), &config);
        let variables = [
            ("PROXY_NAME", "n1".to_string()),
            ("PROXY_LISTEN", listen.to_string()),
            ("PROXY_CONFIG", path.display().to_string()),
            ("PROXY_ADMIN", admins[i].to_string()),
            ("MOTHWINCH_AMQP_PASSWORD", "secret".to_string()),
        ];
        kit.start(
            label,
            "tmp",
            &format!("--inventory {}", inventory.display()),
            &variables,
        )
    };
    let mut old = start(0, "old");
    wait_until_ready(listen, "the old process");
    let mut names = Vec::new();
    let mut publish = |from: usize, to: usize| {
        for i in from..to {
            for (word, class, queue) in [
                ("settlement", POST, queues[0]),
                ("statement", READ, queues[1]),
            ] {
                let name = format!("{word}-{i}");
                broker.publish(queue, Message::request(&name, &format!("serve 250 {name}")));
                names.push((name, class));
                sleep_ms(100);
            }
        }
    };
    publish(0, MESSAGES / 3);
    sleep_ms(800);
    if kit.trouble {
        // The tool has written the file up to the middle of the last queue's name.
        let half = whole
            .find("solpiana.statements")
            .map_or(whole.len(), |at| at + "solpiana.stat".len());
        kit.file("inventory.yaml", &whole[..half]);
        kit.record
            .line("the inventory is half written, up to `queue: solpiana.stat`");
    }
    let _new = start(1, "new");
    let begun = Instant::now();
    while !is_healthy(admins[1]) {
        if begun.elapsed() > Duration::from_secs(6) {
            // The new process did not take the file: the old one goes on with the good one.
            kit.record.line("the new process does not say yes");
            break;
        }
        sleep_ms(20);
    }
    kit.file("inventory.yaml", &whole);
    kit.record.line("the inventory is whole");
    if is_healthy(admins[1]) {
        kit.record
            .line("the new process says yes; SIGTERM to the old one");
        old.signal("-TERM");
        let told = Instant::now();
        while !old.has_ended() && told.elapsed() < Duration::from_millis(3700) {
            sleep_ms(20);
        }
        old.kill();
        kit.record.line("the old process has ended");
    }
    publish(MESSAGES / 3, MESSAGES);
    judge_queues(kit, &broker, &executors, &names)
}

/// Asks the admin server whether the process takes clients.
fn is_healthy(admin: SocketAddr) -> bool {
    let Some(mut stream) = connect(admin) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut line = String::new();
    stream.write_all(b"health\n").is_ok()
        && BufReader::new(stream).read_line(&mut line).is_ok()
        && line.starts_with("ok")
}

pub fn inventory(
    kit: &Kit,
    broker: SocketAddr,
    hosts: &[(&str, &str, &str, &str, u16)],
) -> PathBuf {
    let mut text = format!(
        "all:\n  vars:\n    host: 127.0.0.1\n    port: {}\n    vhost: billing\n    username: mothwinch\n    password_env: MOTHWINCH_AMQP_PASSWORD\n  hosts:\n",
        broker.port()
    );
    for (host, queue, class, tenant, prefetch) in hosts {
        text += &format!(
            "    {host}:\n      queue: {queue}\n      class: {class}\n      tenant: {tenant}\n      prefetch: {prefetch}\n"
        );
    }
    kit.file("inventory.yaml", &text)
}

fn start_consumer(
    kit: &Kit,
    label: &str,
    executor: &Executor,
    inventory: &std::path::Path,
) -> Process {
    let listen = loopback(free_port());
    let config = node_config("n1", listen, executor.address, start_membership());
    let path = kit.file(&format!("{label}.json"), &config);
    let variables = [
        ("PROXY_NAME", label.replace(' ', "-")),
        ("PROXY_LISTEN", listen.to_string()),
        ("PROXY_CONFIG", path.display().to_string()),
        ("MOTHWINCH_AMQP_PASSWORD", "secret".to_string()),
    ];
    let node = kit.start(
        label,
        label,
        &format!("--inventory {}", inventory.display()),
        &variables,
    );
    wait_until_ready(listen, label);
    node
}

/// Two queues; one message of the second has a correlation id that is no UTF-8.
pub fn unreadable_message(kit: &Kit) -> Vec<String> {
    const MESSAGES: usize = 20;
    let executor = Executor::start("executor", &kit.record);
    let queues = ["alpenergia.settlements", "solpiana.statements"];
    let broker = Broker::start(&queues, Duration::from_millis(2), &kit.record);
    let hosts = [
        (
            "alpenergia-settlements",
            queues[0],
            POST.name,
            "alpenergia",
            4,
        ),
        ("solpiana-statements", queues[1], READ.name, "solpiana", 16),
    ];
    let inventory = inventory(kit, broker.address, &hosts);
    let _node = start_consumer(kit, "node", &executor, &inventory);
    let mut names = Vec::new();
    for i in 0..MESSAGES {
        for (word, class, queue) in [
            ("settlement", POST, queues[0]),
            ("statement", READ, queues[1]),
        ] {
            let name = format!("{word}-{i}");
            broker.publish(queue, Message::request(&name, &format!("serve 250 {name}")));
            names.push((name, class));
        }
        if i == MESSAGES / 4 {
            let name = "societ";
            let body = format!("serve 250 {name}");
            let message = if kit.trouble {
                Message::with_unreadable_id(name, &body)
            } else {
                Message::request(name, &body)
            };
            broker.publish(queues[1], message);
        }
        sleep_ms(100);
    }
    judge_queues(kit, &broker, &[executor], &names)
}

/// Waits until the longest deadline after the last message is over. Returns the messages that were given to the node and
/// have no final answer by the time that its class is given up.
fn judge_queues(
    kit: &Kit,
    broker: &Broker,
    executors: &[Executor],
    names: &[(String, Class)],
) -> Vec<String> {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(14_000)
        && names
            .iter()
            .any(|(name, _)| broker.replies(name).is_empty())
    {
        sleep_ms(20);
    }
    let runs: Vec<_> = executors.iter().flat_map(Executor::runs).collect();
    let mut broken = Vec::new();
    for (name, class) in names {
        let replies = broker.replies(name);
        let due = Duration::from_millis(u64::from(class.deadline)) + SLACK;
        let delivered = broker.delivered_at(name);
        let in_time = delivered.is_some_and(|at| {
            replies
                .iter()
                .any(|(_, reply)| reply.duration_since(at) <= due)
        });
        let ran = runs
            .iter()
            .filter(|r| r.body.ends_with(&format!(" {name}")))
            .count();
        let words: Vec<&str> = replies.iter().map(|(kind, _)| kind.as_str()).collect();
        kit.record.line(&format!(
            "{name}: delivered {}, runs {ran}, replies {words:?}, dead-lettered {}",
            delivered.is_some(),
            broker.is_dead_lettered(name)
        ));
        if delivered.is_some_and(|at| at.elapsed() > due) && !in_time {
            broken.push(format!(
                "{name} was delivered to the node and got no final answer in its time; runs: {ran}"
            ));
        }
    }
    kit.record.line(&format!(
        "connections to the broker: {}",
        broker.connections()
    ));
    broken
}

/// A broker that keeps pushing while one of two nodes is draining.
pub fn keeps_pushing(kit: &Kit) -> Vec<String> {
    const MESSAGES: usize = 200;
    let executors = [
        Executor::start("executor A", &kit.record),
        Executor::start("executor B", &kit.record),
    ];
    let queues = ["alpenergia.settlements"];
    let broker = Broker::start(&queues, Duration::from_millis(20), &kit.record);
    let hosts = [(
        "alpenergia-settlements",
        queues[0],
        POST.name,
        "alpenergia",
        16,
    )];
    let inventory = inventory(kit, broker.address, &hosts);
    let mut leaving = start_consumer(kit, "node A", &executors[0], &inventory);
    let _staying = start_consumer(kit, "node B", &executors[1], &inventory);
    if kit.trouble {
        // Longer than the node has from SIGTERM to SIGKILL.
        broker.push_after_cancel(Duration::from_millis(4000));
    }
    let mut told = None;
    for i in 0..MESSAGES {
        let name = format!("settlement-{i}");
        broker.publish(
            queues[0],
            Message::request(&name, &format!("serve 250 {name}")),
        );
        sleep_ms(15);
        if i == MESSAGES / 5 {
            kit.record.line("SIGTERM to node A");
            leaving.signal("-TERM");
            told = Some(Instant::now());
        }
    }
    let told = told.unwrap_or_else(Instant::now);
    while !leaving.has_ended() && told.elapsed() < Duration::from_millis(3200) {
        sleep_ms(2);
    }
    let how = if leaving.has_ended() {
        "has ended by itself within 3.2 s"
    } else {
        "gets SIGKILL 3.2 s after SIGTERM"
    };
    kit.record.line(&format!("node A {how}"));
    leaving.kill();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(13_000)
        && (0..MESSAGES).any(|i| broker.replies(&format!("settlement-{i}")).is_empty())
    {
        sleep_ms(20);
    }
    sleep_ms(1500);
    kit.record.line(&format!(
        "copies that nodes published to the queue: {}",
        broker.copies()
    ));
    let mut broken = Vec::new();
    for i in 0..MESSAGES {
        let name = format!("settlement-{i}");
        let replies: Vec<String> = broker
            .replies(&name)
            .into_iter()
            .map(|(kind, _)| kind)
            .collect();
        let runs: usize = executors
            .iter()
            .map(|e| {
                e.runs()
                    .iter()
                    .filter(|r| r.body.ends_with(&format!(" {name}")))
                    .count()
            })
            .sum();
        kit.record.line(&format!(
            "{name}: runs {runs}, replies {replies:?}, dead-lettered {}",
            broker.is_dead_lettered(&name)
        ));
        if replies.len() != 1 || runs > 1 {
            broken.push(format!(
                "{name} got {} final answers: {replies:?}; runs: {runs}",
                replies.len()
            ));
        }
    }
    broken
}

/// Two nodes take statements from a queue, to which a partner publishes a message whose headers hold tables in tables.
pub fn nested_headers(kit: &Kit) -> Vec<String> {
    const GOOD: usize = 40;
    let executors = [
        Executor::start("executor A", &kit.record),
        Executor::start("executor B", &kit.record),
    ];
    let queues = ["alpenergia.statements"];
    let broker = Broker::start(&queues, Duration::from_millis(2), &kit.record);
    let hosts = [(
        "alpenergia-statements",
        queues[0],
        READ.name,
        "alpenergia",
        8,
    )];
    let inventory = inventory(kit, broker.address, &hosts);
    let mut nodes = vec![
        (
            "node A",
            start_consumer(kit, "node A", &executors[0], &inventory),
        ),
        (
            "node B",
            start_consumer(kit, "node B", &executors[1], &inventory),
        ),
    ];
    let large = |name: &str, field: &str| {
        let body = format!("serve 100 {name}");
        if kit.trouble {
            Message::with_nested_headers(name, &body, field)
        } else {
            Message::with_flat_headers(name, &body)
        }
    };
    let mut broken = Vec::new();
    for i in 0..GOOD {
        let name = format!("statement-{i}");
        broker.publish(
            queues[0],
            Message::request(&name, &format!("serve 250 {name}")),
        );
        match i {
            // Names of one letter, which the specification allows, and names without any.
            10 => broker.publish(queues[0], large("large-1", "x")),
            20 => broker.publish(queues[0], large("large-2", "")),
            _ => {}
        }
        sleep_ms(100);
        nodes.retain_mut(|(label, node)| {
            let has_ended = node.has_ended();
            if has_ended {
                kit.record.line(&format!("{label} has ended by itself"));
                broken.push(format!("{label} crashed: nobody told it to end"));
            }
            !has_ended
        });
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(9000)
        && (0..GOOD).any(|i| broker.replies(&format!("statement-{i}")).is_empty())
    {
        sleep_ms(20);
    }
    for name in ["large-1", "large-2"] {
        kit.record
            .line(&format!("{name}: replies {}", broker.replies(name).len()));
    }
    let unanswered = (0..GOOD)
        .filter(|i| broker.replies(&format!("statement-{i}")).is_empty())
        .count();
    kit.record.line(&format!(
        "other messages without an answer: {unanswered} of {GOOD}; nodes that still run: {}",
        nodes.len()
    ));
    for (label, node) in &mut nodes {
        if node.has_ended() {
            broken.push(format!("{label} crashed: nobody told it to end"));
        }
    }
    broken
}

/// The router gets SIGTERM while front ends send on open connections.
pub fn router_drain(kit: &Kit) -> Vec<String> {
    const REQUESTS: u64 = 140;
    const FRONT_ENDS: u64 = 4;
    const STOP: Duration = Duration::from_millis(3200);
    // 2 s after the notice, and 50 ms on sockets.
    const GRACE: Duration = Duration::from_millis(2050);
    let executor = Executor::start("executor", &kit.record);
    let (listen, router_listen) = (loopback(free_port()), loopback(free_port()));
    let config = node_config("n1", listen, executor.address, start_membership());
    let _node = start_node(kit, "node", &config, listen);
    wait_until_ready(listen, "the node");
    let mut router = start_router(kit, listen, router_listen);
    let mut fronts: Vec<FrontEnd> = (1..=FRONT_ENDS)
        .map(|i| FrontEnd::connect(&format!("front end {i}"), router_listen, &kit.record))
        .collect();
    let body = |id: u64| format!("serve 250 settlement-{id}");
    let mut sent: Vec<(u64, Instant)> = Vec::new();
    let mut told = None;
    let mut stopped = false;
    for id in 1..=REQUESTS {
        let front = &mut fronts[(id % FRONT_ENDS) as usize];
        // A front end sends nothing on a connection with a close notice, or that has ended.
        if !front.is_leaving() && !front.has_ended() {
            sent.push((id, Instant::now()));
            front.send(&request_line(
                id,
                POST.name,
                0x5600 + id,
                "alpenergia",
                &body(id),
            ));
        }
        sleep_ms(50);
        if kit.trouble && id == 40 {
            kit.record.line("SIGTERM to the router");
            router.signal("-TERM");
            told = Some(Instant::now());
        }
        if told.is_some_and(|at| at.elapsed() >= STOP) && !stopped {
            stopped = true;
            kit.record
                .line("SIGKILL to the router, 3.2 s after SIGTERM, if it still runs");
            router.kill();
        }
    }
    sleep_ms(1500);
    let runs = executor.runs();
    let mut broken = Vec::new();
    for (id, at) in &sent {
        let answers = fronts[(id % FRONT_ENDS) as usize].answers(*id).len();
        let ran = runs.iter().filter(|run| run.body == body(*id)).count();
        let after = told.map(|told| at.saturating_duration_since(told));
        if answers != 1 {
            broken.push(format!("request {id} was read and got {answers} final answers before the router was stopped; runs: {ran}"));
        }
        if after.is_some_and(|after| after > GRACE) && ran > 0 {
            let ms = after.unwrap_or_default().as_millis();
            broken.push(format!(
                "request {id} reached the router {ms} ms after the notice to leave and was run"
            ));
        }
    }
    broken
}

/// Starts a router of one cell with one node, and waits until it is ready.
fn start_router(kit: &Kit, node: SocketAddr, listen: SocketAddr) -> Process {
    kit.file(
        "cells.json5",
        &format!(
            "{{ version: 1, shard: 0, slack: 0.6, strangers: false, cells: {{ adda: {{}} }},\n\
             nodes: {{ n1: {{ address: \"{node}\", site: \"milano-lambrate\", cell: \"adda\" }} }},\n\
             tenants: {{ alpenergia: {{ share: 1 }} }} }}\n"
        ),
    );
    let file = kit.file(
        "router.json5",
        &format!(
            "{{ version: 1, listen: \"{listen}\", cells: \"cells.json5\", clients: 400, per_node: 8, classes: {{\n\
             \"statement-read\": {{ once: false, deadline_ms: 8700 }}, \"settlement-post\": {{ once: true, deadline_ms: 12000 }} }} }}\n"
        ),
    );
    let router = kit.start(
        "router",
        "tmp-router",
        &format!("route {}", file.display()),
        &[],
    );
    wait_until_ready(listen, "the router");
    router
}
