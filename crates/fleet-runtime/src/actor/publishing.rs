//! Publishes the state of the membership to the process and to the log.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use membership::{AdvertisedStatus, Liveness, MemberRecord, Name};
use shared_state::ReportingMember;
use slog::{debug, info};

use crate::snapshot::MembershipSnapshot;

use super::FleetActor;

/// Publishes snapshots of the membership and notifies the process.
pub(super) struct Publisher {
    snapshot: Arc<ArcSwap<MembershipSnapshot>>,
    on_change: Box<dyn Fn() + Send>,
    /// Time at which the next snapshot is due. `None` while nothing has changed.
    publish_at: Option<Instant>,
}

impl Publisher {
    pub(super) fn new(
        snapshot: Arc<ArcSwap<MembershipSnapshot>>,
        on_change: Box<dyn Fn() + Send>,
    ) -> Publisher {
        Publisher {
            snapshot,
            on_change,
            publish_at: None,
        }
    }

    pub(super) fn publish_at(&self) -> Option<Instant> {
        self.publish_at
    }

    /// Notifies the process that published state has changed.
    pub(super) fn notify(&self) {
        (self.on_change)();
    }

    fn schedule(&mut self) {
        self.publish_at.get_or_insert_with(Instant::now);
    }

    /// Returns true if a snapshot is due, and resets that.
    fn start_if_due(&mut self) -> bool {
        let now = Instant::now();
        let is_due = self.publish_at.is_some_and(|publish_at| publish_at <= now);
        if is_due {
            self.publish_at = None;
        }
        is_due
    }

    fn store(&self, snapshot: MembershipSnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }
}

impl FleetActor {
    /// Schedules a snapshot for the end of this iteration of the loop.
    pub(super) fn schedule_publication(&mut self) {
        self.publisher.schedule();
    }

    pub(super) fn publish_if_due(&mut self) {
        if !self.publisher.start_if_due() {
            return;
        }
        self.publisher
            .store(MembershipSnapshot::capture(&self.membership));
        self.update_reporting_members();
        self.publisher.notify();
    }

    /// Passes the members that serve clients to the aggregation, which chooses its aggregators
    /// among them.
    fn update_reporting_members(&mut self) {
        let Some(aggregation) = &mut self.aggregation else {
            return;
        };
        let reporting = self
            .membership
            .members()
            .filter(|record| serves_clients(record))
            .map(|record| ReportingMember {
                name: &record.name,
                site: &record.site,
            });
        aggregation.node.set_members(reporting);
    }

    /// Logs a change of a member's state, unless it equals the state that was last published.
    pub(super) fn log_member_change(&self, record: &MemberRecord) {
        let published = self.publisher.snapshot.load();
        let previous = published.member(&record.name).map(LoggedState::from);
        let current = LoggedState::from(record);
        if previous == Some(current) {
            return;
        }
        let liveness = match current.liveness {
            Liveness::Alive => "alive",
            Liveness::Suspect => "suspect",
            Liveness::Dead => "dead",
        };
        // Logged at debug level: the loss of a few datagrams is enough to make a member suspect and
        // alive again.
        let is_refuted = current.liveness == Liveness::Alive
            && previous.is_some_and(|previous| previous.liveness == Liveness::Suspect);
        if current.liveness == Liveness::Suspect || is_refuted {
            debug!(self.log, "member"; "name" => &*record.name, "status" => ?current.status,
                "liveness" => liveness);
        } else {
            info!(self.log, "member"; "name" => &*record.name, "status" => ?current.status,
                "liveness" => liveness, "at" => %record.address, "incarnation" => current.incarnation);
        }
    }

    pub(super) fn log_supersession_change(&mut self) {
        if self.membership.is_superseded() == self.is_superseded {
            return;
        }
        self.is_superseded = !self.is_superseded;
        let note = if self.is_superseded {
            "another process uses this member's name"
        } else {
            "this process uses the name again"
        };
        info!(self.log, "membership"; "note" => note);
    }

    pub(super) fn log_partition_status_change(&mut self) {
        let status = self.membership.partition_status();
        if status == self.partition_status {
            return;
        }
        self.partition_status = status;
        let sites: BTreeSet<Name> = self.membership.sites();
        let sites: Vec<&str> = sites.iter().map(|site| &**site).collect();
        info!(self.log, "membership"; "partition_status" => status.as_str(),
            "present" => self.membership.present_count(), "lost" => self.membership.lost_count(),
            "sites" => sites.join(" "));
        self.schedule_publication();
    }
}

/// Returns true if a member is present and serves clients.
pub(super) fn serves_clients(record: &MemberRecord) -> bool {
    record.client_address.is_some() && record.state.is_present()
}

/// The part of a member's record whose changes are logged.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LoggedState {
    incarnation: u64,
    status: AdvertisedStatus,
    liveness: Liveness,
}

impl From<&MemberRecord> for LoggedState {
    fn from(record: &MemberRecord) -> LoggedState {
        LoggedState {
            incarnation: record.state.incarnation,
            status: record.state.status,
            liveness: record.state.liveness,
        }
    }
}
