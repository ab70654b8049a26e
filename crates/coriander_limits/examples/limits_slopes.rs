//! Measures CPU time, messages, bytes and memory of one node against fleet size and accounts.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coriander_core::{
    AccountLimits, AccountName, ConfigDocument, ConfigVersion, FleetMember, InstanceId,
    MonotonicTime,
};
use coriander_limits::{
    FleetVersion, GrantClient, GrantEvent, LimitPolicy, OwnerTable, PlanTable, TokenGrant,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests per second of one node (section 1.4 of the design).
const REQUESTS: u64 = 1_810;
/// Requests per second of the whole fleet.
const FLEET_REQUESTS: usize = 3_800_000;
const ROUND_TRIP_MS: u64 = 3;
/// Version byte, length and MAC of a message, and TCP/IP headers.
const FRAME_BYTES: usize = 77;

type MeasureError = Box<dyn std::error::Error>;

fn instance(number: usize) -> Result<InstanceId, MeasureError> {
    Ok(format!("i-{number:04}").parse()?)
}

fn document(instances: usize, accounts: usize) -> Result<ConfigDocument, MeasureError> {
    let mut document = ConfigDocument {
        version: ConfigVersion::new(1),
        ..ConfigDocument::default()
    };
    for number in 0..instances {
        let member = FleetMember {
            zone: format!("zone-{}", number % 10).parse()?,
            peer_address: ([127, 0, 0, 1], 7000).into(),
            draining: false,
        };
        document.fleet.insert(instance(number)?, member);
    }
    let rate = u32::try_from(2 * FLEET_REQUESTS / accounts)?;
    for number in 0..accounts {
        let account = format!("account-{number:04}").parse()?;
        document
            .accounts
            .insert(account, AccountLimits { rate, burst: rate });
    }
    Ok(document)
}

fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4
}

#[derive(Debug, Default)]
struct Load {
    cpu_percent: f64,
    messages: f64,
    kilobytes: f64,
}

/// Runs one second of requests for `active` accounts against an owner with enough tokens.
fn measure_load(plans: &Arc<PlanTable>, active: &[AccountName]) -> Result<Load, MeasureError> {
    let own = instance(1)?;
    let owner_id = instance(0)?;
    let mut owner = OwnerTable::new(owner_id.clone());
    let mut client = GrantClient::new(own);
    let start = MonotonicTime::ZERO;
    owner.apply(plans, start);
    owner.record_acceptance(plans.config_version, start);
    owner.set_fresh_until(MonotonicTime::from_millis(1_000_000));
    client.apply(plans, start);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut replies: BTreeMap<u64, Vec<TokenGrant>> = BTreeMap::new();
    let (mut messages, mut bytes) = (0u64, 0);
    let mut spent = Duration::ZERO;
    for millis in 8_000..10_000 {
        let now = MonotonicTime::from_millis(millis);
        // The first second only warms up the rate estimates.
        let measured = millis >= 9_000;
        let mut events = Vec::new();
        let begin = Instant::now();
        for reply in replies.remove(&millis).unwrap_or_default() {
            client.handle_grant(&owner_id, &reply, now);
        }
        for _ in 0..(REQUESTS * (millis + 1) / 1_000 - REQUESTS * millis / 1_000) {
            let account = &active[rng.random_range(0..active.len())];
            let deadline = now + Duration::from_millis(200);
            black_box(client.admit(account, millis, deadline, now));
        }
        client.poll(now);
        events.extend(client.take_events());
        for event in events {
            let GrantEvent::Send { message, .. } = event else {
                continue;
            };
            // On average, a node serves as many token requests as it sends.
            let reply = owner.handle_request(&message, now);
            if measured {
                messages += 1;
                bytes += FRAME_BYTES + postcard::to_stdvec(&message)?.len();
            }
            if message.amount > 0 {
                if measured {
                    messages += 1;
                    bytes += FRAME_BYTES + postcard::to_stdvec(&reply)?.len();
                }
                replies
                    .entry(millis + ROUND_TRIP_MS)
                    .or_default()
                    .push(reply);
            }
        }
        if measured {
            spent += begin.elapsed();
        }
    }
    Ok(Load {
        cpu_percent: spent.as_secs_f64() * 100.0,
        messages: messages as f64,
        kilobytes: bytes as f64 / 1e3,
    })
}

/// Slope of ln y over ln x by least squares: 0 is constant, 1 is proportional.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<_> = points
        .iter()
        .map(|(x, y)| (x.ln(), y.max(1e-6).ln()))
        .collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = logs.iter().map(|point| point.1).sum::<f64>() / count;
    let products = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = logs.iter().map(|(x, _)| (x - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}

fn main() -> Result<(), MeasureError> {
    println!("one node, {REQUESTS} requests/s; plans and apply per configuration change");
    println!(
        "{:>9} {:>8} {:>9} {:>9} {:>9} | {:>8} {:>8} {:>8} | {:>8} {:>8} {:>8}",
        "instances",
        "accounts",
        "plans ms",
        "apply ms",
        "memory KB",
        "ingress",
        "msg/s",
        "KB/s",
        "gateway",
        "msg/s",
        "KB/s"
    );
    let mut by_instances = vec![Vec::new(); 4];
    let mut by_accounts = vec![Vec::new(); 4];
    for instances in [50, 200, 800, 2_100] {
        for accounts in [100, 400, 1_000, 4_000] {
            let document = document(instances, accounts)?;
            let before = resident_kb();
            let owner = instance(0)?;
            let begin = Instant::now();
            let policy = LimitPolicy::default();
            let version = FleetVersion::new(1);
            let make = || {
                let owners = |_: &AccountName| [owner.clone()].into_iter().collect();
                Arc::new(PlanTable::new(&document, version, &policy, owners))
            };
            let plans = make();
            let plan_time = begin.elapsed().as_secs_f64() * 1e3;
            let names: Vec<AccountName> = document.accounts.keys().cloned().collect();
            let mut client = GrantClient::new(instance(1)?);
            client.apply(&plans, MonotonicTime::ZERO);
            for name in &names {
                let now = MonotonicTime::from_millis(5);
                black_box(client.admit(name, 1, MonotonicTime::from_millis(9), now));
            }
            let memory = resident_kb().saturating_sub(before);
            let next = make();
            let begin = Instant::now();
            client.apply(&next, MonotonicTime::from_millis(10));
            let apply_time = begin.elapsed().as_secs_f64() * 1e3;

            let ingress = measure_load(&plans, &names)?;
            // With admission at the gateway, a node has only the accounts of its databases.
            let few = (2 * accounts / instances).clamp(1, accounts);
            let gateway = measure_load(&plans, &names[..few])?;
            println!(
                "{instances:>9} {accounts:>8} {plan_time:>9.2} {apply_time:>9.2} {memory:>9} | \
                 {:>7.2}% {:>8.0} {:>8.1} | {:>7.2}% {:>8.0} {:>8.1}",
                ingress.cpu_percent,
                ingress.messages,
                ingress.kilobytes,
                gateway.cpu_percent,
                gateway.messages,
                gateway.kilobytes,
            );
            let values = [plan_time, apply_time, ingress.kilobytes, gateway.kilobytes];
            for (index, value) in values.into_iter().enumerate() {
                if accounts == 4_000 {
                    by_instances[index].push((instances as f64, value));
                }
                if instances == 2_100 {
                    by_accounts[index].push((accounts as f64, value));
                }
            }
        }
    }
    println!("exponent of growth     plans  apply  ingress KB/s  gateway KB/s");
    for (name, points) in [("instances", by_instances), ("accounts", by_accounts)] {
        let fits: Vec<f64> = points.iter().map(|points| exponent(points)).collect();
        println!(
            "{name:<22} {:>5.2} {:>6.2} {:>13.2} {:>13.2}",
            fits[0], fits[1], fits[2], fits[3]
        );
    }
    Ok(())
}
