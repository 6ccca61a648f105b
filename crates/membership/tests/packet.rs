//! Decoding of datagrams: which ones are rejected, and with which error.

use std::net::SocketAddr;

use membership::{
    AdvertisedStatus, Body, DecodeError, Liveness, MemberRecord, MemberState, Packet,
};
use proptest::prelude::*;

fn record(id: u16, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: format!("n{id}").into(),
        site: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + id)),
        client_address: Some(SocketAddr::from(([127, 0, 0, 1], 7100 + id))),
        state: MemberState {
            incarnation: incarnation << 20,
            version: 0,
            status: AdvertisedStatus::Joining,
            liveness: Liveness::Alive,
        },
        suspected_by: 0,
    }
}

fn ping() -> Packet {
    Packet {
        fleet: "few".into(),
        sender: Some(record(0, 1)),
        body: Body::Ping {
            seq: 7,
            target: "n1".into(),
        },
        updates: vec![record(1, 1), record(2, 1)],
    }
}

#[test]
fn each_kind_of_invalid_datagram_has_its_error() {
    let bytes = ping().encode();
    let decode = |bytes: &[u8]| Packet::decode(bytes, "few");
    assert_eq!(decode(&bytes), Ok(ping()));
    assert_eq!(
        Packet::decode(&bytes, "another"),
        Err(DecodeError::WrongFleet)
    );
    assert_eq!(
        decode(b"GET / HTTP/1.1\r\n"),
        Err(DecodeError::UnknownProtocol)
    );
    assert_eq!(decode(b""), Err(DecodeError::UnknownProtocol));
    assert_eq!(decode(&vec![0; 70_000]), Err(DecodeError::Corrupt));
    let mut other_version = bytes.clone();
    other_version[3] += 1;
    assert_eq!(decode(&other_version), Err(DecodeError::UnsupportedVersion));
}

#[test]
fn intact_datagrams_with_values_out_of_bounds_are_rejected() {
    let rejected = [
        record(0, 1 << 43),
        MemberRecord {
            name: "".into(),
            ..record(0, 1)
        },
        MemberRecord {
            name: "x".repeat(65).into(),
            ..record(0, 1)
        },
    ];
    for record in rejected {
        let packet = Packet {
            updates: vec![record],
            ..ping()
        };
        assert_eq!(
            Packet::decode(&packet.encode(), "few"),
            Err(DecodeError::OutOfBounds)
        );
    }
    let too_few_checksums = Packet {
        body: Body::CompareChecksums {
            checksums: vec![1; 3],
            is_reply: false,
        },
        ..ping()
    };
    assert_eq!(
        Packet::decode(&too_few_checksums.encode(), "few"),
        Err(DecodeError::OutOfBounds)
    );
}

proptest! {
    #[test]
    fn truncated_or_corrupted_datagrams_are_rejected(
        truncated_len in 0usize..200,
        position in 0usize..200,
        flipped_bits in 1u8..,
    ) {
        let bytes = ping().encode();
        let truncated = &bytes[..truncated_len.min(bytes.len() - 1)];
        prop_assert!(Packet::decode(truncated, "few").is_err());
        let mut corrupted = bytes.clone();
        let position = position % corrupted.len();
        corrupted[position] ^= flipped_bits;
        prop_assert!(Packet::decode(&corrupted, "few").is_err());
    }
}
