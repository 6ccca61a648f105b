//! The actor that drives the policy. It is the sole owner of the [`Policy`], the request table, the
//! idempotency keys, the wake-ups and the outstanding answers.
//!
//! The actor never blocks on a peer. The mailboxes that it sends to are large enough for all
//! requests that the protocol allows to be open, and a command that finds its mailbox full counts
//! as never sent.

mod actions;
mod answers;
mod arrivals;
mod batch;
mod calls;
mod held_work;
mod inherited_work;
mod quotas;
mod runs;
mod sibling_keys;
mod sweep;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{at, never, select, tick, Receiver};
use idempotency::{KeyTable, Micros};
use lifecycle::TOTAL_SHARES;
use policy::{Action, Event, Idempotency, Policy, RequestId, Span};
use slog::{info, Logger};

use self::batch::{GaugeReading, PendingEvent};
use self::inherited_work::InheritedRuns;
use self::sibling_keys::SiblingKeys;
use super::ended_runs::EndedRuns;
use super::executor_link::ExecutorLink;
use super::held_work::RemainingWork;
use super::request_table::RequestTable;
use super::run_delivery::RunNumber;
use super::{
    longest_deadline, CellGuard, Limits, NodeStatus, Peers, PolicyMessage, RateLimitedLog,
};
use crate::run_id_files::RunIdFiles;
use crate::wire::Site;

/// The configuration of a [`PolicyActor`].
pub struct PolicyConfig {
    /// Classes, tenants and settings of the site.
    pub site: Arc<Site>,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Time from the shutdown notice until the process is killed.
    pub shutdown_timeout: Duration,
    /// Limits on sizes, counts and times of the program.
    pub limits: Limits,
    /// The cell layout in force, if there is one.
    pub cells: Option<CellGuard>,
}

/// Runs the policy on the system's clocks. It owns the request table, performs the policy's
/// actions, and passes the messages of clients and peers to the policy as batches of events.
pub struct PolicyActor {
    site: Arc<Site>,
    seed: u64,
    shutdown_timeout: Duration,
    limits: Limits,
    cells: Option<CellGuard>,
    peers: Peers,
    status: Arc<NodeStatus>,
    log: Logger,
    rate_limited: RateLimitedLogs,
    /// Created when the executor connects for the first time.
    policy: Option<Policy>,
    requests: RequestTable,
    /// Ended runs of requests that must not run twice.
    ended_runs: EndedRuns,
    /// Ids of runs in this process and in another one of the node, if there can be one.
    run_ids: Option<RunIdFiles>,
    /// Events for the policy's next batch.
    pending: Vec<PendingEvent>,
    /// Buffer for the actions that the policy returns for a batch, kept to reuse its allocation.
    actions: Vec<Action>,
    /// Wake-ups that the policy requested.
    wake_ups: BinaryHeap<Reverse<Instant>>,
    /// The reading of the gauges that the next wake-up waits for.
    gauge_reading: Option<GaugeReading>,
    link: ExecutorLink,
    /// The last command to run that was sent.
    last_run: RunNumber,
    /// Runs of earlier processes.
    inherited: InheritedRuns,
    /// Number of calls that were abandoned but may still be in progress at the database.
    unconfirmed_calls: usize,
    /// True if the executor started before this process and its first gauges have not been read
    /// yet.
    is_executor_older: bool,
    /// Start time of this process.
    created_at: Instant,
    /// Number of runs in doubt that the policy was last notified of.
    reported_runs_in_doubt: usize,
    shutdown: ShutdownProgress,
    sibling: SiblingKeys,
    /// Keys of the settings' tenants in the fleet's counters.
    tenant_keys: Vec<u64>,
    /// True if the policy was given other nodes' counts.
    uses_other_counts: bool,
    /// Number of the node's resource shares that this process holds, out of [`TOTAL_SHARES`].
    resource_shares: u32,
    /// Kilobytes that the platform counts for the largest run of a request that has arrived.
    largest_run_kb: f64,
    peaks: Peaks,
    last_batch: Instant,
}

/// Progress of the shutdown of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownProgress {
    NotBegun,
    /// The node is shutting down.
    Begun,
    /// The work that this process leaves running was reported, and must not grow.
    WorkReported,
}

/// Log lines that peers can cause at any rate.
struct RateLimitedLogs {
    cancellation: RateLimitedLog,
    disconnect: RateLimitedLog,
    duplicate_uid: RateLimitedLog,
    fleet_limit_rejections: RateLimitedLog,
    run_ids: RateLimitedLog,
    rejected_run: RateLimitedLog,
    state: RateLimitedLog,
}

/// Peak values since the last log line that reported the state.
#[derive(Default)]
struct Peaks {
    /// Kilobytes that the platform counts for all requests.
    booked_kb: f64,
    /// Age of a request when the policy reads it.
    request_age: Span,
}

impl PolicyActor {
    /// Creates an actor that waits for the executor to connect.
    pub fn new(
        config: PolicyConfig,
        peers: Peers,
        status: Arc<NodeStatus>,
        log: Logger,
    ) -> PolicyActor {
        let PolicyConfig {
            site,
            seed,
            shutdown_timeout,
            limits,
            cells,
        } = config;
        let keys = KeyTable::new(
            limits.keys.table_bytes,
            limits.keys.result_bytes,
            Micros(max_queue_time(&site).0),
        );
        let ended_runs = EndedRuns::new(
            to_duration(max_queue_time(&site)),
            limits.policy.remembered_runs,
        );
        let rate_limited = RateLimitedLogs {
            cancellation: RateLimitedLog::new(limits.repeated_log_interval),
            disconnect: RateLimitedLog::new(limits.repeated_log_interval),
            duplicate_uid: RateLimitedLog::new(limits.repeated_log_interval),
            fleet_limit_rejections: RateLimitedLog::new(limits.repeated_log_interval),
            run_ids: RateLimitedLog::new(limits.repeated_log_interval),
            rejected_run: RateLimitedLog::new(limits.repeated_log_interval),
            state: RateLimitedLog::new(limits.policy.state_log_interval),
        };
        PolicyActor {
            tenant_keys: site.tenant_keys(),
            site,
            seed,
            shutdown_timeout,
            limits,
            cells,
            peers,
            status,
            log,
            rate_limited,
            policy: None,
            requests: RequestTable::new(keys),
            ended_runs,
            run_ids: None,
            pending: Vec::new(),
            actions: Vec::new(),
            wake_ups: BinaryHeap::new(),
            gauge_reading: None,
            link: ExecutorLink::default(),
            last_run: RunNumber(0),
            inherited: InheritedRuns::default(),
            unconfirmed_calls: 0,
            is_executor_older: false,
            created_at: Instant::now(),
            reported_runs_in_doubt: 0,
            shutdown: ShutdownProgress::NotBegun,
            sibling: SiblingKeys::default(),
            uses_other_counts: false,
            resource_shares: TOTAL_SHARES,
            largest_run_kb: 0.0,
            peaks: Peaks::default(),
            last_batch: Instant::now(),
        }
    }

    /// Processes the messages in `inbox` until every sender is dropped.
    pub fn run(mut self, inbox: &Receiver<PolicyMessage>) {
        let sweep = tick(self.limits.policy.sweep_interval);
        loop {
            let timer = self.next_due().map_or_else(never, at);
            select! {
                recv(sweep) -> _ => self.sweep(),
                recv(inbox) -> message => match message {
                    Ok(message) => self.handle_message(message),
                    Err(_) => return,
                },
                recv(timer) -> _ => {}
            }
            for message in inbox.try_iter().take(self.limits.policy.mailbox) {
                self.handle_message(message);
            }
            self.run_due_work();
            if self.sibling == SiblingKeys::Present {
                // The other process takes the shares that are not in use here, so the numbers must
                // not be older than a batch.
                self.publish_used_shares();
            }
        }
    }

    fn handle_message(&mut self, message: PolicyMessage) {
        match message {
            PolicyMessage::RequestArrived(arrival) => self.receive_request(*arrival),
            PolicyMessage::ExecutorConnected { is_cold, age } => {
                self.executor_connected(is_cold, age);
            }
            PolicyMessage::ExecutorDisconnected => self.executor_disconnected(),
            PolicyMessage::RunEnded { uid, report } => self.run_ended(uid, report),
            PolicyMessage::CallRequested {
                uid,
                notice,
                payload,
            } => self.call_requested(uid, notice, payload),
            PolicyMessage::GaugesRead { tag, values } => self.gauges_read(tag, &values),
            PolicyMessage::RunRejected(uid) => self.run_rejected(uid),
            PolicyMessage::CallerStoppedWaiting(arrival) => self.caller_stopped_waiting(arrival),
            PolicyMessage::ClientDisconnected(arrivals) => self.client_disconnected(&arrivals),
            PolicyMessage::CallEnded {
                id,
                result,
                elapsed,
            } => self.call_ended(id, result, elapsed),
            PolicyMessage::UnconfirmedCallsChanged(calls) => {
                self.unconfirmed_calls = calls;
                self.queue_event(Event::UnconfirmedCalls(calls));
            }
            PolicyMessage::CallLimitChanged(calls) => {
                self.queue_event(Event::CallQuotaChanged(calls as f64));
            }
            PolicyMessage::ResourceSharesChanged(shares) => self.set_resource_shares(shares),
            PolicyMessage::RunIdsShared(files) => self.run_ids = Some(files),
            PolicyMessage::SiblingSeen => self.sibling = SiblingKeys::Present,
            PolicyMessage::SiblingEnded(work) => {
                self.sibling = SiblingKeys::EndedAt(Instant::now());
                self.inherit_work(work);
            }
            PolicyMessage::EarlierWorkFound(work) => {
                self.inherit_work(RemainingWork::Recorded(work));
            }
            PolicyMessage::EarlierCallsFound(calls) => self.inherit_calls(calls),
            PolicyMessage::ReportHeldWork(reports) => self.report_held_work(&reports),
            PolicyMessage::Replaced(time_left) => {
                let time_left = time_left.saturating_sub(self.limits.stop_margin);
                self.queue_event(Event::ReplacementNotice(to_span(time_left)));
            }
            PolicyMessage::ShutDown => self.begin_shutdown(),
        }
    }

    fn begin_shutdown(&mut self) {
        self.shutdown = ShutdownProgress::Begun;
        let time_left = self
            .shutdown_timeout
            .saturating_sub(self.limits.stop_margin);
        info!(self.log, "shutting down"; "time_left_ms" => time_left.as_millis() as u64,
            "unanswered" => self.status.unanswered());
        self.queue_event(Event::ShutdownNotice(to_span(time_left)));
    }

    /// Adds an event to the policy's next batch.
    fn queue_event(&mut self, event: Event) {
        self.pending.push(PendingEvent::Other(event));
    }

    /// Returns the idempotency of the request's class, which determines how often it may run.
    fn idempotency(&mut self, id: RequestId) -> Option<Idempotency> {
        let class = self.requests.get_mut(id)?.class;
        self.site
            .settings
            .classes
            .get(class.0)
            .map(|c| c.idempotency)
    }
}

/// Returns the maximum time that an attempt may wait to be read and still be accepted. No class
/// waits longer than this for an answer.
fn max_queue_time(site: &Site) -> Span {
    Span(longest_deadline(site).0 + site.settings.answer_slack.0)
}

/// Converts a duration to a span of the policy.
fn to_span(duration: Duration) -> Span {
    Span::from_ms(duration.as_secs_f64() * 1e3)
}

/// Converts a span of the policy to a duration.
fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0.unsigned_abs())
}
