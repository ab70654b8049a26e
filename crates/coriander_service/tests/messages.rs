//! Messages between instances: bytes of any kind are decoded or refused, never more.

use std::time::Duration;

use coriander_service::{PeerMessage, RelayReply, RelayRequest};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a malformed message that ends the task which receives messages.
    #[test]
    fn decode_survives_any_bytes(
        kind in 0..8_u8,
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let message: Vec<u8> = std::iter::once(kind).chain(bytes).collect();
        let _ = postcard::from_bytes::<PeerMessage>(&message);
        let _ = postcard::from_bytes::<RelayReply>(&message);
        if let Ok(RelayRequest::Exchange { mut plan, .. }) = postcard::from_bytes(&message) {
            plan.limit_time(Duration::from_secs(1));
            prop_assert!(plan.time_limit <= Duration::from_secs(1));
        }
    }
}
