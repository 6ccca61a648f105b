//! Golden bytes of the queries that tools send to a member, and of the replies, as tools and
//! members may have different versions. The files under `golden/` never change.

use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

use fleet_runtime::{query_members, query_shared_state};
use membership::packet::ViewSummary;
use membership::{AdvertisedStatus, Body, Liveness, MemberRecord, MemberState, Packet};
use shared_state::{
    BudgetSnapshot, GuaranteedSnapshot, HolderSnapshot, LeaseSnapshot, Message, QuotaUsage,
    SharedStateSnapshot,
};

const QUERY_TIMEOUT: Duration = Duration::from_secs(20);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
fn record(name: &str, member_incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        site: "north".into(),
        address: SocketAddr::from(([192, 0, 2, 17], 7946)),
        client_address: None,
        state: MemberState {
            incarnation: member_incarnation,
            version: 3,
            status: AdvertisedStatus::Up,
            liveness: Liveness::Alive,
        },
        suspected_by: 0,
    }
}
fn reply_packet(body: Body, members: Vec<MemberRecord>) -> Packet {
    Packet {
        fleet: "billing".into(),
        sender: Some(record("me", 2)),
        body,
        updates: members,
    }
}
fn member_page(seq: u32, more_follow: bool, member: &str) -> Packet {
    let summary = ViewSummary {
        partition_status: "whole".into(),
        status_age_ms: 1,
        digest: 2,
        present: 3,
        lost: 4,
        local_health: 5,
        dropped: 6,
    };
    reply_packet(
        Body::QueryReply {
            seq,
            has_more: more_follow,
            summary,
        },
        vec![record(member, 9)],
    )
}
fn shared_state() -> SharedStateSnapshot {
    let budget = BudgetSnapshot {
        name: "calls".into(),
        total: 1,
        guaranteed: GuaranteedSnapshot {
            units: 2,
            is_available: true,
        },
        leased: LeaseSnapshot {
            units: 3,
            remaining_ms: 4,
        },
        usage: QuotaUsage {
            in_use: 5,
            demand: 6,
        },
        holders: vec![HolderSnapshot {
            name: "h".into(),
            reserved: 7,
            demand: 8,
        }],
        reserved: 9,
    };
    SharedStateSnapshot {
        leader: Some("g".into()),
        budgets: vec![budget],
        aggregate: None,
    }
}
fn member_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket
        .set_read_timeout(Some(QUERY_TIMEOUT))
        .expect("a read timeout");
    socket
}

/// A page is requested by the last name of the previous page. A query may be repeated with a later
/// sequence number, so only the first query is compared byte by byte, and each query is answered.
#[test]
fn member_query_is_stable() {
    let socket = member_socket();
    let at = socket.local_addr().expect("an address");
    let tool = thread::spawn(move || query_members(at, "billing", QUERY_TIMEOUT));
    let mut bytes = [0; 1400];
    let mut first = None;
    socket
        .set_read_timeout(Some(Duration::from_millis(20)))
        .expect("a read timeout");
    while !tool.is_finished() {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        first.get_or_insert_with(|| hex(&bytes[..n]));
        let query = Packet::decode(&bytes[..n], "billing").expect("a datagram");
        let Body::Query { seq, after } = query.body else {
            panic!("not a query")
        };
        let more_follow = after.is_empty();
        let reply = member_page(seq, more_follow, if more_follow { "n1" } else { "n2" });
        socket.send_to(&reply.encode(), from).expect("sent");
    }
    assert_eq!(
        first.as_deref(),
        Some(include_str!("golden/query.txt").trim())
    );
    let reply = tool
        .join()
        .expect("the tool's thread ends")
        .expect("a reply");
    assert_eq!(reply.members, [record("n1", 9), record("n2", 9)]);
    assert_eq!(reply.responder, record("me", 2));
}

#[test]
fn shared_state_query_is_stable() {
    let socket = member_socket();
    let at = socket.local_addr().expect("an address");
    let tool = thread::spawn(move || query_shared_state(at, "billing", QUERY_TIMEOUT));
    let mut bytes = [0; 1400];
    let (n, from) = socket.recv_from(&mut bytes).expect("a query");
    assert_eq!(hex(&bytes[..n]), include_str!("golden/look.txt").trim());
    let reply_bytes = reply_packet(
        Body::ApplicationMessage(Message::SnapshotReply(1, shared_state()).encode()),
        vec![],
    )
    .encode();
    assert_eq!(hex(&reply_bytes), include_str!("golden/looked.txt").trim());
    socket.send_to(&reply_bytes, from).expect("sent");
    let reply = tool
        .join()
        .expect("the tool's thread ends")
        .expect("a reply");
    assert_eq!(
        (reply.responder, reply.state),
        (record("me", 2), shared_state())
    );
}
