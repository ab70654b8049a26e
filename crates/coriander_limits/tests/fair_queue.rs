//! Tests of the fair queue (order, limits, shedding, cancellation) and of the slot limiter.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::{ErrorCode, KeyDigest, MonotonicTime, RequestOutcome};
use coriander_limits::{FairQueue, QueueBounds, QueuedRequest, SlotLimiter, SlotRole};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(ticket: u64, class: &str, account: &str) -> QueuedRequest {
    QueuedRequest {
        ticket,
        class: class.parse().expect("valid name"),
        account: account.parse().expect("valid name"),
        key: KeyDigest::new([account.len() as u8; 32]),
        role: SlotRole::Primary,
        cost: 1,
        deadline: None,
    }
}

fn queue(bounds: QueueBounds) -> FairQueue {
    let mut queue = FairQueue::new(bounds);
    for (class, target) in [("orders", 100), ("reads", 400)] {
        let class = class.parse().expect("valid name");
        queue.set_latency_target(class, Duration::from_millis(target));
    }
    queue
}

fn drain(queue: &mut FairQueue, now: MonotonicTime) -> Vec<u64> {
    std::iter::from_fn(|| queue.next(SlotRole::Primary, now)).collect()
}

#[test]
fn next_alternates_between_accounts() {
    // Guards against an account with many waiting requests that delays the others.
    let mut queue = queue(QueueBounds::default());
    for ticket in 0..6 {
        queue.enqueue(request(ticket, "orders", "large"), millis(0));
    }
    queue.enqueue(request(10, "orders", "small"), millis(1));
    queue.enqueue(request(11, "orders", "small"), millis(1));
    assert_eq!(drain(&mut queue, millis(2)), [0, 10, 1, 11, 2, 3, 4, 5]);
}

#[test]
fn next_charges_cost() {
    // Guards against an account that gains throughput by sending expensive requests.
    let mut queue = queue(QueueBounds::default());
    for ticket in 0..2 {
        let heavy = QueuedRequest {
            cost: 3,
            ..request(ticket, "orders", "heavy")
        };
        queue.enqueue(heavy, millis(0));
    }
    for ticket in 10..16 {
        queue.enqueue(request(ticket, "orders", "light"), millis(0));
    }
    let order = drain(&mut queue, millis(1));
    let second = order
        .iter()
        .position(|ticket| *ticket == 1)
        .expect("served");
    assert!(second >= 6, "{order:?}");
}

#[test]
fn next_prefers_smaller_target_until_urgent() {
    let mut queue = queue(QueueBounds::default());
    queue.enqueue(request(1, "reads", "a"), millis(0));
    queue.enqueue(request(2, "orders", "a"), millis(0));
    queue.enqueue(request(3, "orders", "a"), millis(310));
    assert_eq!(queue.next(SlotRole::Primary, millis(10)), Some(2));
    // Guards against starvation: the read is due in 80 ms, the order in 90 ms.
    assert_eq!(queue.next(SlotRole::Primary, millis(320)), Some(1));
}

#[test]
fn shed_refuses_overdue_as_not_run() {
    let mut queue = queue(QueueBounds::default());
    queue.enqueue(request(1, "orders", "a"), millis(0));
    queue.enqueue(request(2, "reads", "a"), millis(0));
    assert_eq!(queue.next_deadline(), Some(millis(100)));
    let shed = queue.shed_overdue(millis(100));
    assert_eq!(shed.len(), 1);
    assert_eq!(shed[0].ticket, 1);
    assert_eq!(shed[0].error.outcome, RequestOutcome::NotRun);
    assert_eq!(shed[0].error.code, ErrorCode::Overloaded);
    assert_eq!(drain(&mut queue, millis(100)), [2]);
    assert!(queue.is_empty());
}

#[test]
fn enqueue_sheds_overdue_then_longest() {
    // Guards against a full queue that refuses small accounts because of a large one.
    let bounds = QueueBounds {
        max_per_role: 4,
        ..QueueBounds::default()
    };
    let mut queue = queue(bounds);
    for ticket in 0..4 {
        queue.enqueue(request(ticket, "orders", "large"), millis(ticket));
    }
    let shed = queue.enqueue(request(9, "orders", "small"), millis(50));
    assert_eq!(shed[0].ticket, 3, "newest of the longest");
    let shed = queue.enqueue(request(10, "orders", "small"), millis(101));
    let tickets: Vec<u64> = shed.iter().map(|shed| shed.ticket).collect();
    assert_eq!(tickets, [0, 1], "overdue ones first");
    assert_eq!(queue.len(SlotRole::Primary), 3);
}

#[test]
fn cancel_removes_key_and_account() {
    // Guards against a withdrawn key whose waiting requests still run.
    let mut queue = queue(QueueBounds::default());
    queue.enqueue(request(1, "orders", "a"), millis(0));
    queue.enqueue(request(2, "reads", "bb"), millis(0));
    queue.enqueue(request(3, "orders", "ccc"), millis(0));
    assert_eq!(queue.cancel_key(&KeyDigest::new([2; 32])), [2]);
    let account = "a".parse().expect("valid name");
    assert_eq!(queue.cancel_account(&account), [1]);
    assert!(queue.cancel(3) && !queue.cancel(3));
    assert_eq!(drain(&mut queue, millis(1)), [0; 0]);
}

#[test]
fn move_to_primary_keeps_requests() {
    let mut queue = queue(QueueBounds::default());
    let read = QueuedRequest {
        role: SlotRole::Replica,
        ..request(1, "reads", "a")
    };
    queue.enqueue(read, millis(0));
    assert_eq!(queue.next(SlotRole::Primary, millis(1)), None);
    queue.move_to_primary();
    assert_eq!(queue.next(SlotRole::Primary, millis(1)), Some(1));
}

#[test]
fn slot_limiter_lowers_and_raises_limit() {
    // Guards against a limit that refusals of statements sent together lower too far.
    let mut slots = SlotLimiter::new(8);
    let member = "a".parse().expect("valid name");
    let mut running = 0;
    while slots.acquire(&member, millis(0)) {
        running += 1;
    }
    assert_eq!(running, 8);
    for _ in 0..5 {
        slots.record_refusal(&member, millis(1));
    }
    assert_eq!((slots.limit(&member), slots.in_use(&member)), (3, 3));
    slots.release(&member);
    assert_eq!(slots.free_slots(&member, millis(4_000)), 1);
    assert_eq!(
        slots.free_slots(&member, millis(5_001)),
        2,
        "raised after 5 s without a refusal"
    );
    assert!(slots.acquire(&member, millis(5_001)) && slots.acquire(&member, millis(5_001)));
    slots.record_refusal(&member, millis(5_002));
    assert_eq!(
        slots.free_slots(&member, millis(10_100)),
        0,
        "tested less often"
    );
    assert_eq!(slots.free_slots(&member, millis(15_002)), 1);
}

/// Random arrivals in 20 s: account 0 sends 300 requests/s, accounts 1 to 4 send 10/s
/// each, half of a fair share of 100/s.
fn arrivals() -> Vec<(u64, usize)> {
    let mut rng = SmallRng::seed_from_u64(5);
    let sends = |(step, account): &(u64, usize)| {
        let probability = if *account == 0 { 0.3 } else { 0.01 };
        *step < 20_000 && rng.random_bool(probability)
    };
    let steps = (0..20_000).flat_map(|step| (0..5).map(move |account| (step, account)));
    steps.filter(sends).collect()
}

#[test]
fn next_serves_small_accounts_under_overload() {
    // Guards against a large account that uses the slots of the others. 100 requests/s are
    // served, and each may wait for 100 ms.
    let arrivals = arrivals();
    let small = arrivals.iter().filter(|(_, account)| *account > 0).count();
    let mut queue = queue(QueueBounds::default());
    let mut common = VecDeque::new();
    let (mut fair_served, mut common_served) = (0, 0);
    let mut coming = arrivals.iter().enumerate().peekable();
    for step in 0..20_000 {
        while let Some((ticket, (_, account))) = coming.next_if(|(_, (time, _))| *time == step) {
            let name = format!("account-{account}");
            queue.enqueue(request(ticket as u64, "orders", &name), millis(step));
            common.push_back(ticket);
        }
        queue.shed_overdue(millis(step));
        common.retain(|ticket| arrivals[*ticket].0 + 100 > step);
        if step % 10 == 0 {
            let is_small = |ticket: usize| usize::from(arrivals[ticket].1 > 0);
            let fair = queue.next(SlotRole::Primary, millis(step));
            fair_served += fair.map_or(0, |ticket| is_small(ticket as usize));
            common_served += common.pop_front().map_or(0, is_small);
        }
    }
    let percent = |served: usize| 100.0 * served as f64 / small as f64;
    let (fair, common) = (percent(fair_served), percent(common_served));
    println!("small accounts served: fair {fair:.2} %, first come first served {common:.2} %");
    assert!(fair >= 99.0, "{fair} %");
    assert!(common < 50.0, "{common} %");
}
