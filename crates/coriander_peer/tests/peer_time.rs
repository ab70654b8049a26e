//! The bound of the time of another instance when the clocks run at different rates.

use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_peer::PeerTime;

/// Time of a clock that is slower than the own one by `ppm`, at a time of the own clock.
fn slow_clock(own: Duration, ppm: u32) -> Duration {
    own - own / 1_000_000 * ppm
}

#[test]
fn bound_follows_a_slower_clock() {
    // Guards against a bound that is never lowered: at 50 ppm it is 180 ms too high after an hour,
    // and requests are handled that long after their deadlines.
    const DELAY: Duration = Duration::from_micros(100);
    for ppm in [50, 150] {
        let start = Duration::from_secs(1_000);
        let time = PeerTime::new(slow_clock(start, ppm), MonotonicTime::new(start) + DELAY);
        for second in 1..=3_600 {
            let sent_at = start + Duration::from_secs(second);
            let received_at = MonotonicTime::new(sent_at) + DELAY;
            let actual = slow_clock(received_at.since_start(), ppm);
            assert!(time.at(received_at) <= actual, "{ppm} ppm, {second} s");
            time.record(slow_clock(sent_at, ppm), received_at);
            // No lower than a message with its delay shows, so that requests are not refused early.
            assert!(time.at(received_at) + DELAY * 2 >= actual);
        }
    }
}
