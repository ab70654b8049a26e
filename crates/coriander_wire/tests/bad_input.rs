//! Rejection of invalid messages with a typed error.

use coriander_core::InstanceId;
use coriander_wire::{
    DatagramCodec, DecodeError, EncodeError, FrameCodec, FrameStatus, MAX_DATAGRAM_LENGTH,
    MAX_FRAME_LENGTH, RejectReason, WIRE_VERSION,
};
use proptest::prelude::*;

const KEY: [u8; 32] = [7; 32];

type Message = (String, Vec<u64>, Option<i16>);

fn any_message() -> impl Strategy<Value = Message> {
    (
        ".{0,40}",
        prop::collection::vec(any::<u64>(), 0..20),
        any::<Option<i16>>(),
    )
}

fn id(name: &str) -> InstanceId {
    name.parse().expect("valid name")
}

fn datagrams(name: &str, epoch: u64) -> DatagramCodec {
    DatagramCodec::new(&KEY, id(name), epoch)
}

fn decode_frame(bytes: &[u8]) -> Result<FrameStatus<Message>, DecodeError> {
    FrameCodec::new(&KEY).decode(bytes)
}

proptest! {
    /// Guards against losing or altering a frame, or reading past its end.
    #[test]
    fn frame_round_trip(message in any_message(), rest in prop::collection::vec(any::<u8>(), 0..30)) {
        let codec = FrameCodec::new(&KEY);
        let frame = codec.encode(&message).expect("fits");
        let consumed = frame.len();
        for cut in 0..consumed {
            let status = decode_frame(&frame[..cut]);
            let is_incomplete = matches!(status, Ok(FrameStatus::Incomplete { needed }) if cut < needed && needed <= consumed);
            prop_assert!(is_incomplete, "cut at {}", cut);
        }
        let received = [frame, rest].concat();
        prop_assert_eq!(decode_frame(&received), Ok(FrameStatus::Complete { message, consumed }));
    }

    /// Guards against accepting a frame with any modified bit after the length prefix.
    #[test]
    fn frame_modified_bit(message in any_message(), offset: prop::sample::Index, bit in 0..8u8) {
        let mut frame = FrameCodec::new(&KEY).encode(&message).expect("fits");
        let index = 4 + offset.index(frame.len() - 4);
        frame[index] ^= 1 << bit;
        let expected = match index {
            4 => DecodeError::Version { found: frame[4] },
            _ => DecodeError::Forged,
        };
        prop_assert_eq!(decode_frame(&frame), Err(expected));
    }

    /// Guards against panics and against accepting bytes without the key.
    #[test]
    fn decode_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200), length in 0..250u32) {
        let frame = [&length.to_be_bytes()[..], &[WIRE_VERSION], &bytes].concat();
        let status = decode_frame(&frame);
        let is_accepted = matches!(status, Ok(FrameStatus::Complete { .. }));
        prop_assert!(!is_accepted);
        let datagram = [&[WIRE_VERSION][..], &bytes].concat();
        let error = if bytes.len() < 16 { DecodeError::Truncated } else { DecodeError::Forged };
        prop_assert_eq!(datagrams("b", 2).decode::<Message>(&datagram), Err(error));
    }

    /// Guards against accepting a truncated or modified datagram, or one of another fleet.
    #[test]
    fn datagram_modified(message in any_message(), offset: prop::sample::Index, bit in 0..8u8) {
        let datagram = datagrams("a", 1).encode(&message).expect("fits");
        let cut = offset.index(datagram.len());
        let error = if cut < 17 { DecodeError::Truncated } else { DecodeError::Forged };
        prop_assert_eq!(datagrams("b", 2).decode::<Message>(&datagram[..cut]), Err(error));
        let other = DatagramCodec::new(&[8; 32], id("b"), 2).decode::<Message>(&datagram);
        prop_assert_eq!(other, Err(DecodeError::Forged));
        let mut modified = datagram;
        modified[cut] ^= 1 << bit;
        let error = match cut {
            0 => DecodeError::Version { found: modified[0] },
            _ => DecodeError::Forged,
        };
        prop_assert_eq!(datagrams("b", 2).decode::<Message>(&modified), Err(error));
    }

    /// Guards against accepting a datagram twice in any order of arrival.
    #[test]
    fn datagram_replayed(arrivals in prop::collection::vec(0..300usize, 1..400)) {
        let mut sender = datagrams("a", 1);
        let sent: Vec<Vec<u8>> = (0..300u32).map(|n| sender.encode(&n).expect("fits")).collect();
        let mut receiver = datagrams("b", 2);
        let mut accepted = Vec::new();
        for index in arrivals {
            let greatest = accepted.iter().max().copied().unwrap_or(index);
            let is_new = !accepted.contains(&index) && index + 128 > greatest;
            let result = receiver.decode::<u32>(&sent[index]);
            prop_assert_eq!(result.is_ok(), is_new, "datagram {} after {}", index, greatest);
            if is_new {
                accepted.push(index);
            }
        }
    }
}

/// Guards against messages over the size limits, both announced and received.
#[test]
fn message_too_long() {
    let frames = FrameCodec::new(&KEY);
    let is_too_long = |error: &EncodeError| matches!(error, EncodeError::TooLong { .. });
    // The frame has 1 byte of version, 4 of postcard length and 16 of code.
    let largest = vec![1u8; MAX_FRAME_LENGTH - 21];
    assert_eq!(
        frames.encode(&largest).expect("fits").len(),
        4 + MAX_FRAME_LENGTH
    );
    assert!(
        frames
            .encode(&[largest, vec![1]].concat())
            .is_err_and(|error| is_too_long(&error))
    );
    let prefix = (MAX_FRAME_LENGTH as u32 + 1).to_be_bytes();
    let (length, max_length) = (MAX_FRAME_LENGTH + 1, MAX_FRAME_LENGTH);
    assert_eq!(
        decode_frame(&prefix),
        Err(DecodeError::TooLong { length, max_length })
    );

    let mut sender = datagrams("a", 1);
    assert!(
        sender
            .encode(&vec![1u8; 1180])
            .is_err_and(|error| is_too_long(&error))
    );
    assert!(sender.encode(&vec![1u8; 1150]).expect("fits").len() <= MAX_DATAGRAM_LENGTH);
    let (length, max_length) = (1201, MAX_DATAGRAM_LENGTH);
    let result = sender.decode::<u8>(&[1; 1201]);
    assert_eq!(result, Err(DecodeError::TooLong { length, max_length }));
}

/// Guards against the injection of a datagram into a TCP connection and the reverse.
#[test]
fn message_of_other_transport() {
    let datagram = datagrams("a", 1).encode(&1u8).expect("fits");
    let frame = [&(datagram.len() as u32).to_be_bytes()[..], &datagram].concat();
    assert_eq!(decode_frame(&frame), Err(DecodeError::Forged));
    let frame = FrameCodec::new(&KEY).encode(&1u8).expect("fits");
    assert_eq!(
        datagrams("b", 2).decode::<u8>(&frame[4..]),
        Err(DecodeError::Forged)
    );
}

/// Guards against a body of another type or with trailing bytes, and verifies the counters.
#[test]
fn message_malformed() {
    let frame = FrameCodec::new(&KEY).encode(&(1u8, 2u8)).expect("fits");
    let mut receiver = FrameCodec::new(&KEY);
    assert_eq!(receiver.decode::<u8>(&frame), Err(DecodeError::Malformed));
    assert_eq!(
        receiver.decode::<(u8, u8, u8)>(&frame),
        Err(DecodeError::Malformed)
    );
    assert_eq!(
        receiver.decode::<u8>(&[0, 0, 0, 9]),
        Err(DecodeError::Truncated)
    );
    assert_eq!(receiver.rejected().get(RejectReason::Malformed), 2);
    assert_eq!(receiver.rejected().get(RejectReason::Truncated), 1);
    assert_eq!(receiver.rejected().total(), 3);
    let names: Vec<&str> = RejectReason::ALL
        .iter()
        .map(|reason| reason.as_str())
        .collect();
    assert_eq!(
        names,
        [
            "too_long",
            "cut_short",
            "version",
            "forged",
            "malformed",
            "replayed"
        ]
    );
}

/// Guards against locking out a restarted sender, also by captured datagrams of earlier epochs.
#[test]
fn datagram_restarted_sender() {
    let mut receiver = datagrams("b", 9);
    let captured = datagrams("a", 1).encode(&0u8).expect("fits");
    let mut running = datagrams("a", 2);
    let mut accept = |datagram: &[u8]| {
        receiver
            .decode::<u8>(datagram)
            .map(|received| received.epoch)
    };
    assert_eq!(accept(&running.encode(&1u8).expect("fits")), Ok(2));
    assert_eq!(accept(&captured), Ok(1), "not received before");
    let again = accept(&captured).expect_err("replayed");
    assert_eq!(
        again,
        DecodeError::Replayed {
            sender: id("a"),
            sequence: 1
        }
    );
    assert_eq!(accept(&running.encode(&2u8).expect("fits")), Ok(2));
}

/// Guards against unbounded memory of the replay table.
#[test]
fn datagram_many_senders() {
    let mut receiver = datagrams("b", 9);
    for number in 0..5000 {
        let datagram = datagrams(&format!("sender-{number}"), 1)
            .encode(&0u8)
            .expect("fits");
        receiver.decode::<u8>(&datagram).expect("new sender");
    }
    assert_eq!(receiver.sender_count(), 4096);
}
