//! Compressed frames: what is sent arrives, and what is not valid is refused.

use coriander_wire::{DecodeError, FrameCodec, FrameStatus, MAX_FRAME_LENGTH};
use proptest::prelude::*;

const KEY: [u8; 32] = [7; 32];

fn decode(frame: &[u8]) -> Result<Vec<u8>, DecodeError> {
    match FrameCodec::new(&KEY).decode(frame)? {
        FrameStatus::Complete { message, consumed } => {
            assert_eq!(consumed, frame.len());
            Ok(message)
        }
        FrameStatus::Incomplete { .. } => panic!("the frame is complete"),
    }
}

/// Returns letters that follow no pattern, like the rows of callers.
fn letters(count: usize) -> Vec<u8> {
    let mut state = 1_u64;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        b'a' + ((state >> 33) % 26) as u8
    };
    (0..count).map(|_| next()).collect()
}

#[test]
fn letters_take_two_thirds() {
    // Guards against a compression that keeps eight bits for each letter.
    let codec = FrameCodec::new(&KEY);
    let body = letters(800);
    let frame = codec.encode_short(&body).expect("encodes");
    assert!(frame.len() < 800 * 3 / 4, "{} bytes", frame.len());
    assert_eq!(decode(&frame), Ok(body));
}

#[test]
fn bytes_that_cannot_be_compressed_are_sent_as_they_are() {
    let codec = FrameCodec::new(&KEY);
    let body: Vec<u8> = (0..=255).collect();
    assert_eq!(codec.encode_short(&body), codec.encode(&body));
}

#[test]
fn length_beyond_the_maximum_is_refused() {
    // Guards against a short frame that makes its receiver reserve gigabytes.
    let codec = FrameCodec::new(&KEY);
    let body = vec![b'a'; MAX_FRAME_LENGTH];
    assert!(codec.encode_short(&body).is_err());
}

#[test]
fn changed_frame_is_forged() {
    let codec = FrameCodec::new(&KEY);
    let mut frame = codec.encode_short(&letters(800)).expect("encodes");
    let last = frame.len() - 20;
    frame[last] ^= 1;
    assert_eq!(decode(&frame), Err(DecodeError::Forged));
    // The version is signed as well.
    let mut frame = codec.encode_short(&letters(800)).expect("encodes");
    frame[4] = 1;
    assert_eq!(decode(&frame), Err(DecodeError::Forged));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against state that one frame leaves behind for the next.
    #[test]
    fn frames_are_restored(bodies in prop::collection::vec(
        (0..5_000_usize, any::<u8>(), 1..40_u8), 1..5,
    )) {
        let codec = FrameCodec::new(&KEY);
        for (length, first, step) in bodies {
            let byte = |index: usize| first.wrapping_add((index as u8).wrapping_mul(step));
            let body: Vec<u8> = (0..length).map(byte).collect();
            let frame = codec.encode_short(&body).expect("encodes");
            prop_assert_eq!(decode(&frame), Ok(body));
        }
    }
}
