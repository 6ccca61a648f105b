//! The format of the fleet file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    pub(super) version: u32,
    pub(super) fleet: String,
    pub(super) name: Option<String>,
    pub(super) site: String,
    pub(super) listen: SocketAddr,
    pub(super) advertise: Option<SocketAddr>,
    pub(super) serves: Option<SocketAddr>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) period_ms: Option<u64>,
    pub(super) answer_ms: Option<u64>,
    pub(super) forget_s: Option<u64>,
    pub(super) members: Option<usize>,
    #[serde(default, rename = "keepers")]
    pub(super) voters: Vec<String>,
    #[serde(default)]
    pub(super) budgets: BTreeMap<String, BudgetSection>,
    #[serde(default)]
    pub(super) counts: bool,
    #[serde(default)]
    pub(super) judgements: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BudgetSection {
    pub(super) total: u64,
    #[serde(default)]
    pub(super) floors: BTreeMap<String, u64>,
}
