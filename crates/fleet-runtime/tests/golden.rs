//! Golden bytes of the questions that tools ask a member, and of the answers: tools and members may be of different
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

const LONG: Duration = Duration::from_secs(20);

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
fn held() -> SharedStateSnapshot {
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
fn member() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.set_read_timeout(Some(LONG)).expect("a time");
    socket
}

/// Pages are asked for by the last name of the one before. A question may be asked again under a later number, so only the
/// first is compared as bytes, and each is answered.
#[test]
fn question_about_members_is_stable() {
    let socket = member();
    let at = socket.local_addr().expect("an address");
    let tool = thread::spawn(move || query_members(at, "billing", LONG));
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
        let asked = Packet::decode(&bytes[..n], "billing").expect("a datagram");
        let Body::Query { seq, after } = asked.body else {
            panic!("no question")
        };
        let more = after.is_empty();
        let told = page(seq, more, if more { "n1" } else { "n2" });
        socket.send_to(&told.encode(), from).expect("sent");
    }
    assert_eq!(
        first.as_deref(),
        Some(include_str!("golden/query.txt").trim())
    );
    let told = tool.join().expect("the tool").expect("an answer");
    assert_eq!(told.members, [record("n1", 9), record("n2", 9)]);
    assert_eq!(told.responder, record("me", 2));
}

#[test]
fn question_about_budgets_is_stable() {
    let socket = member();
    let at = socket.local_addr().expect("an address");
    let tool = thread::spawn(move || query_shared_state(at, "billing", LONG));
    let mut bytes = [0; 1400];
    let (n, from) = socket.recv_from(&mut bytes).expect("a question");
    assert_eq!(hex(&bytes[..n]), include_str!("golden/look.txt").trim());
    let told = answer(
        Body::ApplicationMessage(Message::SnapshotReply(1, held()).encode()),
        vec![],
    )
    .encode();
    assert_eq!(hex(&told), include_str!("golden/looked.txt").trim());
    socket.send_to(&told, from).expect("sent");
    let told = tool.join().expect("the tool").expect("an answer");
    assert_eq!((told.responder, told.state), (record("me", 2), held()));
}
