//! Golden bytes of the fleet's datagrams. Old and new releases communicate within a fleet, and
//! `postcard` encodes by position: the order of fields and variants is the format. The files under
//! `golden/` never change.

use std::net::SocketAddr;
use std::time::Duration;

use membership::member_state::{hash_name, new_incarnation, MemberState};
use membership::packet::ViewSummary;
use membership::{
    AdvertisedStatus, Body, Liveness, MemberRecord, MembershipView, Packet, PartitionStatus,
    Settings,
};

const V4: &str = "192.0.2.17:7946";
const V6: &str = "[2001:db8::1:2]:7947";

fn socket_address(address: &str) -> SocketAddr {
    address.parse().expect("valid socket address")
}
fn record(
    name: &str,
    status: AdvertisedStatus,
    liveness: Liveness,
    address: &str,
    client_address: Option<&str>,
) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        site: format!("site-of-{name}").into(),
        address: socket_address(address),
        client_address: client_address.map(socket_address),
        state: MemberState {
            incarnation: 0x0012_3456_789a_bcde,
            version: 0x0102_0304,
            status,
            liveness,
        },
        suspected_by: 0x0a0b_0c0d,
    }
}
fn packet(body: Body) -> Packet {
    let sender = Some(record(
        "sender",
        AdvertisedStatus::Up,
        Liveness::Alive,
        V4,
        Some("192.0.2.18:8080"),
    ));
    Packet {
        fleet: "billing".into(),
        sender,
        body,
        updates: vec![],
    }
}
fn gossip_of(record: MemberRecord) -> Packet {
    Packet {
        fleet: "billing".into(),
        sender: None,
        body: Body::Gossip,
        updates: vec![record],
    }
}
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns every kind of datagram, then every variant of the fields of a record.
#[expect(clippy::too_many_lines, reason = "a flat list of datagrams")]
fn cases() -> Vec<(&'static str, Packet)> {
    let summary = ViewSummary {
        partition_status: "part".into(),
        status_age_ms: 1_000_001,
        digest: 0x1122_3344_5566_7788,
        present: 201,
        lost: 302,
        local_health: 5,
        dropped: 40_000_000_003,
    };
    let checksums: Vec<u64> = (0..64).map(|n| n * 0x0001_0000_0001).collect();
    let a = record("a", AdvertisedStatus::Joining, Liveness::Alive, V4, None);
    let b = record("b", AdvertisedStatus::Left, Liveness::Dead, V6, Some(V4));
    let query_packet = |body| Packet {
        fleet: "billing".into(),
        sender: None,
        body,
        updates: vec![],
    };
    vec![
        (
            "ping",
            packet(Body::Ping {
                seq: 0x0304_0506,
                target: "target".into(),
            }),
        ),
        (
            "ack",
            packet(Body::Ack {
                seq: 0x0708_090a,
                digest: 0xf1f2_f3f4_f5f6_f7f8,
            }),
        ),
        (
            "errand-ipv4",
            packet(Body::PingRequest {
                seq: 11,
                target: "target".into(),
                address: socket_address(V4),
            }),
        ),
        (
            "errand-ipv6",
            packet(Body::PingRequest {
                seq: 12,
                target: "target".into(),
                address: socket_address(V6),
            }),
        ),
        ("nack", packet(Body::Nack { seq: 13 })),
        ("gossip", packet(Body::Gossip)),
        (
            "gossip-with-two-records",
            Packet {
                updates: vec![a.clone(), b.clone()],
                ..packet(Body::Gossip)
            },
        ),
        (
            "compare",
            packet(Body::CompareChecksums {
                checksums: checksums.clone(),
                is_reply: false,
            }),
        ),
        (
            "compare-answer",
            packet(Body::CompareChecksums {
                checksums,
                is_reply: true,
            }),
        ),
        (
            "page",
            Packet {
                updates: vec![a.clone()],
                ..packet(Body::RecordPage)
            },
        ),
        (
            "carried",
            packet(Body::ApplicationMessage(vec![0x00, 0x7f, 0x80, 0xff])),
        ),
        (
            "query-first",
            query_packet(Body::Query {
                seq: 1,
                after: "".into(),
            }),
        ),
        (
            "query-after",
            query_packet(Body::Query {
                seq: 300,
                after: "n7".into(),
            }),
        ),
        (
            "answer",
            Packet {
                updates: vec![a, b],
                ..packet(Body::QueryReply {
                    seq: 14,
                    has_more: false,
                    summary: summary.clone(),
                })
            },
        ),
        (
            "answer-more",
            packet(Body::QueryReply {
                seq: 15,
                has_more: true,
                summary,
            }),
        ),
        (
            "record-joining-present",
            gossip_of(record(
                "m",
                AdvertisedStatus::Joining,
                Liveness::Alive,
                V4,
                None,
            )),
        ),
        (
            "record-up-present",
            gossip_of(record(
                "m",
                AdvertisedStatus::Up,
                Liveness::Alive,
                V4,
                Some(V6),
            )),
        ),
        (
            "record-up-suspected",
            gossip_of(record(
                "m",
                AdvertisedStatus::Up,
                Liveness::Suspect,
                V4,
                Some(V4),
            )),
        ),
        (
            "record-up-gone",
            gossip_of(record(
                "m",
                AdvertisedStatus::Up,
                Liveness::Dead,
                V6,
                Some(V4),
            )),
        ),
        (
            "record-quiesced-present",
            gossip_of(record(
                "m",
                AdvertisedStatus::Quiesced,
                Liveness::Alive,
                V6,
                Some(V6),
            )),
        ),
        (
            "record-leaving-present",
            gossip_of(record(
                "m",
                AdvertisedStatus::Leaving,
                Liveness::Alive,
                V6,
                None,
            )),
        ),
        (
            "record-left-present",
            gossip_of(record(
                "m",
                AdvertisedStatus::Left,
                Liveness::Alive,
                V4,
                Some(V4),
            )),
        ),
    ]
}

#[test]
fn datagram_bytes_are_stable() {
    let to_line = |(name, packet): &(&str, Packet)| format!("{name} {}\n", hex(&packet.encode()));
    let actual: String = cases().iter().map(to_line).collect();
    assert_eq!(actual, include_str!("golden/datagrams.txt"));
}

#[test]
fn golden_datagrams_decode_to_the_expected_packets() {
    let golden = include_str!("golden/datagrams.txt");
    assert_eq!(golden.lines().count(), cases().len());
    for (line, (name, packet)) in golden.lines().zip(cases()) {
        let (_, text) = line
            .split_once(' ')
            .expect("a case name and hexadecimal bytes");
        let byte = |n| u8::from_str_radix(&text[n..n + 2], 16).expect("hexadecimal byte");
        let bytes: Vec<u8> = (0..text.len()).step_by(2).map(byte).collect();
        assert_eq!(Packet::decode(&bytes, "billing"), Ok(packet), "{name}");
    }
}

/// Values that all members must compute identically: hashes of names, incarnations, and the digest
/// of a view.
#[test]
fn hashes_and_digests_are_stable() {
    let own = record("me", AdvertisedStatus::Joining, Liveness::Alive, V4, None);
    let now = Duration::from_secs(1);
    let mut view = MembershipView::new(Settings::default(), "billing".into(), own, vec![], now);
    let digest_alone = view.digest();
    let members = vec![
        record("n1", AdvertisedStatus::Joining, Liveness::Alive, V4, None),
        record("n2", AdvertisedStatus::Up, Liveness::Alive, V4, Some(V6)),
        record(
            "n3",
            AdvertisedStatus::Quiesced,
            Liveness::Alive,
            V4,
            Some(V6),
        ),
        record(
            "n4",
            AdvertisedStatus::Leaving,
            Liveness::Suspect,
            V4,
            Some(V6),
        ),
        record("n5", AdvertisedStatus::Up, Liveness::Dead, V4, Some(V6)),
        record("n6", AdvertisedStatus::Left, Liveness::Alive, V4, Some(V6)),
    ];
    let gossip = Packet {
        updates: members,
        ..packet(Body::Gossip)
    };
    view.handle_packet(gossip, socket_address(V4), now, &mut |_| 0, &mut vec![]);
    let actual = format!(
        "hash-of-empty {:016x}\nhash-of-node-1 {:016x}\nlife {:016x}\ndigest-alone {digest_alone:016x}\ndigest-of-all {:016x}\n",
        hash_name(""),
        hash_name("node-1"),
        new_incarnation(1_700_000_000_123, 0xfedc_ba98_7654_3210),
        view.digest(),
    );
    assert_eq!(actual, include_str!("golden/hashes.txt"));
}

/// The names of partition statuses in query replies and command output.
#[test]
fn names_of_partition_statuses_are_stable() {
    let names = [
        PartitionStatus::Majority,
        PartitionStatus::Minority,
        PartitionStatus::Isolated,
    ]
    .map(PartitionStatus::as_str);
    assert_eq!(names, ["whole", "part", "alone"]);
}
