//! Snapshots of the wire format, byte for byte. A change here requires a new protocol version.

use std::fmt::Write;
use std::time::Duration;

use serde::Serialize;
use sycamorelink_core::{
    AttemptId, CustomerName, InstanceId, NodeId, NodeIncarnation, RefusalCode, RequestId,
    RequestRefusal, RunState, ServiceName, UpstreamId,
};
use sycamorelink_wire::{
    BodyEnd, FailureKind, FleetKey, FleetKeys, FrameKind, HandshakeRefusal, LoadReport, ReplyEnd,
    ReplyHead, WorkFailed, WorkHead, WorkRefused, encode_datagram, encode_frame, encode_payload,
};

const INSTANCE: InstanceId = InstanceId {
    node: NodeId(0x0102_0304_0506_0708),
    incarnation: NodeIncarnation(1_764_700_000_000),
};

const ATTEMPT: AttemptId = AttemptId {
    request: RequestId(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10),
    number: 2,
};

const LOAD: LoadReport = LoadReport {
    in_use: 4,
    slots: 5,
    queued: 300,
    failing: 51,
};

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(32) {
        text += "  ";
        for byte in line {
            let _ = write!(text, "{byte:02x}");
        }
        text += "\n";
    }
    text
}

fn frame<T>(kind: FrameKind, value: &T) -> String
where
    T: Serialize,
{
    let bytes = encode_frame(kind, &encode_payload(value).unwrap());
    format!("{kind:?}\n{}", hex(&bytes))
}

fn work_head() -> WorkHead {
    WorkHead {
        attempt: ATTEMPT,
        upstream: UpstreamId {
            node: INSTANCE.node,
            slot: 1,
        },
        customer: CustomerName::new("brannock"),
        service: ServiceName::new("orders"),
        method: "POST".to_owned(),
        target: "/bookings?day=3".to_owned(),
        headers: vec![("content-type".to_owned(), b"text/plain".to_vec())],
        time_left: Duration::from_millis(1250),
        priority: 3,
        signature: 0xfeed,
        guard: Some(vec![1, 2, 3]),
        body_length: Some(11),
    }
}

#[test]
fn frames_keep_their_encoding() {
    let reply_head = ReplyHead {
        attempt: ATTEMPT,
        instance: INSTANCE,
        status: 201,
        headers: vec![("x-request-id".to_owned(), b"r1".to_vec())],
        body_length: None,
        load: LOAD,
        queue_time: Duration::from_micros(1500),
    };
    let refusal = RequestRefusal::not_run(RefusalCode::Overloaded);
    let text = [
        frame(FrameKind::WorkHead, &work_head()),
        format!(
            "BodyChunk\n{}",
            hex(&encode_frame(FrameKind::BodyChunk, b"two pallets"))
        ),
        frame(
            FrameKind::BodyEnd,
            &BodyEnd {
                length: 11,
                digest: 0xabcd,
            },
        ),
        frame(
            FrameKind::WorkRefused,
            &WorkRefused {
                attempt: ATTEMPT,
                refusal: refusal.retry_after(Duration::from_secs(2)),
                load: LOAD,
            },
        ),
        frame(FrameKind::ReplyHead, &reply_head),
        frame(
            FrameKind::ReplyEnd,
            &ReplyEnd {
                attempt: ATTEMPT,
                length: 11,
                digest: 0xabcd,
                service_time: Duration::from_millis(30),
                load: LOAD,
            },
        ),
        frame(
            FrameKind::WorkFailed,
            &WorkFailed {
                attempt: ATTEMPT,
                kind: FailureKind::Truncated,
                run: RunState::Unknown,
                load: LOAD,
            },
        ),
        frame(FrameKind::Message, &"share 7"),
        frame(
            FrameKind::HandshakeRefused,
            &HandshakeRefusal::WrongInstance { actual: INSTANCE },
        ),
    ];
    insta::assert_snapshot!(text.concat());
}

#[test]
fn datagram_and_key_id_keep_their_encoding() {
    let keys = FleetKeys::only("a fleet key of the tests, 32 or more characters");
    let datagram = encode_datagram(&keys, &("gossip", 7_u32)).unwrap();
    insta::assert_snapshot!(format!("{}\n{}", keys.current.id(), hex(&datagram)));
    assert_ne!(FleetKey::new("other").id(), keys.current.id());
}

#[test]
fn frame_kinds_keep_their_codes() {
    let codes: Vec<String> = FrameKind::ALL
        .iter()
        .map(|kind| format!("{} {kind:?}", *kind as u8))
        .collect();
    insta::assert_snapshot!(codes.join("\n"));
}
