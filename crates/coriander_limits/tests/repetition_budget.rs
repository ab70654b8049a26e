//! Plays statements at members that are short and checks that repetitions do not displace first
//! attempts.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_limits::RepetitionBudget;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ACCOUNT: &str = "harbour";
/// Statements per second that the members take.
const CAPACITY: f64 = 200.0;
const LOAD: f64 = 1.7;
const OUTAGE_MS: u64 = 1_000;
const DURATION_MS: u64 = 11_000;
/// Time until a statement is refused, and mean delay between its attempts.
const TIME_LIMIT_MS: u64 = 1_000;
const BACKOFF_MS: u64 = 80;

fn ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[derive(Debug, Default)]
struct Played {
    first: u32,
    first_served: u32,
    served: u32,
    repetitions: u32,
}

/// Plays an outage of all members, after which they take less than what arrives. Members that are
/// short serve any of the attempts that reach them.
fn play(mut budget: Option<RepetitionBudget>) -> Played {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut played = Played::default();
    // Time of the attempt, and time of the first attempt of its statement.
    let mut waiting: VecDeque<(u64, u64)> = VecDeque::new();
    let mut free = 0.0_f64;
    for now in 0..DURATION_MS {
        let mut attempts = Vec::new();
        if rng.random_bool(CAPACITY * LOAD / 1_000.0) {
            played.first += 1;
            attempts.push(now);
            if let Some(budget) = &mut budget {
                budget.record_first(ACCOUNT, ms(now));
            }
        }
        let (due, later): (VecDeque<_>, _) = waiting.into_iter().partition(|(at, _)| *at <= now);
        waiting = later;
        played.repetitions += u32::try_from(due.len()).expect("few");
        attempts.extend(due.into_iter().map(|(_, started)| started));
        if now >= OUTAGE_MS {
            free = (free + CAPACITY / 1_000.0).min(4.0);
        }
        while !attempts.is_empty() {
            let started = attempts.swap_remove(rng.random_range(0..attempts.len()));
            if free >= 1.0 {
                free -= 1.0;
                played.served += 1;
                played.first_served += u32::from(started == now);
                continue;
            }
            let delay = rng.random_range(BACKOFF_MS / 2..BACKOFF_MS * 3 / 2);
            let allowed = budget
                .as_mut()
                .is_none_or(|budget| budget.try_repeat(ACCOUNT, ms(now)).is_ok());
            if allowed && now + delay < started + TIME_LIMIT_MS {
                waiting.push_back((now + delay, started));
            }
        }
    }
    played
}

#[test]
fn try_repeat_leaves_short_members_to_first_attempts() {
    // Without a limit each statement that was refused came back a dozen times within its time, and
    // most of what the members took were repetitions.
    let unlimited = play(None);
    let limited = play(Some(RepetitionBudget::new(ms(0))));
    println!("{unlimited:?} without a budget, {limited:?} with it");
    let allowed = f64::from(limited.first) / 5.0 + 20.0;
    assert!(f64::from(limited.repetitions) <= allowed, "{limited:?}");
    assert!(
        limited.first_served > unlimited.first_served,
        "{limited:?}, {unlimited:?}"
    );
}

#[test]
fn try_repeat_leaves_a_part_to_other_accounts() {
    // An account whose statements always fail used up the budget of the whole instance.
    let mut budget = RepetitionBudget::new(ms(0));
    let refusal = loop {
        if let Err(refusal) = budget.try_repeat(ACCOUNT, ms(0)) {
            break refusal;
        }
    };
    assert_eq!(refusal.budget, "account");
    let others = (0..100).filter(|n| budget.try_repeat(&format!("account-{n}"), ms(0)).is_ok());
    assert_eq!(others.count(), 10);
    let refusal = budget.try_repeat("quarry", ms(0)).expect_err("all is used");
    assert_eq!(refusal.budget, "instance");
}

#[test]
fn try_repeat_names_when_the_next_repetition_is_expected() {
    // Callers that return before it would be refused again.
    let mut budget = RepetitionBudget::new(ms(0));
    while budget.try_repeat(ACCOUNT, ms(0)).is_ok() {}
    let quiet = budget.try_repeat(ACCOUNT, ms(0)).expect_err("used up");
    assert_eq!(quiet.retry_after, Duration::from_secs(1));
    for step in 0..54 {
        budget.record_first(ACCOUNT, ms(step * 100));
        while budget.try_repeat(ACCOUNT, ms(step * 100)).is_ok() {}
    }
    // At ten first attempts a second, with four of the five that are needed recorded.
    let busy = budget.try_repeat(ACCOUNT, ms(5_300)).expect_err("used up");
    assert!(busy.retry_after <= Duration::from_millis(120), "{busy:?}");
}
