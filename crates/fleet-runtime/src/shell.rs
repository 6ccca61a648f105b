//! The thread: a socket and timers around the view, and what it sees published for everybody else in the process.

use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam_channel::{bounded, Receiver, Sender};
use membership::packet::MAX_DATAGRAM_LEN;
use membership::{
    member_state, AdvertisedStatus, Body, DecodeError, Effect, Liveness, MemberRecord, MemberState,
    MembershipView, Name, Packet, PartitionStatus,
};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shared_state::{
    evaluate_health, AggregationMessage, AggregationNode, Budgets, CallCounts, DependencyHealth,
    HealthEvaluator, HealthState, LeaseTimings, Message, Outgoing, QuotaConfig, QuotaUsage,
    ReportingSettings, ServiceObservation, SharedStateSnapshot, SpendableQuota, LEDGER,
};
use slog::{debug, info, warn, Logger};

use crate::allowance::{Allowance, Usage};
use crate::config::Config;
use crate::shares::{Known, Shares};

const SOCKET: Token = Token(0);
const WAKER: Token = Token(1);
/// Datagrams read before timers are looked at again: a flood must not keep the view from speaking.
const AT_ONCE: usize = 64;
/// Between two tries for the address that the file names, while another process of the node has it.
const REBIND: Duration = Duration::from_secs(1);
/// Between two publications while much changes.
const PUBLISH: Duration = Duration::from_millis(10);
/// Between two log lines on datagrams that were dropped.
const LOG_SELDOM: Duration = Duration::from_secs(10);
/// Words for the view that wait; more are not said by a process.
const MAILBOX: usize = 16;
/// How long the last word may take.
const LAST: Duration = Duration::from_millis(200);

/// What a view sees, for everybody else in the process. Read without waiting.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Members by name, the gone among them.
    pub members: Vec<MemberRecord>,
    /// What this node concludes of itself.
    pub conclusion: PartitionStatus,
    /// Equal where two views hold the same.
    pub digest: u64,
    /// Members that are there.
    pub present: usize,
    /// Members gone without a word.
    pub lost: usize,
}

impl Seen {
    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<&MemberRecord> {
        let at = self
            .members
            .binary_search_by(|r| (*r.name).cmp(name))
            .ok()?;
        self.members.get(at)
    }
    fn of(view: &MembershipView) -> Seen {
        Seen {
            members: view.members().cloned().collect(),
            conclusion: view.partition_status(),
            digest: view.digest(),
            present: view.present_count(),
            lost: view.lost_count(),
        }
    }
}

/// Who a member is.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub name: Name,
    /// Where its clients connect; none for one that serves nothing.
    pub serves: Option<SocketAddr>,
    /// What it counts and finds, where the file has that shared.
    pub shares: Option<Shares>,
}

enum Word {
    Say(AdvertisedStatus),
    Serve(SocketAddr),
    Config(Box<Config>),
    /// Another process of this name lives, or has ended.
    Beside(bool),
    /// The last word, or none where another process goes on under the name; told back when it is out.
    End {
        silently: bool,
        done: Sender<()>,
    },
}

/// What the rest of the process holds of its view.
#[derive(Clone)]
pub struct Handle {
    /// Where the socket is.
    pub at: SocketAddr,
    seen: Arc<ArcSwap<Seen>>,
    words: Sender<Word>,
    waker: Arc<Waker>,
    allowances: Vec<(Name, Allowance)>,
}

impl Handle {
    /// What this node may spend of the budget of this name, where the file has it.
    pub fn allowance(&self, budget: &str) -> Option<Allowance> {
        self.allowances
            .iter()
            .find(|(name, _)| **name == *budget)
            .map(|(_, a)| a.clone())
    }
    /// What the view sees.
    pub fn seen(&self) -> Arc<Seen> {
        self.seen.load_full()
    }
    /// The state of the process has changed.
    pub fn say(&self, said: AdvertisedStatus) {
        self.tell(Word::Say(said));
    }
    /// Where clients connect is known now.
    pub fn serve_at(&self, at: SocketAddr) {
        self.tell(Word::Serve(at));
    }
    /// Other seeds and times hold from now on.
    pub fn reload(&self, config: Config) {
        self.tell(Word::Config(Box::new(config)));
    }
    /// Another process of this name lives, or has ended: what is the name's own is not spent by both.
    pub fn beside(&self, another: bool) {
        self.tell(Word::Beside(another));
    }
    /// Says the last word, or none where the name goes on with another process, and ends the view.
    pub fn end(&self, silently: bool) {
        let (done, ended) = bounded(1);
        self.tell(Word::End { silently, done });
        let _ = ended.recv_timeout(LAST);
    }
    fn tell(&self, word: Word) {
        // The thread reads these at once; one that has ended hears nothing.
        let _ = self.words.send(word);
        let _ = self.waker.wake();
    }
}

struct Shell {
    config: Config,
    view: MembershipView,
    poll: Poll,
    /// None while another process has the only address that others are told.
    socket: Option<UdpSocket>,
    began: Instant,
    rng: ChaCha8Rng,
    words: Receiver<Word>,
    seen: Arc<ArcSwap<Seen>>,
    changed: Box<dyn Fn() + Send>,
    budgets: Option<Budgets>,
    allowances: Vec<(Name, Allowance)>,
    /// Counts and judgements, where they are shared.
    gathering: Option<(AggregationNode, Shares)>,
    judge: HealthEvaluator,
    /// How the process stands, and whether it is said to be emptied as it alone can't reach the ledger.
    said: AdvertisedStatus,
    steps_back: bool,
    /// The granter when it was last looked at, for the log.
    granter: Option<Name>,
    /// Something is to be published, at this time.
    publish: Option<Instant>,
    conclusion: PartitionStatus,
    /// Another process spoke for the name when this was last looked at.
    succeeded: bool,
    /// The address of the file was taken: when it is tried again.
    rebind: Option<Instant>,
    dropped: u64,
    drops_logged: Option<Instant>,
    log: Logger,
}

fn socket(at: SocketAddr, poll: &Poll) -> io::Result<UdpSocket> {
    let mut socket = UdpSocket::bind(at)?;
    poll.registry()
        .register(&mut socket, SOCKET, Interest::READABLE)?;
    Ok(socket)
}

/// Starts a member's view on a thread with this much stack; `changed` is called after each change of what is seen.
pub fn start(
    config: Config,
    me: Me,
    stack: usize,
    changed: Box<dyn Fn() + Send>,
    log: &Logger,
) -> io::Result<Handle> {
    let poll = Poll::new()?;
    let mut rebind = None;
    let socket = match socket(config.listen, &poll) {
        // The process that this one replaces still has it.
        Err(e) if e.kind() == ErrorKind::AddrInUse => {
            rebind = Some(Instant::now() + REBIND);
            // Where others are told an address by the file there is no second one to be had: it waits.
            let other = SocketAddr::new(config.listen.ip(), 0);
            config
                .advertise
                .is_none()
                .then(|| socket(other, &poll))
                .transpose()?
        }
        other => Some(other?),
    };
    let at = socket
        .as_ref()
        .map_or(Ok(config.listen), UdpSocket::local_addr)?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // A draw from the machine, as std's hash tables take it.
    let seed = RandomState::new().hash_one(&me.name);
    let life = member_state::new_incarnation(unix.as_millis() as u64, seed);
    let gathering = me.shares.map(|shares| {
        let (name, site) = (me.name.clone(), config.site.clone());
        (
            AggregationNode::new(
                ReportingSettings::default(),
                name,
                site,
                life,
                Duration::ZERO,
            ),
            shares,
        )
    });
    let record = MemberRecord {
        name: me.name,
        site: config.site.clone(),
        address: config.advertise.unwrap_or(at),
        client_address: config.serves.or(me.serves),
        state: MemberState {
            incarnation: life,
            version: 0,
            status: AdvertisedStatus::Joining,
            liveness: Liveness::Alive,
        },
        suspected_by: 0,
    };
    let began = Instant::now();
    let budgets = (!config.budgets.is_empty()).then(|| {
        let (keepers, plans) = (config.keepers.clone(), config.budgets.clone());
        Budgets::new(
            LeaseTimings::default(),
            record.name.clone(),
            life,
            keepers,
            plans,
            Duration::ZERO,
        )
    });
    let nothing = SpendableQuota::default();
    let allowance = || Allowance {
        began,
        spend: Arc::new(ArcSwap::from_pointee(nothing)),
        usage: Arc::new(Usage::default()),
        waker: waker.clone(),
    };
    let allowances: Vec<(Name, Allowance)> = config
        .budgets
        .iter()
        .map(|b| (b.name.clone(), allowance()))
        .collect();
    let view = MembershipView::new(
        config.settings.clone(),
        config.fleet.clone(),
        record,
        config.seeds.clone(),
        Duration::ZERO,
    );
    let seen = Arc::new(ArcSwap::from_pointee(Seen::of(&view)));
    let (tell, words) = bounded(MAILBOX);
    let handle = Handle {
        at,
        seen: seen.clone(),
        words: tell,
        waker,
        allowances: allowances.clone(),
    };
    let shell = Shell {
        conclusion: view.partition_status(),
        succeeded: false,
        config,
        view,
        poll,
        socket,
        began,
        budgets,
        allowances,
        gathering,
        judge: HealthEvaluator::default(),
        said: AdvertisedStatus::Joining,
        steps_back: false,
        granter: None,
        rng: ChaCha8Rng::seed_from_u64(seed),
        words,
        seen,
        changed,
        publish: None,
        rebind,
        dropped: 0,
        drops_logged: None,
        log: log.clone(),
    };
    std::thread::Builder::new()
        .name("fleet".into())
        .stack_size(stack)
        .spawn(move || shell.run())?;
    Ok(handle)
}

impl Shell {
    fn run(mut self) {
        let mut events = Events::with_capacity(4);
        let mut readable = true;
        loop {
            let wait = if readable {
                Duration::ZERO
            } else {
                self.wait()
            };
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => {
                    warn!(self.log, "fleet: poll"; "error" => %e);
                    std::thread::sleep(PUBLISH);
                }
                _ => {}
            }
            readable |= events.iter().any(|e| e.token() == SOCKET);
            while let Ok(word) = self.words.try_recv() {
                if self.told(word) {
                    return;
                }
            }
            if readable {
                readable = self.read();
            }
            let now = self.began.elapsed();
            if self.socket.is_some() && self.view.next_deadline() <= now {
                let mut out = Vec::new();
                let rng = &mut self.rng;
                self.view
                    .handle_timers(now, &mut |n| rng.random_range(0..n.max(1)), &mut out);
                self.carry_out(out);
            }
            self.tick_budgets();
            self.tick_gathering();
            self.try_rebind();
            self.publish_if_due();
        }
    }

    fn wait(&self) -> Duration {
        let now = Instant::now();
        // A look once a minute does no harm where nothing is due.
        let next = match self.socket {
            Some(_) => self
                .view
                .next_deadline()
                .saturating_sub(self.began.elapsed())
                .min(Duration::from_secs(60)),
            None => REBIND,
        };
        let until = |at: Option<Instant>| at.map_or(next, |at| at.saturating_duration_since(now));
        let budgets = self
            .budgets
            .as_ref()
            .filter(|_| self.socket.is_some())
            .map_or(Duration::MAX, Budgets::next_timeout);
        let gathering = self.gathering.as_ref().filter(|_| self.socket.is_some());
        let shared = budgets.min(gathering.map_or(Duration::MAX, |(g, _)| g.next_timeout()));
        let budgets = shared.saturating_sub(self.began.elapsed());
        next.min(until(self.publish))
            .min(until(self.rebind))
            .min(budgets)
    }

    /// Budgets: what is used and wanted, what is due, and what may be spent from now on.
    fn tick_budgets(&mut self) {
        let now = self.began.elapsed();
        let Some(mut budgets) = self.budgets.take_if(|_| self.socket.is_some()) else {
            return;
        };
        for (at, (_, allowance)) in self.allowances.iter().enumerate() {
            let usage = &allowance.usage;
            let usage = QuotaUsage {
                in_use: usage.in_use.load(Relaxed),
                demand: usage.want.load(Relaxed),
            };
            budgets.set_usage(at, usage, now);
        }
        if budgets.next_timeout() <= now {
            let mut out = Vec::new();
            let draw = self.rng.random::<f64>();
            budgets.handle_timeout(now, draw, self.view.present_names(), &mut out);
            self.carry_shared(out);
        }
        self.publish_budgets(&budgets);
        self.budgets = Some(budgets);
    }
    /// Counts and evidence: what is due, and what is known from now on.
    fn tick_gathering(&mut self) {
        let now = self.began.elapsed();
        let due = |(g, _): &mut (AggregationNode, Shares)| {
            self.socket.is_some() && g.next_timeout() <= now
        };
        let Some((mut gathering, shares)) = self.gathering.take_if(due) else {
            return;
        };
        let own = shares.found().0.filter(|_| self.config.judgements);
        let found: Vec<_> = own
            .map(|health| ServiceObservation {
                service: LEDGER,
                health,
            })
            .into_iter()
            .collect();
        let (counts, draw) = (shares.live().load(), self.rng.random::<f64>());
        let mut out = Vec::new();
        gathering.handle_timeout(now, &counts, &found, draw, &mut out);
        self.gathering = Some((gathering, shares));
        self.carry_gathered(out);
        self.publish_gathered();
    }
    fn carry_gathered(&mut self, out: Vec<Outgoing<AggregationMessage>>) {
        self.carry_shared(
            out.into_iter()
                .map(|Outgoing { to, message }| Outgoing {
                    to,
                    message: Message::Aggregation(message),
                })
                .collect(),
        );
    }
    fn publish_gathered(&mut self) {
        let now = self.began.elapsed();
        let Some((gathering, shares)) = &self.gathering else {
            return;
        };
        let gathered = gathering.aggregate().clone();
        let before = self.judge.health();
        let tally = gathered.tally(LEDGER, now);
        if self.config.judgements {
            let sites = self.view.sites().len();
            self.judge.update(
                now,
                evaluate_health(shares.found().0, &tally, sites),
                gathered.as_of,
            );
        }
        let ledger = self.judge.health();
        let until = self.began + gathered.expires_at;
        shares.publish(Known {
            gathered,
            until,
            ledger,
        });
        if ledger != before {
            let (calls, failed) = shares.found().1;
            info!(self.log, "ledger"; "judgement" => ledger.name(), "before" => before.name(), "calls" => calls,
                "failed" => failed, "others" => ?tally);
            (self.changed)();
            self.step_back(ledger == DependencyHealth::OnlyHere);
        }
    }
    /// One that alone can't reach the ledger is passed over by routers, as long as more than half of those that serve go on:
    /// else the fleet is served better by nodes that fail.
    fn step_back(&mut self, wanted: bool) {
        let serving = |r: &&MemberRecord| r.client_address.is_some() && r.state.is_present();
        let (all, up) = self
            .view
            .members()
            .filter(serving)
            .fold((0, 0), |(all, up), r| {
                (
                    all + 1,
                    up + usize::from(r.accepts_requests() && r.name != self.view.own_record().name),
                )
            });
        self.steps_back = wanted && up * 2 > all;
        self.say();
    }
    /// Tells the others how the process stands.
    fn say(&mut self) {
        let said = if self.steps_back && self.said == AdvertisedStatus::Up {
            AdvertisedStatus::Quiesced
        } else {
            self.said
        };
        self.view.advertise_status(said, self.began.elapsed());
        self.soon();
    }
    fn publish_budgets(&mut self, budgets: &Budgets) {
        let mut changed = false;
        for (at, (name, allowance)) in self.allowances.iter().enumerate() {
            let Some(spend) = budgets.spendable_quota(at) else {
                continue;
            };
            let before = **allowance.spend.load();
            if spend != before {
                allowance.spend.store(Arc::new(spend));
                changed |= spend.leased.units != before.leased.units;
                if spend.leased.units != before.leased.units {
                    debug!(self.log, "budget"; "name" => &**name, "leased" => spend.leased.units, "own" => spend.guaranteed.units);
                }
            }
        }
        let granter = budgets
            .leader(self.began.elapsed())
            .map(|leader| leader.name);
        if granter != self.granter {
            info!(self.log, "budgets"; "granter" => granter.as_deref().unwrap_or("nobody"));
            self.granter = granter;
        }
        if changed {
            (self.changed)();
        }
    }
    fn carry_shared(&mut self, out: Vec<Outgoing>) {
        let mut sent = Vec::new();
        for Outgoing { to, message } in out {
            // One that is not there is told nothing; it asks, or is asked again.
            self.view
                .send_application_message(&to, message.encode(), &mut sent);
        }
        self.carry_out(sent);
    }
    /// A message on shared state came.
    fn hear_shared(&mut self, from: Option<Name>, bytes: &[u8], source: SocketAddr) {
        let now = self.began.elapsed();
        let Some(message) = Message::decode(bytes) else {
            return self.drop_one(source, &DecodeError::OutOfBounds);
        };
        match (message, from) {
            (Message::SnapshotRequest(seq), None) => {
                let body =
                    Body::ApplicationMessage(Message::SnapshotReply(seq, self.look(now)).encode());
                let sender = Some(self.view.own_record().clone());
                let answer = Packet {
                    fleet: self.config.fleet.clone(),
                    sender,
                    body,
                    updates: Vec::new(),
                };
                self.carry_out(vec![Effect::Send {
                    to: source,
                    packet: answer,
                }]);
            }
            (Message::Aggregation(said), Some(from)) => {
                let Some((gathering, _)) = &mut self.gathering else {
                    return;
                };
                let mut out = Vec::new();
                gathering.handle_message(&from, said, now, &mut out);
                self.carry_gathered(out);
                self.publish_gathered();
            }
            (message, Some(from)) => {
                let Some(mut budgets) = self.budgets.take() else {
                    return;
                };
                let mut out = Vec::new();
                budgets.handle_message(&from, message, now, &mut out);
                self.carry_shared(out);
                self.publish_budgets(&budgets);
                self.budgets = Some(budgets);
            }
            (_, None) => {}
        }
    }
    /// What is shared here, for people.
    fn look(&self, now: Duration) -> SharedStateSnapshot {
        let look = self
            .budgets
            .as_ref()
            .map(|b| b.snapshot(now))
            .unwrap_or_default();
        let gathered = self.gathering.as_ref().map(|(gathering, shares)| {
            let (health, since) = (self.judge.health(), self.judge.changed_at());
            let (calls, failed) = shares.found().1;
            let ledger = HealthState {
                health,
                for_ms: now.saturating_sub(since).as_millis() as u64,
            };
            gathering.snapshot(
                now,
                ledger,
                CallCounts {
                    total: calls as u32,
                    failed: failed as u32,
                },
            )
        });
        SharedStateSnapshot {
            aggregate: gathered,
            ..look
        }
    }

    /// A word of this process; true if it was the last.
    fn told(&mut self, word: Word) -> bool {
        let now = self.began.elapsed();
        match word {
            Word::Say(said) => {
                self.said = said;
                self.say();
            }
            Word::Serve(at) => self
                .view
                .set_client_address(Some(self.config.serves.unwrap_or(at)), now),
            Word::Config(config) => {
                let gathers = |c: &Config| (c.counts, c.judgements);
                let fixed = |c: &Config| {
                    (
                        c.fleet.clone(),
                        c.site.clone(),
                        c.listen,
                        c.advertise,
                        c.serves,
                        gathers(c),
                    )
                };
                if fixed(&config) != fixed(&self.config) {
                    warn!(
                        self.log,
                        "fleet, site, addresses, counts and judgements of the fleet's file change with a restart only"
                    );
                }
                self.view.set_seeds(config.seeds.clone());
                self.view.set_settings(config.settings.clone());
                if let Some(budgets) = &mut self.budgets {
                    let total = |name: &Name| {
                        config
                            .budgets
                            .iter()
                            .find(|b| b.name == *name)
                            .map(|b| b.total)
                    };
                    let of = |b: &QuotaConfig| total(&b.name).unwrap_or(b.total);
                    let totals: Vec<_> = self.config.budgets.iter().map(of).collect();
                    budgets.set_totals(&totals);
                }
                // A judge that stopped where it stands would leave its node holding back for good.
                let (counts, judgements) = gathers(&self.config);
                self.config = Config {
                    counts,
                    judgements,
                    ..*config
                };
            }
            Word::Beside(another) => {
                if let Some(budgets) = &mut self.budgets {
                    if another {
                        budgets.yield_to_sibling();
                    } else {
                        budgets.resume_after_sibling(now);
                    }
                }
            }
            Word::End { silently, done } => {
                let mut out = Vec::new();
                if silently {
                    self.view.mute();
                } else {
                    let rng = &mut self.rng;
                    self.view
                        .leave(now, &mut |n| rng.random_range(0..n.max(1)), &mut out);
                }
                self.carry_out(out);
                let _ = done.try_send(());
                return true;
            }
        }
        self.soon();
        false
    }

    /// Reads what has come, a bounded number of datagrams; true if there may be more.
    fn read(&mut self) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..AT_ONCE {
            let Some(socket) = &self.socket else {
                return false;
            };
            match socket.recv_from(&mut bytes) {
                Ok((n, source)) => match Packet::decode(&bytes[..n], &self.config.fleet) {
                    Ok(mut packet) => {
                        let carried = match &mut packet.body {
                            Body::ApplicationMessage(bytes) => Some(std::mem::take(bytes)),
                            _ => None,
                        };
                        let from = packet.sender.as_ref().map(|r| r.name.clone());
                        let mut out = Vec::new();
                        let rng = &mut self.rng;
                        let mut draw = |n: usize| rng.random_range(0..n.max(1));
                        self.view.handle_packet(
                            packet,
                            source,
                            self.began.elapsed(),
                            &mut draw,
                            &mut out,
                        );
                        self.carry_out(out);
                        if let Some(bytes) = carried {
                            self.hear_shared(from, &bytes, source);
                        }
                    }
                    Err(why) => self.drop_one(source, &why),
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // A send before this one met a closed port; that member will be found out by its silence.
                Err(_) => {}
            }
        }
        true
    }

    fn drop_one(&mut self, source: SocketAddr, why: &dyn std::fmt::Display) {
        self.dropped += 1;
        let now = Instant::now();
        if self
            .drops_logged
            .is_none_or(|at| now.duration_since(at) >= LOG_SELDOM)
        {
            self.drops_logged = Some(now);
            warn!(self.log, "datagram dropped"; "from" => %source, "why" => %why, "so_far" => self.dropped);
        }
    }

    fn carry_out(&mut self, out: Vec<Effect>) {
        for one in out {
            match one {
                Effect::Send { to, mut packet } => {
                    if let Body::QueryReply { summary, .. } = &mut packet.body {
                        summary.dropped = self.dropped;
                    }
                    // One that is not sent is one that is lost: the view lives with those.
                    let Some(socket) = &self.socket else { continue };
                    if let Err(e) = socket.send_to(&packet.encode(), to) {
                        debug!(self.log, "datagram not sent"; "to" => %to, "error" => %e);
                    }
                }
                Effect::MemberChanged(record) => {
                    self.log_member(&record);
                    self.soon();
                }
            }
        }
        if self.view.is_superseded() != self.succeeded {
            self.succeeded = !self.succeeded;
            let what = if self.succeeded {
                "another process has the name"
            } else {
                "the name is this process's again"
            };
            info!(self.log, "view"; "note" => what);
        }
        let conclusion = self.view.partition_status();
        if conclusion != self.conclusion {
            self.conclusion = conclusion;
            let sites: BTreeSet<Name> = self.view.sites();
            let sites: Vec<&str> = sites.iter().map(|s| &**s).collect();
            info!(self.log, "view"; "conclusion" => conclusion.as_str(), "present" => self.view.present_count(),
                "lost" => self.view.lost_count(), "sites" => sites.join(" "));
            self.soon();
        }
    }

    fn log_member(&self, record: &MemberRecord) {
        let before = self.seen.load();
        let before = before
            .member(&record.name)
            .map(|r| (r.state.incarnation, r.state.status, r.state.liveness));
        let is = (
            record.state.incarnation,
            record.state.status,
            record.state.liveness,
        );
        if before == Some(is) {
            return;
        }
        let standing = match record.state.liveness {
            Liveness::Alive => "there",
            Liveness::Suspect => "suspected",
            Liveness::Dead => "gone",
        };
        // Suspicions come and go by loss alone.
        if record.state.liveness == Liveness::Suspect
            || before.is_some_and(|b| b.2 == Liveness::Suspect && is.2 == Liveness::Alive)
        {
            debug!(self.log, "member"; "name" => &*record.name, "says" => ?record.state.status, "is" => standing);
        } else {
            info!(self.log, "member"; "name" => &*record.name, "says" => ?record.state.status, "is" => standing,
                "at" => %record.address, "life" => record.state.incarnation);
        }
    }

    fn soon(&mut self) {
        self.publish.get_or_insert_with(Instant::now);
    }
    fn publish_if_due(&mut self) {
        let now = Instant::now();
        if self.publish.is_some_and(|at| at <= now) {
            self.publish = None;
            self.seen.store(Arc::new(Seen::of(&self.view)));
            if let Some((gathering, _)) = &mut self.gathering {
                let reports =
                    |r: &&MemberRecord| r.client_address.is_some() && r.state.is_present();
                gathering.set_members(
                    self.view
                        .members()
                        .filter(reports)
                        .map(|r| (&r.name, &r.site)),
                );
            }
            (self.changed)();
        }
    }

    fn try_rebind(&mut self) {
        let now = Instant::now();
        if self.rebind.is_none_or(|at| at > now) {
            return;
        }
        match socket(self.config.listen, &self.poll) {
            Ok(socket) => {
                (self.socket, self.rebind) = (Some(socket), None);
                self.view.set_address(
                    self.config.advertise.unwrap_or(self.config.listen),
                    self.began.elapsed(),
                );
                info!(self.log, "fleet"; "at" => %self.config.listen);
                self.soon();
            }
            Err(_) => self.rebind = Some(now + REBIND),
        }
    }
}
