//! The main thread of a node: serves until it receives the signal to shut down, then drains open
//! work and exits.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{after, bounded, never, select, Receiver, Sender};
use lifecycle::{ProcessState, SiblingProcess, Transition};
use protocol_gateway::fleet_membership::FleetMembership;
use protocol_gateway::instance_lock::InstanceLock;
use protocol_gateway::net::endpoint_list;
use protocol_gateway::node::config::Config;
use protocol_gateway::node::{Limits, NodeStatus, PolicyMessage, RateLimitedLog};
use slog::{info, Logger};

use crate::actors::Actors;
use crate::client_socket::ClientSocket;
use crate::reload::ConfigReloader;
use crate::resource_divider::ResourceDivider;
use crate::signals::Signals;
use crate::startup::{share_run_ids, StartError};

/// The process exits a quarter of the stop margin before the platform kills it. The policy has
/// answered every request a whole stop margin before the kill, which leaves three quarters of the
/// margin for writing the last answers.
const EXIT_MARGIN_DIVISOR: u32 = 4;

/// The work that the process leaves running is recorded this many quarters of the stop margin
/// before the kill: early enough to be written even on a busy machine.
const RECORD_MARGIN_FACTOR: u32 = 3;

/// A node whose actors are running.
pub(crate) struct Node {
    pub(crate) config: Config,
    pub(crate) limits: Limits,
    pub(crate) status: Arc<NodeStatus>,
    pub(crate) policy: Sender<PolicyMessage>,
    pub(crate) actors: Actors,
    pub(crate) signals: Signals,
    pub(crate) client_socket: ClientSocket,
    pub(crate) reloader: ConfigReloader,
    pub(crate) instance_lock: InstanceLock,
    pub(crate) divider: ResourceDivider,
    /// Limits the rate of log records about calls that could not be recorded.
    pub(crate) unrecorded_calls: RateLimitedLog,
    pub(crate) member: FleetMembership,
    pub(crate) log: Logger,
}

/// Why the node stopped serving.
enum ServeEnd {
    /// The signal to shut down was received.
    ShutDown,
    /// The policy's thread has ended.
    PolicyEnded,
}

/// A shutdown that has begun.
struct Shutdown {
    /// True if another process of the node accepts clients.
    is_replaced: bool,
    /// Duration from the beginning of the shutdown until the platform kills the process.
    time_left: Duration,
}

impl Node {
    /// Serves until the signal to shut down is received and every request is answered, or the time
    /// for answering has elapsed.
    pub(crate) fn run(mut self) -> Result<ExitCode, StartError> {
        self.inherit_earlier_work();
        let mut poll = self.next_poll();
        match self.serve(&mut poll)? {
            ServeEnd::ShutDown => Ok(self.shut_down(&mut poll)),
            ServeEnd::PolicyEnded => Ok(ExitCode::FAILURE),
        }
    }

    /// Joins the fleet, unless another process of the node accepts clients: until this process
    /// takes over, the other one is the member with the node's name.
    pub(crate) fn join_fleet_unless_replacing(&mut self) -> Result<(), StartError> {
        self.member.set_sibling_running(self.has_sibling());
        if self.instance_lock.sibling() != SiblingProcess::AcceptingClients {
            self.join_fleet()?;
        }
        Ok(())
    }

    fn join_fleet(&mut self) -> Result<(), StartError> {
        self.member
            .join(self.status.process_state(), self.client_socket.address())
            .map_err(StartError::system("fleet"))
    }

    /// Returns whether another process of the node exists or this one is still waiting for its
    /// instance lock.
    fn has_sibling(&self) -> bool {
        !self.instance_lock.may_accept_clients()
            || self.instance_lock.sibling() != SiblingProcess::Absent
    }

    /// Returns a channel that receives a message when the other process is to be checked again.
    fn next_poll(&self) -> Receiver<Instant> {
        match self.config.admin {
            Some(_) if self.divider.holds_all() => {
                after(self.limits.replacement.poll_interval_alone)
            }
            Some(_) => after(self.limits.replacement.poll_interval),
            None => never(),
        }
    }

    fn serve(&mut self, poll: &mut Receiver<Instant>) -> Result<ServeEnd, StartError> {
        let started_at = Instant::now();
        let mut is_executor_ready = false;
        loop {
            select! {
                recv(self.signals.shut_down) -> _ => return Ok(ServeEnd::ShutDown),
                recv(self.signals.reload) -> _ => {
                    self.reloader.reload();
                    self.member.reload_config();
                }
                recv(self.status.executor_ready()) -> _ => is_executor_ready = true,
                recv(poll) -> _ => {
                    self.check_sibling();
                    *poll = self.next_poll();
                }
                recv(self.actors.state_changes) -> _ => {
                    self.report_state_change();
                    self.member.advertise_state(self.status.process_state());
                }
                recv(self.actors.policy_ended) -> _ => return Ok(ServeEnd::PolicyEnded),
            }
            // Without a resource share the process could only reject requests.
            let has_waited = started_at.elapsed() >= self.limits.replacement.first_share_timeout;
            let has_share = self.divider.holds_any() || has_waited;
            if is_executor_ready && self.instance_lock.may_accept_clients() && has_share {
                is_executor_ready = false;
                self.accept_clients()?;
            }
        }
    }

    /// Reports to the policy the work that an earlier process with the same instance file left
    /// running, and the calls that earlier processes had at an unresponsive database when they were
    /// killed.
    fn inherit_earlier_work(&self) {
        if let Some(work) = self.instance_lock.take_earlier_work(&self.log) {
            let _ = self.policy.send(PolicyMessage::EarlierWorkFound(work));
        }
        let calls = self.instance_lock.take_earlier_calls();
        if calls > 0 {
            let _ = self.policy.send(PolicyMessage::EarlierCallsFound(calls));
        }
    }

    /// Updates the record of this process's calls at an unresponsive database. The number is 0 as
    /// long as the database responds.
    fn record_calls_at_unresponsive_database(&mut self) {
        let calls = self.status.calls_at_unresponsive_database() as u32;
        self.instance_lock.record_calls_at_unresponsive_database(
            calls,
            &self.unrecorded_calls,
            &self.log,
        );
    }

    /// Checks the other process of the node and adapts to its changes.
    fn check_sibling(&mut self) {
        if !self.instance_lock.may_accept_clients() {
            self.instance_lock
                .try_acquire(self.status.process_state(), &self.log);
            share_run_ids(&self.instance_lock, &self.policy, &self.log);
            self.inherit_earlier_work();
        }
        self.record_calls_at_unresponsive_database();
        // Only the later of two processes records that it has a sibling, which leaves the node's
        // part of the fleet's quotas to the earlier one.
        if self.member.is_sibling_running() {
            self.member.set_sibling_running(self.has_sibling());
        }
        self.update_shares();
    }

    fn update_shares(&mut self) {
        let connections = self.actors.json_rpc.connection_count();
        self.divider.update(&self.instance_lock, connections);
    }

    fn accept_clients(&mut self) -> Result<(), StartError> {
        self.client_socket.open(&self.actors.json_rpc)?;
        // Published before the admin listener reports it: the platform ends the other process on
        // that report.
        self.instance_lock.publish(ProcessState::Serving);
        let _ = self.status.apply_transition(Transition::AcceptClients);
        self.join_fleet()?;
        self.report_state_change();
        Ok(())
    }

    /// Makes the endpoint list's actor report the new state at once.
    fn report_state_change(&self) {
        // If a message is already queued, it will report the new state.
        let _ = self
            .actors
            .endpoint_list_reports
            .try_send(endpoint_list::EndpointListMessage::StateChanged);
    }

    /// Drains the node: open requests are answered as far as the remaining time allows.
    fn shut_down(&mut self, poll: &mut Receiver<Instant>) -> ExitCode {
        let began_at = Instant::now();
        let Shutdown {
            is_replaced,
            time_left,
        } = self.begin_shutdown();
        let exit_margin = self.limits.stop_margin / EXIT_MARGIN_DIVISOR;
        let deadline = time_left.saturating_sub(exit_margin);
        // By then the policy has answered every request and starts no more work.
        let recorded_by = time_left.saturating_sub(exit_margin * RECORD_MARGIN_FACTOR);
        let mut is_recorded = false;
        let mut is_closed = is_replaced;
        loop {
            let is_idle = self.is_idle();
            // Clients that have not received the close notice yet still send requests. Those that
            // arrive within the drain grace are served.
            if !is_closed && is_idle && began_at.elapsed() > self.drain_grace() {
                is_closed = true;
                self.actors.json_rpc.stop_listening();
                self.actors.json_rpc.send_close_notices();
            }
            // The process that takes over accounts for the runs of this one as long as this one
            // holds its resource shares.
            let has_runs = is_replaced && self.status.open_runs() > 0;
            let is_drained = is_closed && is_idle && !has_runs && self.has_no_clients();
            let is_ending = is_drained || began_at.elapsed() >= deadline;
            let is_record_due = !is_recorded && began_at.elapsed() >= recorded_by;
            if is_record_due || is_ending {
                is_recorded = true;
                self.record_held_work();
            }
            if is_ending {
                self.log_shutdown(began_at.elapsed());
                self.member.leave(is_replaced);
                return ExitCode::SUCCESS;
            }
            select! {
                recv(after(self.limits.drain_poll_interval)) -> _ => {}
                recv(poll) -> _ => {
                    self.record_calls_at_unresponsive_database();
                    self.update_shares();
                    *poll = self.next_poll();
                }
                recv(self.signals.reload) -> _ => self.reloader.reload(),
                recv(self.actors.policy_ended) -> _ => return ExitCode::FAILURE,
            }
        }
    }

    /// Records the work that this process leaves running, for another process of the node. If this
    /// process is killed before it exits, the record that it wrote shortly before remains.
    fn record_held_work(&self) {
        let (sender, report) = bounded(1);
        let _ = self.policy.send(PolicyMessage::ReportHeldWork(sender));
        if let Ok(work) = report.recv_timeout(self.limits.replacement.held_work_timeout) {
            self.instance_lock.record_held_work(work, &self.log);
        }
    }

    /// Notifies all actors of the shutdown.
    fn begin_shutdown(&mut self) -> Shutdown {
        let sibling = self.instance_lock.sibling();
        let is_replaced = sibling == SiblingProcess::AcceptingClients;
        let _ = self.status.apply_transition(sibling.shutdown_transition());
        self.instance_lock.publish(self.status.process_state());
        let (time_left, message) = if is_replaced {
            let time_left = self.limits.replaced_lifetime(&self.config.site);
            info!(self.log, "replaced"; "time_left_ms" => time_left.as_millis() as u64,
                "unanswered" => self.status.unanswered());
            (time_left, PolicyMessage::Replaced(time_left))
        } else {
            // Not advertised if another process of the node takes over, because the node then
            // remains a member of the fleet.
            self.member.advertise_state(self.status.process_state());
            (self.config.shutdown_timeout, PolicyMessage::ShutDown)
        };
        let _ = self.policy.send(message);
        self.report_state_change();
        if is_replaced {
            // New clients connect to the other process.
            self.actors.json_rpc.stop_listening();
        }
        self.actors.json_rpc.send_close_notices();
        self.actors.amqp.begin_shutdown(time_left);
        Shutdown {
            is_replaced,
            time_left,
        }
    }

    /// Returns how long requests are still accepted after the notice to shut down.
    fn drain_grace(&self) -> Duration {
        let grace = self.config.site.settings.drain_grace;
        Duration::from_micros(grace.0.unsigned_abs())
    }

    /// Returns whether every request is answered and every answer is written.
    fn is_idle(&self) -> bool {
        self.actors.json_rpc.unfinished_count() == 0
            && self.status.unanswered() == 0
            && self.actors.amqp.has_shut_down()
    }

    /// Returns whether no client is connected or waiting to be accepted. The listener closes with a
    /// delay, so it is checked as well.
    fn has_no_clients(&self) -> bool {
        !self.actors.json_rpc.is_listening() && self.actors.json_rpc.connection_count() == 0
    }

    fn log_shutdown(&self, elapsed: Duration) {
        info!(self.log, "shut down"; "unanswered" => self.status.unanswered(),
            "unwritten" => self.actors.json_rpc.unfinished_count(),
            "unsettled" => self.actors.amqp.unsettled_count(), "ms" => elapsed.as_millis() as u64);
    }
}
