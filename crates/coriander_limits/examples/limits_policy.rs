//! Measures grant policies in virtual time with a fixed seed and prints a table.

#[path = "support/mod.rs"]
mod support;

use std::env;
use std::time::Duration;

use coriander_core::AccountLimits;
use coriander_limits::LimitPolicy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{Action, Fault, IdealBucket, Settings, Simulation};

const SECOND: u64 = 1_000_000;
const INSTANCES: usize = 6;
const START: u64 = 6 * SECOND;
const END: u64 = 36 * SECOND;
const SEED: u64 = 42;

/// Distribution of an account's requests over the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Spread {
    Even,
    /// 90 % of the requests at one instance.
    Uneven,
    /// All requests at one instance, which changes every two seconds.
    Shifting,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    None,
    /// The first owner of account 0 is paused for the rest of the run.
    OwnerLost,
    /// Like `OwnerLost`, followed by a fleet section without the owner two seconds later.
    OwnerRemoved,
    /// An instance is replaced with a graceful hand-over.
    OwnerReplaced,
}

#[derive(Clone, Debug)]
struct Request {
    time: u64,
    instance: usize,
    account: usize,
}

/// Limits of eight accounts, a few of them large, as in the deployments. Account 7 sends five times
/// its rate.
fn limits() -> Vec<AccountLimits> {
    let rates = [300, 200, 100, 40, 20, 10, 5, 100];
    let limit = |rate| AccountLimits { rate, burst: rate };
    rates.map(limit).to_vec()
}

/// Poisson arrivals at 80 % of the rate, and at five times the rate for account 7.
fn requests(spread: Spread) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut requests = Vec::new();
    for (account, limits) in limits().iter().enumerate() {
        let factor = if account == 7 { 5.0 } else { 0.8 };
        let mean = 1e6 / (f64::from(limits.rate) * factor);
        let mut time = START as f64;
        while time < END as f64 {
            let instance = match spread {
                Spread::Uneven if rng.random_bool(0.9) => account % INSTANCES,
                Spread::Even | Spread::Uneven => rng.random_range(0..INSTANCES),
                Spread::Shifting => (account + time as usize / 2_000_000) % INSTANCES,
            };
            requests.push(Request {
                time: time as u64,
                instance,
                account,
            });
            time -= mean * rng.random::<f64>().max(1e-12).ln();
        }
    }
    requests.sort_by_key(|request| request.time);
    requests
}

#[derive(Debug, Default)]
struct Outcome {
    /// Refused requests within rate of accounts 0 to 6, in percent of their requests within rate.
    refused_percent: f64,
    /// Minimum over accounts 0 to 6 of admitted requests, in percent of those within rate.
    min_share: f64,
    /// Admitted requests of account 7, in percent of those within rate.
    greedy_share: f64,
    /// 99th percentile of the waiting time of admitted requests of accounts 0 to 6, in ms.
    wait_p99_ms: f64,
    /// Admitted requests of accounts 0 to 6 that waited, in percent.
    waited_percent: f64,
    messages_per_second: f64,
    /// Messages per second for account 7.
    greedy_messages: f64,
    messages_per_request: f64,
    exceeded: u64,
}

fn measure(policy: &LimitPolicy, spread: Spread, failure: Failure) -> Outcome {
    let settings = Settings {
        seed: SEED,
        limits: limits(),
        policy: policy.clone(),
        delay: (1_000, 1_500),
        loss: 0.0,
        duplicate: 0.0,
        token_timeout: 200_000,
        fault: Fault::None,
    };
    let mut simulation = Simulation::new(settings, INSTANCES + 1, INSTANCES);
    let owner = simulation.owner(0, 0);
    match failure {
        Failure::None => {}
        Failure::OwnerLost => simulation.schedule(START + 5 * SECOND, Action::Pause(owner)),
        Failure::OwnerRemoved => {
            simulation.schedule(START + 5 * SECOND, Action::Pause(owner));
            let fleet = (0..INSTANCES).filter(|i| *i != owner).collect();
            simulation.schedule(START + 7 * SECOND, Action::ChangeFleet(fleet));
        }
        Failure::OwnerReplaced => {
            let fleet = (0..=INSTANCES).filter(|i| *i != owner).collect();
            simulation.schedule(START + 5 * SECOND, Action::ChangeFleet(fleet));
        }
    }
    let requests = requests(spread);
    for request in &requests {
        let mut instance = request.instance;
        // The load balancer sends no requests to an instance that has failed.
        if failure != Failure::None && instance == owner && request.time > START + 5 * SECOND {
            instance = (instance + 1) % INSTANCES;
        }
        let account = request.account;
        simulation.schedule(request.time, Action::Request { instance, account });
    }
    simulation.run_until(START);
    let messages = simulation.usage.messages();
    simulation.run_until(END + SECOND);
    let usage = &simulation.usage;
    let mut outcome = Outcome {
        min_share: 100.0,
        exceeded: usage.exceeded(),
        ..Outcome::default()
    };
    let (mut entitled, mut missed, mut waits) = (0, 0, Vec::new());
    for (number, account) in usage.accounts.iter().enumerate() {
        let share = 100.0 * account.admitted as f64 / account.entitled as f64;
        if number == 7 {
            outcome.greedy_share = share;
            continue;
        }
        outcome.min_share = outcome.min_share.min(share);
        entitled += account.entitled;
        missed += account.entitled.saturating_sub(account.admitted);
        waits.extend(account.waits.iter().copied());
    }
    waits.sort_unstable();
    let waited = waits.iter().filter(|wait| **wait > 0).count();
    outcome.wait_p99_ms = waits.get(waits.len() * 99 / 100).copied().unwrap_or(0) as f64 / 1e3;
    outcome.waited_percent = 100.0 * waited as f64 / waits.len().max(1) as f64;
    outcome.refused_percent = 100.0 * missed as f64 / entitled as f64;
    let seconds = (END - START) as f64 / 1e6;
    outcome.messages_per_second = (usage.messages() - messages) as f64 / seconds;
    outcome.greedy_messages = usage.accounts[7].messages as f64 / seconds;
    outcome.messages_per_request = (usage.messages() - messages) as f64 / requests.len() as f64;
    outcome
}

/// Baseline: every instance has an equal fixed share of rate and burst.
fn measure_split(spread: Spread) -> Outcome {
    let mut entitled: Vec<_> = limits().into_iter().map(IdealBucket::new).collect();
    let split = |limits: AccountLimits| {
        let scaled = limits.burst / INSTANCES as u32;
        let limits = AccountLimits {
            rate: limits.rate,
            burst: scaled.max(1) * INSTANCES as u32,
        };
        (0..INSTANCES)
            .map(|_| IdealBucket::equal_share(limits, INSTANCES as u32))
            .collect::<Vec<_>>()
    };
    let mut buckets: Vec<Vec<_>> = limits().into_iter().map(split).collect();
    count_baseline(spread, |request| {
        let within = entitled[request.account].take(request.time);
        let bucket: &mut IdealBucket = &mut buckets[request.account][request.instance];
        (within, bucket.take(request.time))
    })
}

/// Baseline: one bucket for all accounts together, first come first served.
fn measure_common() -> Outcome {
    let mut entitled: Vec<_> = limits().into_iter().map(IdealBucket::new).collect();
    let sum = limits().iter().map(|limits| limits.rate).sum();
    let mut common = IdealBucket::new(AccountLimits {
        rate: sum,
        burst: sum,
    });
    count_baseline(Spread::Even, |request| {
        let within = entitled[request.account].take(request.time);
        (within, common.take(request.time))
    })
}

fn count_baseline(spread: Spread, mut admit: impl FnMut(&Request) -> (bool, bool)) -> Outcome {
    let mut counts = [(0u64, 0u64); 8];
    for request in requests(spread) {
        let (within, admitted) = admit(&request);
        let (entitled, admitted_count) = &mut counts[request.account];
        *entitled += u64::from(within);
        *admitted_count += u64::from(admitted);
    }
    let share =
        |(entitled, admitted_count): (u64, u64)| 100.0 * admitted_count as f64 / entitled as f64;
    let within = &counts[..7];
    let entitled: u64 = within.iter().map(|count| count.0).sum();
    let missed: u64 = within
        .iter()
        .map(|(e, admitted_count)| e.saturating_sub(*admitted_count))
        .sum();
    Outcome {
        refused_percent: 100.0 * missed as f64 / entitled as f64,
        min_share: within.iter().copied().map(share).fold(100.0, f64::min),
        greedy_share: share(counts[7]),
        ..Outcome::default()
    }
}

fn print(name: &str, case: &str, outcome: &Outcome) {
    println!(
        "{name:<26} {case:<16} {:>8.3} {:>7.2} {:>7.1} {:>8.1} {:>7.1} {:>8.0} {:>8.0} {:>8.3} {:>5}",
        outcome.refused_percent,
        outcome.min_share,
        outcome.greedy_share,
        outcome.wait_p99_ms,
        outcome.waited_percent,
        outcome.messages_per_second,
        outcome.greedy_messages,
        outcome.messages_per_request,
        outcome.exceeded,
    );
}

fn policies() -> Vec<(String, LimitPolicy)> {
    let base = LimitPolicy::default;
    let mut policies = vec![("default".to_owned(), base())];
    if env::args().any(|arg| arg == "--all") {
        for (rate, burst) in [(50, 50), (20, 20), (5, 20), (5, 10), (2, 10), (0, 0)] {
            let name = format!("reserve {rate}/{burst} %");
            policies.push((name, base().with_reserve_percent(rate, burst)));
        }
        for millis in [0, 20, 50, 100, 200] {
            let prefetch = Duration::from_millis(millis);
            policies.push((
                format!("prefetch {millis} ms"),
                base().with_prefetch_time(prefetch),
            ));
        }
        for percent in [20, 34, 100] {
            let name = format!("grant share {percent} %");
            policies.push((name, base().with_max_grant_percent(percent)));
        }
        for millis in [20, 50, 100] {
            let policy = base().with_empty_retry_interval(Duration::from_millis(millis));
            policies.push((format!("empty retry {millis} ms"), policy));
        }
        for millis in [100, 200, 1_000] {
            let expiry = Duration::from_millis(millis);
            policies.push((
                format!("expiry {millis} ms"),
                base().with_grant_expiry(expiry),
            ));
        }
    }
    policies
}

fn main() {
    println!("refused: requests within rate that were refused, accounts 0 to 6, %");
    println!("worst: lowest admitted fraction of the requests within rate, accounts 0 to 6, %");
    println!(
        "greedy: admitted requests of account 7 at five times its rate, % of those within rate"
    );
    println!("wait: 99th percentile, ms; waited: fraction of the admitted requests, %");
    println!(
        "{:<26} {:<16} {:>8} {:>7} {:>7} {:>8} {:>7} {:>8} {:>8} {:>8} {:>5}",
        "policy",
        "case",
        "refused",
        "worst",
        "greedy",
        "wait",
        "waited",
        "msg/s",
        "greedy",
        "msg/req",
        "over"
    );
    for spread in [Spread::Even, Spread::Uneven, Spread::Shifting] {
        print(
            "equal fixed split",
            &format!("{spread:?}"),
            &measure_split(spread),
        );
    }
    print("first come first served", "Even", &measure_common());
    for (name, policy) in policies() {
        for spread in [Spread::Even, Spread::Uneven, Spread::Shifting] {
            let outcome = measure(&policy, spread, Failure::None);
            print(&name, &format!("{spread:?}"), &outcome);
        }
        for failure in [
            Failure::OwnerLost,
            Failure::OwnerRemoved,
            Failure::OwnerReplaced,
        ] {
            let outcome = measure(&policy, Spread::Uneven, failure);
            print(&name, &format!("{failure:?}"), &outcome);
        }
    }
}
