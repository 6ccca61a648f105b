//! Golden bytes of the fleet's datagrams. Old and new programs of a fleet talk to each other, and `postcard` writes by
//! position: the order of fields and variants is the format. The files under `golden/` never change.

use std::net::SocketAddr;
use std::time::Duration;

use membership::packet::Summary;
use membership::word::{hash, life, Word};
use membership::{Body, Conclusion, Packet, Record, Said, Settings, Standing, View};

const V4: &str = "192.0.2.17:7946";
const V6: &str = "[2001:db8::1:2]:7947";

fn at(address: &str) -> SocketAddr {
    address.parse().expect("an address")
}
fn record(
    name: &str,
    said: Said,
    standing: Standing,
    address: &str,
    serves: Option<&str>,
) -> Record {
    Record {
        name: name.into(),
        site: format!("site-of-{name}").into(),
        at: at(address),
        serves: serves.map(at),
        word: Word {
            life: 0x0012_3456_789a_bcde,
            incarnation: 0x0102_0304,
            said,
            standing,
        },
        by: 0x0a0b_0c0d,
    }
}
fn packet(body: Body) -> Packet {
    let from = Some(record(
        "sender",
        Said::Up,
        Standing::Present,
        V4,
        Some("192.0.2.18:8080"),
    ));
    Packet {
        fleet: "billing".into(),
        from,
        body,
        news: vec![],
    }
}
fn news(record: Record) -> Packet {
    Packet {
        fleet: "billing".into(),
        from: None,
        body: Body::Gossip,
        news: vec![record],
    }
}
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Every kind of datagram, then every variant of what is inside a record.
fn cases() -> Vec<(&'static str, Packet)> {
    let summary = Summary {
        conclusion: "part".into(),
        for_ms: 1_000_001,
        digest: 0x1122_3344_5566_7788,
        present: 201,
        lost: 302,
        health: 5,
        dropped: 40_000_000_003,
    };
    let sums: Vec<u64> = (0..64).map(|n| n * 0x0001_0000_0001).collect();
    let a = record("a", Said::Joining, Standing::Present, V4, None);
    let b = record("b", Said::Left, Standing::Gone, V6, Some(V4));
    let asks = |body| Packet {
        fleet: "billing".into(),
        from: None,
        body,
        news: vec![],
    };
    vec![
        (
            "ping",
            packet(Body::Ping {
                seq: 0x0304_0506,
                name: "target".into(),
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
            packet(Body::Errand {
                seq: 11,
                name: "target".into(),
                at: at(V4),
            }),
        ),
        (
            "errand-ipv6",
            packet(Body::Errand {
                seq: 12,
                name: "target".into(),
                at: at(V6),
            }),
        ),
        ("nack", packet(Body::Nack { seq: 13 })),
        ("gossip", packet(Body::Gossip)),
        (
            "gossip-with-two-records",
            Packet {
                news: vec![a.clone(), b.clone()],
                ..packet(Body::Gossip)
            },
        ),
        (
            "compare",
            packet(Body::Compare {
                sums: sums.clone(),
                answer: false,
            }),
        ),
        (
            "compare-answer",
            packet(Body::Compare { sums, answer: true }),
        ),
        (
            "page",
            Packet {
                news: vec![a.clone()],
                ..packet(Body::Page)
            },
        ),
        (
            "carried",
            packet(Body::Carried(vec![0x00, 0x7f, 0x80, 0xff])),
        ),
        (
            "query-first",
            asks(Body::Query {
                seq: 1,
                after: "".into(),
            }),
        ),
        (
            "query-after",
            asks(Body::Query {
                seq: 300,
                after: "n7".into(),
            }),
        ),
        (
            "answer",
            Packet {
                news: vec![a, b],
                ..packet(Body::Answer {
                    seq: 14,
                    more: false,
                    summary: summary.clone(),
                })
            },
        ),
        (
            "answer-more",
            packet(Body::Answer {
                seq: 15,
                more: true,
                summary,
            }),
        ),
        (
            "record-joining-present",
            news(record("m", Said::Joining, Standing::Present, V4, None)),
        ),
        (
            "record-up-present",
            news(record("m", Said::Up, Standing::Present, V4, Some(V6))),
        ),
        (
            "record-up-suspected",
            news(record("m", Said::Up, Standing::Suspected, V4, Some(V4))),
        ),
        (
            "record-up-gone",
            news(record("m", Said::Up, Standing::Gone, V6, Some(V4))),
        ),
        (
            "record-quiesced-present",
            news(record("m", Said::Quiesced, Standing::Present, V6, Some(V6))),
        ),
        (
            "record-leaving-present",
            news(record("m", Said::Leaving, Standing::Present, V6, None)),
        ),
        (
            "record-left-present",
            news(record("m", Said::Left, Standing::Present, V4, Some(V4))),
        ),
    ]
}

#[test]
fn datagram_bytes_are_stable() {
    let lines = |(name, packet): &(&str, Packet)| format!("{name} {}\n", hex(&packet.encode()));
    let written: String = cases().iter().map(lines).collect();
    assert_eq!(written, include_str!("golden/datagrams.txt"));
}

#[test]
fn golden_datagrams_are_understood() {
    let golden = include_str!("golden/datagrams.txt");
    assert_eq!(golden.lines().count(), cases().len());
    for (line, (name, packet)) in golden.lines().zip(cases()) {
        let (_, text) = line.split_once(' ').expect("a name and bytes");
        let byte = |n| u8::from_str_radix(&text[n..n + 2], 16).expect("hex");
        let bytes: Vec<u8> = (0..text.len()).step_by(2).map(byte).collect();
        assert_eq!(Packet::decode(&bytes, "billing"), Ok(packet), "{name}");
    }
}

/// What members compute alike and compare by: hashes of names, a life's number, and the digest of a view.
#[test]
fn hashes_and_digests_are_stable() {
    let me = record("me", Said::Joining, Standing::Present, V4, None);
    let now = Duration::from_secs(1);
    let mut view = View::new(Settings::default(), "billing".into(), me, vec![], now);
    let alone = view.digest();
    let members = vec![
        record("n1", Said::Joining, Standing::Present, V4, None),
        record("n2", Said::Up, Standing::Present, V4, Some(V6)),
        record("n3", Said::Quiesced, Standing::Present, V4, Some(V6)),
        record("n4", Said::Leaving, Standing::Suspected, V4, Some(V6)),
        record("n5", Said::Up, Standing::Gone, V4, Some(V6)),
        record("n6", Said::Left, Standing::Present, V4, Some(V6)),
    ];
    let told = Packet {
        news: members,
        ..packet(Body::Gossip)
    };
    view.hear(told, at(V4), now, &mut |_| 0, &mut vec![]);
    let written = format!(
        "hash-of-empty {:016x}\nhash-of-node-1 {:016x}\nlife {:016x}\ndigest-alone {alone:016x}\ndigest-of-all {:016x}\n",
        hash(""),
        hash("node-1"),
        life(1_700_000_000_123, 0xfedc_ba98_7654_3210),
        view.digest(),
    );
    assert_eq!(written, include_str!("golden/hashes.txt"));
}

/// The names by which a view's conclusion is told in answers and status.
#[test]
fn names_of_conclusions_are_stable() {
    let names = [Conclusion::Whole, Conclusion::Part, Conclusion::Alone].map(Conclusion::name);
    assert_eq!(names, ["whole", "part", "alone"]);
}
