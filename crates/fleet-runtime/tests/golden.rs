//! Golden bytes of the queries that tools send to a member, and of the answers: tools and members may be of different
//! versions. The files under `golden/` never change.

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

const TIMEOUT: Duration = Duration::from_secs(20);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
fn record(name: &str, life: u64) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        site: "north".into(),
        address: SocketAddr::from(([192, 0, 2, 17], 7946)),
        client_address: None,
        state: MemberState {
            incarnation: life,
            version: 3,
            status: AdvertisedStatus::Up,
            liveness: Liveness::Alive,
        },
        suspected_by: 0,
    }
}
fn answer(body: Body, news: Vec<MemberRecord>) -> Packet {
    Packet {
        fleet: "billing".into(),
        sender: Some(record("me", 2)),
        body,
        updates: news,
    }
}
fn page(seq: u32, more: bool, member: &str) -> Packet {
    let summary = ViewSummary {
        partition_status: "whole".into(),
        status_age_ms: 1,
        digest: 2,
        present: 3,
        lost: 4,
        local_health: 5,
        dropped: 6,
    };
    answer(
        Body::QueryReply {
            seq,
            has_more: more,
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
    socket.set_read_timeout(Some(TIMEOUT)).expect("a time");
    socket
}

/// A page is requested by the last name of the page before. A query may be repeated under a later number, so only the first
/// is compared as bytes, and each is answered.
#[test]
fn member_query_is_stable() {
    let socket = member_socket();
    let at = socket.local_addr().expect("an address");
    let tool = thread::spawn(move || query_members(at, "billing", TIMEOUT));
    let mut bytes = [0; 1400];
    let mut first = None;
    socket
        .set_read_timeout(Some(Duration::from_millis(20)))
        .expect("a time");
    while !tool.is_finished() {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        first.get_or_insert_with(|| hex(&bytes[..n]));
        let query = Packet::decode(&bytes[..n], "billing").expect("a datagram");
        let Body::Query { seq, after } = query.body else {
            panic!("not a query")
        };
        let more = after.is_empty();
        let answer = page(seq, more, if more { "n1" } else { "n2" });
        socket.send_to(&answer.encode(), from).expect("sent");
    }
    assert_eq!(
        first.as_deref(),
        Some(include_str!("golden/query.txt").trim())
    );
    let reply = tool.join().expect("the tool").expect("an answer");
    assert_eq!(reply.members, [record("n1", 9), record("n2", 9)]);
    assert_eq!(reply.responder, record("me", 2));
}

#[test]
fn shared_state_query_is_stable() {
    let socket = member_socket();
    let at = socket.local_addr().expect("an address");
    let tool = thread::spawn(move || query_shared_state(at, "billing", TIMEOUT));
    let mut bytes = [0; 1400];
    let (n, from) = socket.recv_from(&mut bytes).expect("a query");
    assert_eq!(hex(&bytes[..n]), include_str!("golden/look.txt").trim());
    let reply_bytes = answer(
        Body::ApplicationMessage(Message::SnapshotReply(1, shared_state()).encode()),
        vec![],
    )
    .encode();
    assert_eq!(hex(&reply_bytes), include_str!("golden/looked.txt").trim());
    socket.send_to(&reply_bytes, from).expect("sent");
    let reply = tool.join().expect("the tool").expect("an answer");
    assert_eq!(
        (reply.responder, reply.state),
        (record("me", 2), shared_state())
    );
}
