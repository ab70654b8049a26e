//! Order and refusal of waiting requests under load, from the targets and deadlines of the classes.

use std::collections::HashMap;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_queue::{QueuedRequest, RequestTicket, ServiceRate, WaitingQueue};

/// Targets, deadlines and shares of load of three classes, in order of priority.
const CLASSES: [(u64, u64, usize); 3] = [(150, 800, 2), (250, 800, 7), (800, 1_500, 1)];

/// Connections and the time for which each request holds one.
const RATE: ServiceRate = ServiceRate {
    connections: 4,
    available: 0,
    mean_hold: Duration::from_millis(20),
    mean_exchange: Duration::from_millis(20),
};

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Requests refused after more than half of their time had passed.
    refused_late: u32,
}

impl Outcome {
    fn total(&self) -> u32 {
        self.on_time + self.late + self.refused
    }

    fn on_time_fraction(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.total())
    }
}

fn ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(account: &str, priority: u32, now: u64) -> QueuedRequest {
    let (target, deadline, _) = CLASSES[priority as usize];
    QueuedRequest {
        account: account.into(),
        weight: 10,
        priority,
        target: ms(now + target),
        deadline: ms(now + deadline),
        finish_by: ms(now + deadline) + RATE.mean_hold,
    }
}

/// Serves arrivals, given as (time in ms, account, priority), at [`RATE`]. Returns outcomes by
/// account and priority.
fn play(arrivals: &[(u64, usize, u32)]) -> HashMap<(usize, u32), Outcome> {
    let mut queue = WaitingQueue::default();
    let mut outcomes: HashMap<(usize, u32), Outcome> = HashMap::new();
    let mut waiting: HashMap<RequestTicket, (u64, usize, u32)> = HashMap::new();
    let mut next = arrivals.iter().peekable();
    let interval = RATE.interval().as_millis() as u64;
    let last = arrivals.last().map_or(0, |arrival| arrival.0);
    for now in 0..last + 2_000 {
        while let Some((at, account, priority)) = next.next_if(|arrival| arrival.0 <= now) {
            let ticket = queue.enqueue(request(&format!("a{account}"), *priority, *at), ms(*at));
            waiting.insert(ticket, (*at, *account, *priority));
        }
        for ticket in queue.refuse_unservable(RATE, ms(now)) {
            let (at, account, priority) = waiting[&ticket];
            let outcome = outcomes.entry((account, priority)).or_default();
            outcome.refused += 1;
            outcome.refused_late += u32::from(now - at > CLASSES[priority as usize].1 / 2);
        }
        if now % interval == 0
            && let Some(ticket) = queue.first(ms(now))
        {
            queue.serve(ticket, ms(now));
            let (at, account, priority) = waiting[&ticket];
            let outcome = outcomes.entry((account, priority)).or_default();
            if now - at <= CLASSES[priority as usize].0 {
                outcome.on_time += 1;
            } else {
                outcome.late += 1;
            }
        }
    }
    outcomes
}

/// Returns arrivals of `load` times what [`RATE`] serves for a time, spread over ten accounts, of
/// which account 0 sends `hot` times as much as each other one.
fn arrivals(load: f64, hot: usize, from: u64, to: u64) -> Vec<(u64, usize, u32)> {
    let step = RATE.interval().as_secs_f64() * 1_000.0 / load;
    let count = ((to - from) as f64 / step) as usize;
    let accounts = 9 + hot;
    let arrival = |index: usize| {
        let class = (index * 7 % 10, 0);
        let priority = match class.0 {
            0..2 => 0,
            2..9 => 1,
            _ => 2,
        };
        let account = (index * 5 / 3 % accounts).saturating_sub(hot - 1);
        (from + (index as f64 * step) as u64, account, priority)
    };
    (0..count).map(arrival).collect()
}

fn by_priority(outcomes: &HashMap<(usize, u32), Outcome>, priority: u32) -> Outcome {
    sum(outcomes
        .iter()
        .filter(|((_, own), _)| *own == priority)
        .map(|(_, outcome)| outcome))
}

fn by_account(outcomes: &HashMap<(usize, u32), Outcome>, account: usize) -> Outcome {
    sum(outcomes
        .iter()
        .filter(|((own, _), _)| *own == account)
        .map(|(_, outcome)| outcome))
}

fn sum<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Outcome {
    outcomes.fold(Outcome::default(), |total, outcome| Outcome {
        on_time: total.on_time + outcome.on_time,
        late: total.late + outcome.late,
        refused: total.refused + outcome.refused,
        refused_late: total.refused_late + outcome.refused_late,
    })
}

#[test]
fn too_little_room_serves_the_first_priority_on_time() {
    // Guards against an overload in which all classes miss their targets together.
    let outcomes = play(&arrivals(1.7, 1, 0, 10_000));
    assert!(by_priority(&outcomes, 0).on_time_fraction() > 0.99);
    let second = by_priority(&outcomes, 1);
    assert!(
        second.on_time_fraction() > 0.4,
        "room for half of them: {second:?}"
    );
}

#[test]
fn too_little_room_refuses_early_and_the_lowest_priority_first() {
    // Guards against requests that wait until their deadline although no room is left for them.
    let outcomes = play(&arrivals(2.5, 1, 0, 10_000));
    assert_eq!(by_priority(&outcomes, 0).refused, 0);
    let second = by_priority(&outcomes, 1);
    let third = by_priority(&outcomes, 2);
    // A caller who is refused within half of its time can still return.
    assert!(
        second.refused_late * 10 <= second.refused,
        "refused too late: {second:?}"
    );
    let refused = |outcome: Outcome| f64::from(outcome.refused) / f64::from(outcome.total());
    assert!(refused(third) >= refused(second), "{third:?} {second:?}");
}

#[test]
fn room_for_all_refuses_nothing() {
    // Guards against refusals by a prediction when every request could be served.
    let outcomes = play(&arrivals(0.95, 1, 0, 10_000));
    let total = sum(outcomes.values());
    assert_eq!((total.refused, total.late), (0, 0), "{total:?}");
}

#[test]
fn account_at_seven_times_its_usual_delays_only_itself() {
    // Ten accounts use 0.7 of the room; after five seconds one of them sends seven times as much.
    // Guards against the others' missing their targets because of it.
    let usual = arrivals(0.7, 1, 0, 5_000);
    let mut load = usual.clone();
    load.extend(arrivals(0.7 * 1.6, 7, 5_000, 10_000));
    let outcomes = play(&load);
    for account in 1..10 {
        let outcome = by_account(&outcomes, account);
        assert!(outcome.on_time_fraction() > 0.98, "{account}: {outcome:?}");
    }
}

#[test]
fn burst_after_an_outage_is_served_within_its_deadlines() {
    // 100 ms of requests have gathered during an outage and return together, then 1.7 times the
    // room for half a second. Guards against a backlog that makes all later requests late.
    let mut load = arrivals(1.7, 1, 0, 500);
    let gathered = arrivals(1.0, 1, 0, 100);
    load.extend(
        gathered
            .into_iter()
            .map(|(_, account, class)| (0, account, class)),
    );
    load.sort_unstable();
    load.extend(arrivals(0.8, 1, 500, 6_000));
    let outcomes = play(&load);
    assert_eq!(by_priority(&outcomes, 0).refused, 0);
    assert!(by_priority(&outcomes, 0).on_time_fraction() > 0.99);
    let total = sum(outcomes.values());
    // 90 requests exceed the room; all others can meet their targets.
    assert!(total.total() - total.on_time <= 90, "{total:?}");
}

#[test]
fn late_request_waits_behind_one_that_can_meet_its_target() {
    // Guards against serving a request that is late anyway while another becomes late.
    let mut queue = WaitingQueue::default();
    let late = queue.enqueue(request("a", 0, 0), ms(0));
    let in_time = queue.enqueue(request("b", 2, 100), ms(100));
    let now = ms(200);
    assert_eq!(queue.first(now), Some(in_time));
    queue.serve(in_time, now);
    assert_eq!(queue.first(now), Some(late));
}

#[test]
fn account_with_more_weight_gets_more() {
    // Guards against equal shares for accounts whose operators have stated different rates.
    let mut queue = WaitingQueue::default();
    for _ in 0..30 {
        queue.enqueue(request("small", 1, 0), ms(0));
        let large = QueuedRequest {
            weight: 20,
            ..request("large", 1, 0)
        };
        queue.enqueue(large, ms(0));
    }
    let mut served = HashMap::new();
    for _ in 0..30 {
        let ticket = queue.first(ms(0)).expect("requests wait");
        let account = queue.get(ticket).expect("it waits").account.clone();
        queue.serve(ticket, ms(0));
        *served.entry(account).or_insert(0) += 1;
    }
    assert_eq!((served["large"], served["small"]), (20, 10));
}

#[test]
fn request_without_room_until_its_deadline_is_refused_at_once() {
    // Guards against a caller who waits until its deadline for room that others will take.
    let mut queue = WaitingQueue::default();
    for _ in 0..300 {
        queue.enqueue(request("a", 0, 0), ms(0));
    }
    let last = queue.enqueue(request("b", 2, 0), ms(0));
    let refused = queue.refuse_unservable(RATE, ms(0));
    assert!(refused.contains(&last));
}

/// Returns a request that must have ended before the mean time of an exchange has passed.
fn short_request(account: &str) -> QueuedRequest {
    QueuedRequest {
        finish_by: ms(15),
        ..request(account, 0, 0)
    }
}

#[test]
fn waiting_request_that_cannot_end_in_time_is_refused() {
    // Guards against a statement that is sent although its reply will come after its timeout. All
    // connections are in use, so that the request waits.
    let mut queue = WaitingQueue::default();
    let ticket = queue.enqueue(short_request("a"), ms(0));
    assert_eq!(RATE.available, 0);
    assert_eq!(queue.refuse_unservable(RATE, ms(0)), [ticket]);
}

#[test]
fn request_with_an_available_connection_is_not_refused() {
    // Guards against a mean above the time limits, which nothing lowers if it refuses every request.
    let mut queue = WaitingQueue::default();
    let first = queue.enqueue(short_request("a"), ms(0));
    let second = queue.enqueue(short_request("b"), ms(0));
    let behind = queue.enqueue(short_request("c"), ms(0));
    let rate = ServiceRate {
        available: 2,
        mean_hold: Duration::from_secs(10),
        ..RATE
    };
    assert_eq!(queue.refuse_unservable(rate, ms(0)), [behind]);
    assert_eq!(queue.in_order(ms(0)), [first, second]);
    let mut over = queue.refuse_unservable(rate, ms(800));
    over.sort_unstable();
    assert_eq!(over, [first, second], "their deadline has passed");
}

#[test]
fn pauses_of_transactions_do_not_count_as_time_of_a_statement() {
    // Guards against refusing a short statement because transactions hold their connections longer
    // than its time limit.
    let mut queue = WaitingQueue::default();
    let statement = QueuedRequest {
        finish_by: ms(360),
        ..request("a", 0, 0)
    };
    queue.enqueue(statement, ms(0));
    let rate = ServiceRate {
        mean_hold: Duration::from_millis(600),
        ..RATE
    };
    assert!(queue.refuse_unservable(rate, ms(0)).is_empty());
}
