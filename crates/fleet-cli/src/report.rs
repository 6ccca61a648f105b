//! The output of commands as data. The field names of the JSON are a stable format; some differ
//! from the names here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet_runtime::QueryReply;
use membership::{AdvertisedStatus, Liveness, MemberRecord};
use serde::Serialize;

/// A member of the fleet as another member knows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberReport {
    /// The name of the member's state, see [`state_name`].
    pub state: &'static str,
    /// The name of the member's site.
    pub site: String,
    /// The incarnation of the member, which is higher with each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The version of the member's state within its incarnation.
    #[serde(rename = "incarnation")]
    pub version: u32,
    /// The UDP address of the member.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// The address to which clients connect. `None` for a member that serves no clients.
    #[serde(rename = "serves")]
    pub client_address: Option<SocketAddr>,
}

/// A member's view of the fleet.
#[derive(Debug, Serialize)]
pub struct ViewReport {
    /// The name of the member whose view it is.
    #[serde(rename = "seen_by")]
    pub observer: String,
    /// `whole`, `part` or `alone`: the member sees a majority of the fleet, at most half of it, or
    /// no other member.
    #[serde(rename = "conclusion")]
    pub partition_status: String,
    /// Time since the partition status last changed, in milliseconds.
    pub for_ms: u64,
    /// A digest of the view in hexadecimal. Equal views have equal digests.
    pub digest: String,
    /// Number of members that are present (alive or suspect).
    pub present: u32,
    /// Number of members that were declared dead without having left.
    pub lost: u32,
    /// The member's local health score; 0 for a healthy member.
    pub health: u32,
    /// Number of datagrams that it has dropped since its start.
    pub dropped: u64,
    /// The members that it knows, by name.
    pub members: BTreeMap<String, MemberReport>,
}

/// The views of all members, and where they differ.
#[derive(Debug, Serialize)]
pub struct FleetReport {
    /// The view of each member, by name. `None` for a member that did not answer.
    pub views: BTreeMap<String, Option<ViewReport>>,
    /// True if all views are equal.
    #[serde(rename = "same")]
    pub is_consistent: bool,
    /// For each member that is seen in different states: the members that see it in each state.
    #[serde(rename = "differ")]
    pub differences: BTreeMap<String, BTreeMap<String, Vec<String>>>,
}

/// Returns the name of a member's state: `suspected`, `gone` (dead), `left`, or the status that it
/// advertises.
pub fn state_name(record: &MemberRecord) -> &'static str {
    match (record.state.liveness, record.state.status) {
        (_, AdvertisedStatus::Left) => "left",
        (Liveness::Dead, _) => "gone",
        (Liveness::Suspect, _) => "suspected",
        (Liveness::Alive, AdvertisedStatus::Joining) => "joining",
        (Liveness::Alive, AdvertisedStatus::Up) => "up",
        (Liveness::Alive, AdvertisedStatus::Quiesced) => "quiesced",
        (Liveness::Alive, AdvertisedStatus::Leaving) => "leaving",
    }
}

impl From<&MemberRecord> for MemberReport {
    fn from(record: &MemberRecord) -> MemberReport {
        MemberReport {
            state: state_name(record),
            site: record.site.to_string(),
            incarnation: record.state.incarnation,
            version: record.state.version,
            address: record.address,
            client_address: record.client_address,
        }
    }
}

impl From<&QueryReply> for ViewReport {
    fn from(reply: &QueryReply) -> ViewReport {
        let summary = &reply.summary;
        ViewReport {
            observer: reply.responder.name.to_string(),
            partition_status: summary.partition_status.to_string(),
            for_ms: summary.status_age_ms,
            digest: format!("{:016x}", summary.digest),
            present: summary.present,
            lost: summary.lost,
            health: summary.local_health,
            dropped: summary.dropped,
            members: reply
                .members
                .iter()
                .map(|record| (record.name.to_string(), MemberReport::from(record)))
                .collect(),
        }
    }
}
