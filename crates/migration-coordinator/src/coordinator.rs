//! Decides which migrations run and with which epochs, which nodes receive their commands, when
//! commands are resent, and when a migration is aborted. [`cells::Migration`] implements the
//! protocol of a single migration.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::migration::{Epoch, MigrationEvent, MigrationId, MigrationReport};
use cells::{AssignedCells, CellMap, LayoutError, MigrationPhase, Name};

use crate::effect::{AssignmentRecord, Effect, JournalRecord};
use crate::entry::{MigrationEntry, RunningMigration};
use crate::journal::RecoveredState;
use crate::planning::{plan_migration, QueuedJob, StartError};
use crate::timeouts::Timeouts;

/// Number of epochs that each migration reserves: its own, and the one that aborting it creates.
const EPOCHS_PER_MIGRATION: Epoch = 2;

/// Position of the run id within a migration id. The lower bits count the migrations of the run.
const RUN_ID_SHIFT: u32 = 32;

/// The decisions of one run of the coordinator. Each method returns the effects that the caller
/// must carry out, in order.
pub struct Coordinator {
    timeouts: Timeouts,
    map: CellMap,
    /// Last epoch that was reserved for any migration.
    last_epoch: Epoch,
    running: BTreeMap<Name, RunningMigration>,
    queue: Vec<QueuedJob>,
    /// Id of the last migration. Its upper half is the run id, which differs from those of all
    /// other runs.
    last_id: MigrationId,
}

impl Coordinator {
    /// Resumes from a journal, with the map of the current layout. `run_id` must differ from that
    /// of every other run of a coordinator, for example by being random: it keeps the migration ids
    /// of different runs distinct.
    ///
    /// # Errors
    /// Returns an error if the journal assigns a tenant to a cell that the map no longer contains.
    pub fn recover(
        timeouts: Timeouts,
        map: CellMap,
        recovered: RecoveredState,
        run_id: u32,
        now: Duration,
    ) -> Result<Coordinator, LayoutError> {
        let mut map = map;
        for record in recovered.assignments {
            // A tenant that is no longer declared needs no assignment.
            if map.assignment(&record.tenant).is_some() {
                map = map.with_assignment(
                    &record.tenant,
                    record.cells,
                    Some(record.since),
                    record.is_manual,
                )?;
            }
        }
        let mut running = BTreeMap::new();
        for entry in recovered.migrations {
            let tenant = entry.tenant.clone();
            running.insert(tenant, RunningMigration::recover(entry, &timeouts, now));
        }
        Ok(Coordinator {
            last_epoch: recovered.last_epoch.max(map.epoch()),
            running,
            queue: Vec::new(),
            last_id: u64::from(run_id) << RUN_ID_SHIFT,
            timeouts,
            map,
        })
    }

    /// Returns the current map.
    pub fn map(&self) -> &CellMap {
        &self.map
    }

    /// Returns the tenants whose migrations are running, each with the phase of its migration.
    pub fn running(&self) -> impl Iterator<Item = (&Name, MigrationPhase)> {
        self.running
            .iter()
            .map(|(tenant, running)| (tenant, running.entry.migration.phase))
    }

    /// Returns the number of queued jobs, which wait for running migrations to finish.
    pub fn queued_jobs(&self) -> usize {
        self.queue.len()
    }

    /// Queues a migration of a tenant, and starts it as soon as the limit of concurrent migrations
    /// allows. An impossible migration is rejected at once.
    ///
    /// # Errors
    /// Returns an error if the migration is impossible.
    pub fn start_migration(
        &mut self,
        tenant: &str,
        to: AssignedCells,
        is_manual: bool,
        now: Duration,
    ) -> Result<Vec<Effect>, StartError> {
        let is_running = self
            .running
            .get(tenant)
            .is_some_and(|running| !running.entry.is_adoption);
        if is_running || self.queue.iter().any(|job| job.migrates(tenant)) {
            return Err(StartError::AlreadyMigrating);
        }
        let assignment = self
            .map
            .assignment(tenant)
            .ok_or(StartError::UnknownTenant)?;
        if assignment.cells == to {
            return Err(StartError::AlreadyAssigned);
        }
        // This only checks that the migration is possible; it is planned again when it starts.
        plan_migration(&self.map, tenant, &to, 0, 0)?;
        self.queue.push(QueuedJob::Migrate {
            tenant: tenant.into(),
            to,
            is_manual,
        });
        Ok(self.start_queued_jobs(now))
    }

    /// Handles the restart of a node's process, which has lost its keys and serves no requests. The
    /// node adopts each tenant of its cell again, once no other migration of that tenant is
    /// running.
    pub fn handle_node_restart(&mut self, node: &str, now: Duration) -> Vec<Effect> {
        let Some(cell) = self.map.node(node).map(|n| n.cell.clone()) else {
            return Vec::new();
        };
        let assigned = self
            .map
            .assignments()
            .filter(|(_, assignment)| assignment.cells.names().contains(&cell))
            .map(|(tenant, _)| tenant);
        // A tenant that is migrating to this cell may have been handed over to the node's earlier
        // incarnation.
        let migrating_here = self
            .running
            .values()
            .map(|running| &running.entry)
            .filter(|entry| entry.to.names().contains(&cell) && !entry.is_adoption)
            .map(|entry| &entry.tenant);
        let mut tenants: Vec<&Name> = assigned.chain(migrating_here).collect();
        tenants.sort();
        tenants.dedup();
        let mut jobs: Vec<QueuedJob> = tenants
            .into_iter()
            .map(|tenant| QueuedJob::Adopt {
                tenant: tenant.clone(),
                node: node.into(),
            })
            .collect();
        jobs.retain(|job| !self.queue.contains(job));
        // Adoptions come before all other jobs, because the node serves none of these tenants until
        // then.
        self.queue.splice(0..0, jobs);
        self.start_queued_jobs(now)
    }

    /// Starts queued jobs, at most one per tenant at a time, up to the limit of concurrent
    /// migrations.
    fn start_queued_jobs(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.running.len() < self.timeouts.max_concurrent_migrations {
            let startable = |job: &QueuedJob| !self.running.contains_key(job.tenant());
            let Some(index) = self.queue.iter().position(startable) else {
                break;
            };
            let job = self.queue.remove(index);
            effects.extend(self.start_job(&job, now));
        }
        effects
    }

    fn start_job(&mut self, job: &QueuedJob, now: Duration) -> Vec<Effect> {
        self.last_id += 1;
        let Some(entry) = job.plan(&self.map, self.last_id, self.last_epoch + 1) else {
            // The migration became impossible because the map changed while the job was queued.
            return match job {
                QueuedJob::Migrate { tenant, .. } => vec![Effect::MigrationFinished {
                    tenant: tenant.clone(),
                    is_committed: false,
                }],
                QueuedJob::Adopt { .. } => Vec::new(),
            };
        };
        self.last_epoch += EPOCHS_PER_MIGRATION;
        let mut effects = vec![Effect::WriteJournal(vec![self.migration_record(&entry)])];
        effects.extend(entry.send_effects());
        let running = RunningMigration::start(entry, &self.timeouts, now);
        self.running.insert(job.tenant().clone(), running);
        effects
    }

    fn migration_record(&self, entry: &MigrationEntry) -> JournalRecord {
        JournalRecord::Migration {
            entry: Box::new(entry.clone()),
            last_epoch: self.last_epoch,
        }
    }

    /// Handles a node's report about this tenant.
    pub fn handle_report(
        &mut self,
        tenant: &str,
        node: &str,
        report: MigrationReport,
        now: Duration,
    ) -> Vec<Effect> {
        let running = self.running.get(tenant);
        let Some(id) = running.and_then(|running| running.entry.node_id(node)) else {
            return Vec::new();
        };
        self.apply_event(tenant, &MigrationEvent::ReportReceived(id, report), now)
    }

    /// Handles a node that certainly serves no requests: its process has exited, or its lease has
    /// expired since the last message from it.
    pub fn handle_fenced_node(&mut self, node: &str, now: Duration) -> Vec<Effect> {
        let tenants: Vec<Name> = self.running.keys().cloned().collect();
        let mut effects = Vec::new();
        for tenant in tenants {
            let running = self.running.get(&tenant);
            if let Some(id) = running.and_then(|running| running.entry.node_id(node)) {
                effects.extend(self.apply_event(&tenant, &MigrationEvent::NodeFenced(id), now));
            }
        }
        effects
    }

    /// Aborts the migration of a tenant, or removes it from the queue. A committed migration runs
    /// to completion.
    pub fn abort_migration(&mut self, tenant: &str, now: Duration) -> Vec<Effect> {
        let queued = self.queue.iter().position(|job| job.migrates(tenant));
        if let Some(index) = queued {
            let job = self.queue.remove(index);
            return vec![Effect::MigrationFinished {
                tenant: job.tenant().clone(),
                is_committed: false,
            }];
        }
        self.apply_event(tenant, &MigrationEvent::AbortRequested, now)
    }

    fn apply_event(&mut self, tenant: &str, event: &MigrationEvent, now: Duration) -> Vec<Effect> {
        let Some(running) = self.running.get_mut(tenant) else {
            return Vec::new();
        };
        let phase_before = running.entry.migration.phase;
        if !running.entry.migration.apply(event) {
            return Vec::new();
        }
        let entry = running.entry.clone();
        // These records are written in one transaction: a commit without its assignment, or the
        // reverse, would assign the tenant to both sides.
        let mut records = vec![self.migration_record(&entry)];
        let mut publish = None;
        if is_newly_committed(&entry, phase_before) {
            records.push(self.commit_assignment(&entry));
            publish = Some(Effect::PublishMap(self.map.epoch()));
        }
        if entry.migration.is_finished() {
            records.push(JournalRecord::Finished(entry.tenant.clone()));
        }
        let mut effects = vec![Effect::WriteJournal(records)];
        effects.extend(publish);
        if entry.migration.is_finished() {
            effects.extend(self.finish_migration(entry, now));
        } else if entry.migration.phase != phase_before {
            effects.extend(self.send_new_phase(tenant, now));
        }
        effects
    }

    /// Applies the assignment that a migration commits to the map, and returns its record.
    fn commit_assignment(&mut self, entry: &MigrationEntry) -> JournalRecord {
        let record = AssignmentRecord {
            tenant: entry.tenant.clone(),
            cells: entry.to.clone(),
            since: entry.migration.epoch,
            is_manual: entry.is_manual,
        };
        // If one of the cells was removed in the meantime, the map stays as it is, but the nodes of
        // the migration still serve the tenant.
        if let Ok(map) = self.map.with_assignment(
            &entry.tenant,
            entry.to.clone(),
            Some(entry.migration.epoch),
            entry.is_manual,
        ) {
            self.map = map;
        }
        JournalRecord::Assignment(record)
    }

    fn finish_migration(&mut self, entry: MigrationEntry, now: Duration) -> Vec<Effect> {
        self.running.remove(&entry.tenant);
        let mut effects = Vec::new();
        if !entry.is_adoption {
            effects.push(Effect::MigrationFinished {
                tenant: entry.tenant,
                is_committed: entry.migration.phase == MigrationPhase::Done,
            });
        }
        effects.extend(self.start_queued_jobs(now));
        effects
    }

    fn send_new_phase(&mut self, tenant: &str, now: Duration) -> Vec<Effect> {
        let Some(running) = self.running.get_mut(tenant) else {
            return Vec::new();
        };
        running.reset_resend_timer(&self.timeouts, now);
        running.entry.send_effects()
    }

    /// Resends commands that were not acknowledged in time, and aborts migrations that were not
    /// committed in time.
    pub fn handle_timers(&mut self, now: Duration) -> Vec<Effect> {
        let due: Vec<Name> = self
            .running
            .iter()
            .filter(|(_, running)| running.resend_at <= now)
            .map(|(tenant, _)| tenant.clone())
            .collect();
        let mut effects = Vec::new();
        for tenant in due {
            effects.extend(self.handle_timer(&tenant, now));
        }
        effects
    }

    fn handle_timer(&mut self, tenant: &str, now: Duration) -> Vec<Effect> {
        let Some(running) = self.running.get(tenant) else {
            return Vec::new();
        };
        if running.has_timed_out(&self.timeouts, now) {
            let abort = self.apply_event(tenant, &MigrationEvent::AbortRequested, now);
            if !abort.is_empty() {
                return abort;
            }
        }
        let Some(running) = self.running.get_mut(tenant) else {
            return Vec::new();
        };
        running.back_off(&self.timeouts, now);
        running.entry.send_effects()
    }

    /// Returns the time at which [`Coordinator::handle_timers`] is due next; none while no
    /// migration is running.
    pub fn next_timer(&self) -> Option<Duration> {
        self.running.values().map(|running| running.resend_at).min()
    }
}

/// Returns true if a migration has been committed since it was in the phase `before`.
fn is_newly_committed(entry: &MigrationEntry, before: MigrationPhase) -> bool {
    !entry.is_adoption
        && before < MigrationPhase::Commit
        && matches!(
            entry.migration.phase,
            MigrationPhase::Commit | MigrationPhase::Release | MigrationPhase::Done
        )
}
