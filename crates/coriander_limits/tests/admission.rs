//! Plays the requests of accounts to fleets of several sizes and checks which are refused.
//!
//! A request within rate and burst must be admitted whichever instance it reaches. It is compared
//! with one token bucket for the whole fleet that is spent by the admitted requests.

#[path = "../examples/support/shares_play.rs"]
mod shares_play;

use shares_play::{DURATION_MS, Fleet, Load, Played};

/// Sizes of the fleet, in instances, and rates, in operations per second.
const CASES: [(usize, &[f64]); 4] = [(6, &RATES), (60, &RATES), (300, &RATES), (2_000, &[20.0])];
const RATES: [f64; 4] = [5.0, 20.0, 100.0, 1_000.0];
/// Refusals within the rate that the fleet may have without faults.
const MAX_REFUSED_FRACTION: f64 = 0.001;

/// Checks a load at every size and rate, with and without regard to zones, and prints the figures.
fn check_all(load: Load, silent_owner: bool, check: impl Fn(f64, &Played, &str)) {
    check_each(&[false, true], load, silent_owner, check);
}

fn check_each(
    by_zone: &[bool],
    load: Load,
    silent_owner: bool,
    check: impl Fn(f64, &Played, &str),
) {
    for (size, rates) in CASES {
        let ways = rates
            .iter()
            .flat_map(|rate| by_zone.iter().map(move |zone| (*rate, *zone)));
        for (rate, by_zone) in ways {
            let mut fleet = Fleet::new(size, rate, by_zone);
            let owners = fleet.owners();
            if silent_owner && owners.len() > 1 {
                fleet.silent = vec![owners[0]];
            }
            let played = fleet.play(load);
            let case = format!(
                "{size} instances, {rate}/s, {} owners, by zone: {by_zone}",
                owners.len()
            );
            println!("{case}: {played:?}");
            check(rate, &played, &case);
        }
    }
}

#[test]
fn spend_admits_requests_within_the_rate_at_every_size() {
    // Guards against tokens that lie at instances without demand: with 295 instances accounts were
    // refused at two thirds of their rate.
    check_all(Load::even(0.625), false, |_, played, case| {
        let limit = f64::from(played.operations) * MAX_REFUSED_FRACTION;
        let refused = f64::from(played.refused_within_rate);
        assert!(refused <= limit.max(1.0), "{case}: {played:?}");
    });
}

#[test]
fn spend_admits_requests_within_the_rate_without_one_owner() {
    // An owner that was killed remains listed for seconds.
    check_all(Load::even(0.625), true, |_, played, case| {
        let limit = f64::from(played.operations) * 0.01;
        let refused = f64::from(played.refused_within_rate);
        assert!(refused <= limit.max(1.0), "{case}: {played:?}");
    });
}

#[test]
fn spend_stays_within_the_rate_at_every_size_under_overload() {
    check_all(Load::even(4.0), false, |rate, played, case| {
        let limit = rate * DURATION_MS / 1_000.0 + rate;
        assert!(
            f64::from(played.admitted) <= limit + 1.0,
            "{case}: {played:?}"
        );
        let full = f64::from(played.admitted) >= 0.95 * rate * DURATION_MS / 1_000.0;
        assert!(full, "{case}: the rate is used, {played:?}");
    });
}

#[test]
fn spend_uses_the_whole_rate_from_one_zone() {
    // Guards against tokens of other zones that a saturated account does not reach.
    let load = Load {
        first_zone: 1.0,
        ..Load::even(4.0)
    };
    check_each(&[true], load, false, |rate, played, case| {
        let full = f64::from(played.admitted) >= 0.95 * rate * DURATION_MS / 1_000.0;
        assert!(full, "{case}: {played:?}");
        assert!(played.excess <= 1.0, "{case}: {played:?}");
    });
}

#[test]
fn loans_stay_in_the_zone_with_even_demand() {
    // Six owners anywhere in three zones cost 1.3 messages between zones for each operation. The
    // smallest account has one owner, because its burst is too small for more.
    for size in [30, 100, 300] {
        for rate in &RATES[1..] {
            let fleet = Fleet::new(size, *rate, true);
            assert!(fleet.owners().len() >= 6);
            let played = fleet.play(Load::even(0.625));
            let between = f64::from(played.zone_messages) / f64::from(played.operations);
            assert!(between <= 0.3, "{size} instances, {rate}/s: {between}");
        }
    }
}
