//! Compares orders of waiting requests in virtual time, at loads around and above the room.
//!
//! Three classes with priorities 0 to 2 share four connections; ten accounts send alike, but for
//! account 0, which sends seven times its usual in the second half.
//!
//! ```text
//! cargo run --release -p coriander_queue --example queue_orders
//! ```

use std::collections::HashMap;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_queue::{QueuedRequest, RequestTicket, ServiceRate, WaitingQueue};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const RATE: ServiceRate = ServiceRate {
    connections: 4,
    available: 0,
    mean_hold: Duration::from_millis(20),
    mean_exchange: Duration::from_millis(20),
};

/// Time between two connections that become free, in milliseconds.
const INTERVAL_MS: u64 = 5;

/// Length of a play in milliseconds.
const PLAY_MS: u64 = 20_000;

const ACCOUNTS: usize = 10;
const LOADS: [f64; 4] = [1.0, 1.3, 1.7, 2.5];

struct RequestClass {
    share: f64,
    target_ms: u64,
    deadline_ms: u64,
    /// Weight of the class in weighted fair queueing.
    weight: f64,
}

/// The urgent, the usual and the patient class.
const CLASSES: [RequestClass; 3] = [
    RequestClass {
        share: 0.15,
        target_ms: 150,
        deadline_ms: 800,
        weight: 4.0,
    },
    RequestClass {
        share: 0.70,
        target_ms: 250,
        deadline_ms: 800,
        weight: 2.0,
    },
    RequestClass {
        share: 0.15,
        target_ms: 800,
        deadline_ms: 1_500,
        weight: 1.0,
    },
];

#[derive(Clone, Copy)]
struct Arrival {
    at_ms: u64,
    account: usize,
    class: usize,
}

/// An order of waiting requests.
trait QueueOrder {
    fn arrive(&mut self, index: usize, arrival: Arrival);
    /// Returns the refused requests.
    fn refuse(&mut self, now_ms: u64) -> Vec<usize>;
    fn serve(&mut self, now_ms: u64) -> Option<usize>;
}

/// Serves the request with the lowest key; refuses at the deadline.
struct KeyOrder<F> {
    waiting: Vec<(usize, Arrival)>,
    /// Virtual times at which the last request of each class ends, for weighted fair queueing.
    finish_times: [f64; CLASSES.len()],
    virtual_time: f64,
    key: F,
}

impl<F: Fn(&Arrival, f64) -> (f64, u64)> KeyOrder<F> {
    fn new(key: F) -> Self {
        Self {
            waiting: Vec::new(),
            finish_times: [0.0; CLASSES.len()],
            virtual_time: 0.0,
            key,
        }
    }

    fn start_time(&self, class: usize) -> f64 {
        self.finish_times[class].max(self.virtual_time)
    }
}

impl<F: Fn(&Arrival, f64) -> (f64, u64)> QueueOrder for KeyOrder<F> {
    fn arrive(&mut self, index: usize, arrival: Arrival) {
        self.waiting.push((index, arrival));
    }

    fn refuse(&mut self, now_ms: u64) -> Vec<usize> {
        let is_over =
            |arrival: &Arrival| now_ms >= arrival.at_ms + CLASSES[arrival.class].deadline_ms;
        let over = self.waiting.iter().filter(|(_, arrival)| is_over(arrival));
        let refused = over.map(|(index, _)| *index).collect();
        self.waiting.retain(|(_, arrival)| !is_over(arrival));
        refused
    }

    fn serve(&mut self, _now_ms: u64) -> Option<usize> {
        let key = |arrival: &Arrival| (self.key)(arrival, self.start_time(arrival.class));
        let first = self.waiting.iter().enumerate().min_by(|(_, a), (_, b)| {
            let (a, b) = (key(&a.1), key(&b.1));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        });
        let position = first.map(|(position, _)| position)?;
        let (index, arrival) = self.waiting.remove(position);
        self.virtual_time = self.start_time(arrival.class);
        self.finish_times[arrival.class] = self.virtual_time + 1.0 / CLASSES[arrival.class].weight;
        Some(index)
    }
}

/// The order of [`WaitingQueue`].
#[derive(Default)]
struct WaitingQueueOrder {
    queue: WaitingQueue,
    indices: HashMap<RequestTicket, usize>,
}

impl QueueOrder for WaitingQueueOrder {
    fn arrive(&mut self, index: usize, arrival: Arrival) {
        let class = &CLASSES[arrival.class];
        let ms = MonotonicTime::from_millis;
        let request = QueuedRequest {
            account: format!("account-{}", arrival.account).into(),
            weight: 10,
            priority: u32::try_from(arrival.class).expect("few classes"),
            target: ms(arrival.at_ms + class.target_ms),
            deadline: ms(arrival.at_ms + class.deadline_ms),
            finish_by: ms(arrival.at_ms + class.deadline_ms) + RATE.mean_hold,
        };
        let ticket = self.queue.enqueue(request, ms(arrival.at_ms));
        self.indices.insert(ticket, index);
    }

    fn refuse(&mut self, now_ms: u64) -> Vec<usize> {
        let now = MonotonicTime::from_millis(now_ms);
        let refused = self.queue.refuse_unservable(RATE, now);
        refused.iter().map(|ticket| self.indices[ticket]).collect()
    }

    fn serve(&mut self, now_ms: u64) -> Option<usize> {
        let now = MonotonicTime::from_millis(now_ms);
        let ticket = self.queue.first(now)?;
        self.queue.serve(ticket, now);
        Some(self.indices[&ticket])
    }
}

#[derive(Clone, Copy, Default)]
struct Tally {
    total: u32,
    on_time: u32,
    late: u32,
    refused_after_ms: u64,
}

impl Tally {
    fn percent(&self, count: u32) -> f64 {
        100.0 * f64::from(count) / f64::from(self.total.max(1))
    }
}

/// Returns Poisson arrivals at a multiple of the room.
fn arrivals(load: f64) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(7);
    let mut arrivals = Vec::new();
    for at_ms in 0..PLAY_MS {
        let hot_shares = if at_ms >= PLAY_MS / 2 { 7 } else { 1 };
        let expected = load / INTERVAL_MS as f64;
        // At most two per millisecond occur at the loads played.
        for _ in 0..2 {
            if random.random::<f64>() >= expected / 2.0 {
                continue;
            }
            let account = random.random_range(0..ACCOUNTS - 1 + hot_shares);
            let mut draw: f64 = random.random();
            let class = CLASSES.iter().position(|class| {
                draw -= class.share;
                draw < 0.0
            });
            arrivals.push(Arrival {
                at_ms,
                account: account.saturating_sub(hot_shares - 1),
                class: class.unwrap_or(CLASSES.len() - 1),
            });
        }
    }
    arrivals
}

fn play(order: &mut dyn QueueOrder, arrivals: &[Arrival]) -> (Vec<Tally>, Vec<Tally>) {
    let mut by_class = vec![Tally::default(); CLASSES.len()];
    let mut by_account = vec![Tally::default(); ACCOUNTS];
    let mut next = 0;
    for now_ms in 0..PLAY_MS + 2_000 {
        while arrivals
            .get(next)
            .is_some_and(|arrival| arrival.at_ms <= now_ms)
        {
            order.arrive(next, arrivals[next]);
            next += 1;
        }
        let mut record = |index: usize, change: &dyn Fn(&mut Tally)| {
            let arrival = arrivals[index];
            for tally in [
                &mut by_class[arrival.class],
                &mut by_account[arrival.account],
            ] {
                tally.total += 1;
                change(tally);
            }
        };
        for index in order.refuse(now_ms) {
            let waited = now_ms - arrivals[index].at_ms;
            record(index, &|tally| tally.refused_after_ms += waited);
        }
        if now_ms % INTERVAL_MS == 0
            && let Some(index) = order.serve(now_ms)
        {
            let arrival = arrivals[index];
            let is_on_time = now_ms <= arrival.at_ms + CLASSES[arrival.class].target_ms;
            record(index, &|tally| {
                tally.on_time += u32::from(is_on_time);
                tally.late += u32::from(!is_on_time);
            });
        }
    }
    (by_class, by_account)
}

fn main() {
    println!("| load | order | urgent | usual | patient | worst account on time | refused after |");
    println!("|---|---|---|---|---|---|---|");
    for load in LOADS {
        let arrivals = arrivals(load);
        let priority = |arrival: &Arrival, _: f64| (arrival.class as f64, arrival.at_ms);
        let fair = |arrival: &Arrival, start: f64| (start, arrival.at_ms);
        let due = |arrival: &Arrival, _: f64| {
            let due_ms = arrival.at_ms + CLASSES[arrival.class].target_ms;
            (due_ms as f64, arrival.at_ms)
        };
        let orders: [(&str, Box<dyn QueueOrder>); 4] = [
            ("strict priority", Box::new(KeyOrder::new(priority))),
            ("weighted fair queueing", Box::new(KeyOrder::new(fair))),
            ("deadline first", Box::new(KeyOrder::new(due))),
            ("WaitingQueue", Box::new(WaitingQueueOrder::default())),
        ];
        for (name, mut order) in orders {
            let (by_class, by_account) = play(&mut *order, &arrivals);
            let classes: Vec<_> = by_class
                .iter()
                .map(|tally| {
                    let on_time = tally.percent(tally.on_time);
                    let late = tally.percent(tally.late);
                    format!("{on_time:.0} % + {late:.0} % late")
                })
                .collect();
            let worst = by_account[1..]
                .iter()
                .map(|tally| tally.percent(tally.on_time))
                .fold(f64::INFINITY, f64::min);
            let refused: u32 = by_class
                .iter()
                .map(|tally| tally.total - tally.on_time - tally.late)
                .sum();
            let waited: u64 = by_class.iter().map(|tally| tally.refused_after_ms).sum();
            let mean_wait = waited / u64::from(refused.max(1));
            println!(
                "| {load} | {name} | {} | {worst:.0} % | {mean_wait} ms ({refused}) |",
                classes.join(" | ")
            );
        }
    }
}
