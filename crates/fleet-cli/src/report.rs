//! What commands print, as data. The field names of the JSON are a frozen format; some differ from the names here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet_runtime::QueryReply;
use membership::{AdvertisedStatus, Liveness, MemberRecord};
use serde::Serialize;

/// A member of the fleet as another member knows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberReport {
    /// The state's name, see [`state_name`].
    pub state: &'static str,
    /// The site.
    pub site: String,
    /// The run of the member's process; higher with each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The version of the member's state within its incarnation.
    #[serde(rename = "incarnation")]
    pub version: u32,
    /// The UDP address of the member.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Where clients connect; `None` for a member that serves none.
    #[serde(rename = "serves")]
    pub client_address: Option<SocketAddr>,
}

/// One member's view of the fleet.
#[derive(Debug, Serialize)]
pub struct ViewReport {
    /// The member whose view it is.
    #[serde(rename = "seen_by")]
    pub observer: String,
    /// `whole`, `part` or `alone`: whether the member is in contact with a majority, a minority, or nobody.
    #[serde(rename = "conclusion")]
    pub partition_status: String,
    /// For how many milliseconds the partition status has held.
    pub for_ms: u64,
    /// A digest of the view in hexadecimal; equal where two views are equal.
    pub digest: String,
    /// Members that are alive or suspect.
    pub present: u32,
    /// Members that died without leaving.
    pub lost: u32,
    /// The member's doubt of its own health, in points from 0.
    pub health: u32,
    /// Datagrams that were dropped since its start.
    pub dropped: u64,
    /// The members by name.
    pub members: BTreeMap<String, MemberReport>,
}

/// The views of all members, and where they differ.
#[derive(Debug, Serialize)]
pub struct FleetReport {
    /// The view of each member by name; `None` for a member that did not answer.
    pub views: BTreeMap<String, Option<ViewReport>>,
    /// Whether all views are equal.
    #[serde(rename = "same")]
    pub is_consistent: bool,
    /// For each member that is seen in different states: by state, the members that see it so.
    #[serde(rename = "differ")]
    pub differences: BTreeMap<String, BTreeMap<String, Vec<String>>>,
}

/// The name of a member's state: `suspected`, `gone`, `left`, or the status that it advertises.
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
