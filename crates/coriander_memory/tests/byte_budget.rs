//! Tests the grants of the memory budget and the choice of holders.

use coriander_core::MonotonicTime;
use coriander_memory::{ByteBudget, MachineLimits, MemoryLimits, MemoryShare};

fn small_budget() -> ByteBudget {
    let machine = MachineLimits {
        memory_mb: 64,
        descriptors: 500,
    };
    ByteBudget::new(&MemoryLimits::new(&machine))
}

#[test]
fn reserve_keeps_shares_apart() {
    // Guards against large messages that leave nothing for small ones.
    let mut budget = small_budget();
    while budget
        .reserve(MemoryShare::Large, 1 << 20, MonotonicTime::ZERO)
        .is_some()
    {}
    assert_eq!(budget.held_bytes(MemoryShare::Large), 8 << 20);
    let small = budget.reserve(MemoryShare::Small, 1 << 16, MonotonicTime::ZERO);
    assert!(small.is_some());
}

#[test]
fn resize_returns_and_refuses_bytes() {
    // Guards against bytes that are counted twice or never returned.
    let mut budget = small_budget();
    let share = MemoryShare::Sessions;
    let first = budget.reserve(share, 1 << 20, MonotonicTime::ZERO);
    let second = budget.reserve(share, 1 << 19, MonotonicTime::ZERO);
    let (first, second) = (first.expect("free"), second.expect("free"));
    assert!(!budget.resize(second, 3 << 20));
    assert!(budget.resize(first, 1 << 10));
    budget.release(second);
    assert_eq!(budget.held_bytes(share), 1 << 10);
    assert!(
        budget.resize(first, 3 << 20),
        "a sole holder is not refused"
    );
}

#[test]
fn choose_victim_spares_holders_with_progress() {
    // Guards against closing an answer that is read over a slow link instead of one that is not read.
    let mut budget = small_budget();
    let share = MemoryShare::Answers;
    let mut reserve = |bytes| budget.reserve(share, bytes, MonotonicTime::ZERO);
    let slow = reserve(1 << 21).expect("free");
    let trickle = reserve(1 << 18).expect("free");
    let idle = reserve(1 << 17).expect("free");
    for second in 1..=10 {
        let now = MonotonicTime::from_millis(1_000 * second);
        budget.record_progress(slow, 20_000, now);
        budget.record_progress(trickle, 2, now);
    }
    let now = MonotonicTime::from_millis(10_000);
    assert_eq!(budget.choose_victim(share, now), Some(trickle));
    assert_eq!(budget.choose_victim(share, now), None, "one at a time");
    budget.release(trickle);
    assert_eq!(budget.choose_victim(share, now), Some(idle));
    budget.release(idle);
    assert_eq!(budget.choose_victim(share, now), None);
}

#[test]
fn choose_victim_spares_running_statements() {
    // Guards against a statement that is refused after it has been sent to a member.
    let mut budget = small_budget();
    let share = MemoryShare::Large;
    let holder = budget.reserve(share, 1 << 20, MonotonicTime::ZERO);
    let holder = holder.expect("free");
    budget.set_busy(holder, true, MonotonicTime::ZERO);
    let now = MonotonicTime::from_millis(60_000);
    assert_eq!(budget.choose_victim(share, now), None);
}

#[test]
fn choose_victim_goes_on_after_a_holder_that_keeps_its_bytes() {
    // Guards against a session inside a transaction that blocks its share after it was chosen.
    let mut budget = small_budget();
    let share = MemoryShare::Sessions;
    let mut reserve = |bytes| budget.reserve(share, bytes, MonotonicTime::ZERO);
    let stuck = reserve(1 << 20).expect("free");
    let other = reserve(1 << 19).expect("free");
    let chosen = MonotonicTime::from_millis(2_000);
    assert_eq!(budget.choose_victim(share, chosen), Some(stuck));
    let soon = MonotonicTime::from_millis(2_400);
    assert_eq!(budget.choose_victim(share, soon), None);
    let later = MonotonicTime::from_millis(2_500);
    assert_eq!(budget.choose_victim(share, later), Some(other));
}
