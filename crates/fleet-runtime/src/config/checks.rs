//! Checks the values in a fleet file. The first invalid value is reported, with the line of its
//! field.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use json5_errors::{line_starting_with, ConfigFileError};
use membership::packet::MAX_NAME_LEN;
use membership::Settings;

use super::file::{BudgetSection, FleetFile};
use super::{LEDGER_BUDGET, RETRY_BUDGET};

/// The supported version of the file format.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of voters. Each change of the leader needs answers from a majority of them.
const MAX_VOTERS: usize = 7;
/// Maximum total of a budget, in units.
const MAX_BUDGET_TOTAL: u64 = 1_000_000;
const PROBE_INTERVAL_RANGE_MS: RangeInclusive<u64> = 50..=60_000;
const PROBE_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 5..=20_000;
const TOMBSTONE_RETENTION_RANGE_S: RangeInclusive<u64> = 60..=7 * 24 * 3600;
const MAX_MEMBERS_RANGE: RangeInclusive<u64> = 2..=100_000;

type CheckResult = Result<(), ConfigFileError>;

pub(super) struct Checker<'a> {
    file_name: &'a str,
    text: &'a str,
}

impl<'a> Checker<'a> {
    pub(super) fn new(file_name: &'a str, text: &'a str) -> Checker<'a> {
        Checker { file_name, text }
    }

    pub(super) fn check(&self, file: &FleetFile) -> CheckResult {
        self.check_version(file.version)?;
        self.check_name("fleet", Some(&file.fleet))?;
        self.check_name("site", Some(&file.site))?;
        self.check_name("name", file.name.as_ref())?;
        self.check_range("period_ms", file.period_ms, &PROBE_INTERVAL_RANGE_MS)?;
        self.check_range("answer_ms", file.answer_ms, &PROBE_TIMEOUT_RANGE_MS)?;
        self.check_range("forget_s", file.forget_s, &TOMBSTONE_RETENTION_RANGE_S)?;
        let members = file.members.map(|members| members as u64);
        self.check_range("members", members, &MAX_MEMBERS_RANGE)?;
        self.check_addresses(file)?;
        self.check_voters(&file.voters)?;
        self.check_budgets(file)
    }

    /// Checks that a direct probe, its repetition and an indirect probe fit in one probe interval.
    pub(super) fn check_timing(&self, settings: &Settings) -> CheckResult {
        if settings.probe_timeout * 4 > settings.probe_interval {
            return Err(self.error("answer_ms", "is more than a quarter of the period".into()));
        }
        Ok(())
    }

    fn error(&self, field: &str, message: String) -> ConfigFileError {
        ConfigFileError {
            file: self.file_name.into(),
            line: line_starting_with(self.text, field),
            field: field.into(),
            message,
        }
    }

    fn check_version(&self, version: u32) -> CheckResult {
        if version != FORMAT_VERSION {
            let message = format!("{version} is not supported, expected {FORMAT_VERSION}");
            return Err(self.error("version", message));
        }
        Ok(())
    }

    fn check_name(&self, field: &str, name: Option<&String>) -> CheckResult {
        if name.is_some_and(|name| !is_valid_name(name)) {
            return Err(self.error(field, format!("is not of 1 to {MAX_NAME_LEN} bytes")));
        }
        Ok(())
    }

    fn check_range(
        &self,
        field: &str,
        value: Option<u64>,
        range: &RangeInclusive<u64>,
    ) -> CheckResult {
        match value {
            Some(value) if !range.contains(&value) => {
                let message = format!("{value} is not from {} to {}", range.start(), range.end());
                Err(self.error(field, message))
            }
            _ => Ok(()),
        }
    }

    fn check_addresses(&self, file: &FleetFile) -> CheckResult {
        self.check_destination("advertise", file.advertise)?;
        self.check_destination("serves", file.serves)?;
        for seed in &file.seeds {
            self.check_destination("seeds", Some(*seed))?;
        }
        if file.listen.ip().is_unspecified() && file.advertise.is_none() {
            return Err(self.error(
                "listen",
                "is the unspecified address, so advertise is required".into(),
            ));
        }
        Ok(())
    }

    fn check_destination(&self, field: &str, address: Option<SocketAddr>) -> CheckResult {
        match address {
            Some(address) if address.port() == 0 || address.ip().is_unspecified() => {
                Err(self.error(field, format!("{address} is not a valid destination")))
            }
            _ => Ok(()),
        }
    }

    fn check_voters(&self, voters: &[String]) -> CheckResult {
        let distinct: BTreeSet<&String> = voters.iter().collect();
        if distinct.len() != voters.len() || !voters.iter().all(|voter| is_valid_name(voter)) {
            return Err(self.error("keepers", "has a duplicate or an invalid name".into()));
        }
        let has_no_majority = !voters.is_empty() && voters.len().is_multiple_of(2);
        if voters.len() > MAX_VOTERS || has_no_majority {
            return Err(self.error(
                "keepers",
                format!("does not name 1, 3, 5 or {MAX_VOTERS} members"),
            ));
        }
        Ok(())
    }

    fn check_budgets(&self, file: &FleetFile) -> CheckResult {
        if !file.budgets.is_empty() && file.voters.is_empty() {
            return Err(self.error(
                "budgets",
                "need keepers, which elect the member that grants them".into(),
            ));
        }
        for (name, budget) in &file.budgets {
            self.check_budget(name, budget)?;
        }
        Ok(())
    }

    fn check_budget(&self, name: &str, budget: &BudgetSection) -> CheckResult {
        let field = format!("budgets.{name}");
        if ![LEDGER_BUDGET, RETRY_BUDGET].contains(&name) {
            let message = format!("is not supported, expected {LEDGER_BUDGET} or {RETRY_BUDGET}");
            return Err(self.error(&field, message));
        }
        let guaranteed = checked_sum(&budget.floors);
        if budget.total > MAX_BUDGET_TOTAL || guaranteed.is_none_or(|sum| sum > budget.total) {
            let message = format!(
                "has floors whose sum exceeds its total, or a total above {MAX_BUDGET_TOTAL}"
            );
            return Err(self.error(&field, message));
        }
        Ok(())
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_LEN
}

/// Returns the sum of the guaranteed quotas. `None` if it overflows.
fn checked_sum(quotas: &BTreeMap<String, u64>) -> Option<u64> {
    quotas
        .values()
        .try_fold(0u64, |sum, quota| sum.checked_add(*quota))
}
