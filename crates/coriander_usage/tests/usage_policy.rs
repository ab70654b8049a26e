//! Windows whose length is no whole number of milliseconds.

use std::time::Duration;

use coriander_usage::UsagePolicy;

/// Guards against windows that drift from those of the platform: a length that is rounded to
/// milliseconds moves their numbers by millions since the Unix epoch.
#[test]
fn window_at_counts_windows_of_any_length() {
    let now = Duration::from_millis(1_800_000_000_123);
    for length_ns in [2_500_000_000_u64, 333_300_000, 1_000_000_500, 100_000_001] {
        let policy = UsagePolicy::default().with_window(Duration::from_nanos(length_ns));
        let expected = now.as_nanos() / u128::from(length_ns);
        assert_eq!(u128::from(policy.window_at(now)), expected, "{length_ns}");
        let end = policy.end_of(policy.window_at(now));
        assert!(end > now && end - now <= Duration::from_nanos(length_ns));
    }
}
