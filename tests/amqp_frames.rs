//! AMQP frames, byte for byte as in the specification. In the other tests both sides share one
//! codec, so a codec error would go unnoticed there.

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::connection::{self, AMQPMethod as Method};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};
use protocol_gateway::amqp::codec;

fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).expect("a short string")
}

/// Checks that the frame is encoded as these bytes and decoded from them.
fn check_frame(frame: &AMQPFrame, bytes: &[u8]) {
    assert_eq!(codec::encode(frame).expect("the frame is encoded"), bytes);
    assert_eq!(
        &codec::read(bytes, 4096).expect("the frame is decoded"),
        frame
    );
}

/// Checks the encoding of a `basic` method on channel 1.
fn check_basic(method: Basic, bytes: &[u8]) {
    check_frame(&AMQPFrame::Method(1, AMQPClass::Basic(method)), bytes);
}

#[test]
fn protocol_header_is_encoded_as_specified() {
    let header = AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1());
    assert_eq!(
        codec::encode(&header).expect("the header is encoded"),
        b"AMQP\x00\x00\x09\x01"
    );
}

#[test]
fn heartbeat_is_encoded_as_specified() {
    check_frame(&AMQPFrame::Heartbeat, b"\x08\x00\x00\x00\x00\x00\x00\xce");
}

#[test]
fn connection_methods_are_encoded_as_specified() {
    // class 10, method 31: channel-max, frame-max, heartbeat
    let tune_ok = connection::TuneOk {
        channel_max: 2,
        frame_max: 8192,
        heartbeat: 10,
    };
    check_frame(
        &AMQPFrame::Method(0, AMQPClass::Connection(Method::TuneOk(tune_ok))),
        b"\x01\x00\x00\x00\x00\x00\x0c\x00\x0a\x00\x1f\x00\x02\x00\x00\x20\x00\x00\x0a\xce",
    );
    // class 10, method 40: the virtual host and two reserved fields
    let open = connection::Open {
        virtual_host: short_string("/"),
    };
    check_frame(
        &AMQPFrame::Method(0, AMQPClass::Connection(Method::Open(open))),
        b"\x01\x00\x00\x00\x00\x00\x08\x00\x0a\x00\x28\x01/\x00\x00\xce",
    );
}

#[test]
fn settlements_are_encoded_as_specified() {
    let (delivery_tag, multiple, requeue) = (5, false, true);
    check_basic(
        Basic::Ack(basic::Ack {
            delivery_tag,
            multiple,
        }),
        b"\x01\x00\x01\x00\x00\x00\x0d\x00\x3c\x00\x50\x00\x00\x00\x00\x00\x00\x00\x05\x00\xce",
    );
    check_basic(
        Basic::Reject(basic::Reject {
            delivery_tag,
            requeue: false,
        }),
        b"\x01\x00\x01\x00\x00\x00\x0d\x00\x3c\x00\x5a\x00\x00\x00\x00\x00\x00\x00\x05\x00\xce",
    );
    check_basic(
        Basic::Nack(basic::Nack {
            delivery_tag,
            multiple,
            requeue,
        }),
        b"\x01\x00\x01\x00\x00\x00\x0d\x00\x3c\x00\x78\x00\x00\x00\x00\x00\x00\x00\x05\x02\xce",
    );
}

#[test]
fn consumer_methods_are_encoded_as_specified() {
    check_basic(
        Basic::Qos(basic::Qos {
            prefetch_count: 16,
            global: false,
        }),
        b"\x01\x00\x01\x00\x00\x00\x0b\x00\x3c\x00\x0a\x00\x00\x00\x00\x00\x10\x00\xce",
    );
    check_basic(
        Basic::Cancel(basic::Cancel {
            consumer_tag: short_string("c"),
            nowait: false,
        }),
        b"\x01\x00\x01\x00\x00\x00\x07\x00\x3c\x00\x1e\x01c\x00\xce",
    );
    let deliver = basic::Deliver {
        consumer_tag: short_string("c"),
        delivery_tag: 7,
        redelivered: true,
        exchange: short_string(""),
        routing_key: short_string("q"),
    };
    check_basic(
        Basic::Deliver(deliver),
        b"\x01\x00\x01\x00\x00\x00\x12\x00\x3c\x00\x3c\x01c\x00\x00\x00\x00\x00\x00\x00\x07\x01\x00\x01q\xce",
    );
}

#[test]
fn content_frames_are_encoded_as_specified() {
    let mut headers = FieldTable::default();
    headers.insert(short_string("a"), AMQPValue::LongLongInt(1));
    let properties = AMQPProperties::default()
        .with_headers(headers)
        .with_correlation_id(short_string("x"))
        .with_reply_to(short_string("r"));
    let header = AMQPContentHeader {
        class_id: 60,
        body_size: 3,
        properties,
    };
    // class, weight, size; flags for headers (13), correlation-id (10) and reply-to (9); the table;
    // the strings
    check_frame(
        &AMQPFrame::Header(1, header),
        b"\x02\x00\x01\x00\x00\x00\x21\x00\x3c\x00\x00\x00\x00\x00\x00\x00\x00\x00\x03\x26\x00\
          \x00\x00\x00\x0b\x01al\x00\x00\x00\x00\x00\x00\x00\x01\x01x\x01r\xce",
    );
    check_frame(
        &AMQPFrame::Body(1, b"abc".to_vec()),
        b"\x03\x00\x01\x00\x00\x00\x03abc\xce",
    );
}

/// Guards the node's memory and its parser: a length is checked before the bytes that it announces
/// are read.
#[test]
fn invalid_frames_are_errors() {
    for bytes in [
        &b"AMQP\x00\x00\x09\x01"[..],
        b"\x01\x00\x01\xff\xff\xff\xff",
        b"\x09\x00\x00\x00\x00\x00\x00\xce",
        b"\x08\x00\x00\x00\x00\x00\x00\x00",
        b"\x01\x00\x01\x00\x00\x00\x04\x00\x3c\x0f\xff\xce",
        b"\x08\x00",
    ] {
        assert!(codec::read(bytes, 4096).is_err(), "{bytes:?}");
    }
}
