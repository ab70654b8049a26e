//! Tests of shards: waiting period, returned tokens and hand-over.

use std::sync::Arc;

use coriander_core::{
    AccountLimits, AccountName, ConfigDocument, ConfigVersion, FleetMember, InstanceId,
    MonotonicTime,
};
use coriander_limits::{
    AccountPlan, FleetVersion, GrantNumber, HandOver, HandOverReply, LimitPolicy, OwnerTable,
    PlanTable, ReturnedTokens, TokenRequest,
};

fn id(text: &str) -> InstanceId {
    text.parse().expect("valid name")
}

fn account() -> AccountName {
    "harbour".parse().expect("valid name")
}

fn millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn plans(version: u64, owners: [&str; 3]) -> Arc<PlanTable> {
    let mut document = ConfigDocument {
        version: ConfigVersion::new(version),
        ..ConfigDocument::default()
    };
    let limits = AccountLimits {
        rate: 300,
        burst: 600,
    };
    document.accounts.insert(account(), limits);
    for owner in owners {
        let member = FleetMember {
            zone: "berrechid".parse().expect("valid name"),
            peer_address: ([127, 0, 0, 1], 7000).into(),
            draining: false,
        };
        document.fleet.insert(id(owner), member);
    }
    let policy = LimitPolicy::default()
        .with_reserve_percent(0, 0)
        .with_max_grant_percent(100);
    let ids = owners.map(id);
    Arc::new(PlanTable::new(
        &document,
        FleetVersion::new(version),
        &policy,
        |_| ids.iter().cloned().collect(),
    ))
}

fn request(amount: u32, returned: &[ReturnedTokens]) -> TokenRequest {
    TokenRequest {
        account: account(),
        fleet_version: FleetVersion::new(1),
        number: 1,
        amount,
        returned: returned.into(),
    }
}

fn owner(name: &str) -> OwnerTable {
    let mut table = OwnerTable::new(id(name));
    table.set_fresh_until(millis(1_000_000));
    table
}

#[test]
fn handle_request_counts_each_return_once() {
    // Guards against a repeated or enlarged return that creates tokens.
    let mut table = owner("a");
    table.apply(&plans(1, ["a", "b", "c"]), millis(0));
    table.record_acceptance(ConfigVersion::new(1), millis(0));
    let now = millis(60_000);
    let all = table.handle_request(&request(1_000, &[]), now);
    let returned = ReturnedTokens {
        grant: all.grant,
        amount: 10_000,
    };
    let again = table.handle_request(&request(1_000, &[returned, returned]), now);
    assert_eq!(again.amount, all.amount);
    let unknown = ReturnedTokens {
        grant: GrantNumber(77),
        amount: 5,
    };
    assert_eq!(
        table
            .handle_request(&request(1_000, &[returned, unknown]), now)
            .amount,
        0
    );
}

#[test]
fn handle_request_refuses_without_freshness() {
    // Guards against an owner that resumes after a pause and grants tokens with an old
    // configuration.
    let mut table = owner("a");
    table.apply(&plans(1, ["a", "b", "c"]), millis(0));
    table.record_acceptance(ConfigVersion::new(1), millis(0));
    table.set_fresh_until(millis(5_000));
    assert!(table.handle_request(&request(1, &[]), millis(4_999)).amount > 0);
    assert_eq!(
        table.handle_request(&request(1, &[]), millis(5_000)).amount,
        0
    );
}

#[test]
fn apply_uses_earlier_acceptance() {
    // Guards against a shard that never leaves its waiting period because its instance applied
    // the version after the majority.
    let mut table = owner("a");
    table.record_acceptance(ConfigVersion::new(1), millis(0));
    table.apply(&plans(1, ["a", "b", "c"]), millis(100));
    assert_eq!(
        table.handle_request(&request(1, &[]), millis(1_900)).amount,
        0
    );
    assert_eq!(
        table.handle_request(&request(1, &[]), millis(2_100)).amount,
        1
    );
}

#[test]
fn apply_keeps_shard_of_unchanged_owner() {
    // Guards against a fleet change that interrupts accounts whose owners stay the same.
    let mut table = owner("a");
    table.apply(&plans(1, ["a", "b", "c"]), millis(0));
    table.record_acceptance(ConfigVersion::new(1), millis(0));
    assert!(
        table
            .apply(&plans(2, ["a", "b", "d"]), millis(10_000))
            .is_empty()
    );
    assert_eq!(
        table
            .handle_request(&request(10, &[]), millis(10_000))
            .amount,
        10
    );
    // After a gap another instance may have owned the shard.
    table.apply(&plans(4, ["a", "b", "c"]), millis(11_000));
    assert_eq!(
        table
            .handle_request(&request(10, &[]), millis(11_000))
            .amount,
        0
    );
}

fn hand_over_pair() -> (OwnerTable, HandOver) {
    let mut old = owner("c");
    old.apply(&plans(1, ["a", "b", "c"]), millis(0));
    old.record_acceptance(ConfigVersion::new(1), millis(0));
    let mut hand_overs = old.apply(&plans(2, ["a", "b", "d"]), millis(10_000));
    assert_eq!(
        old.handle_request(&request(1, &[]), millis(10_000)).amount,
        0,
        "handed over"
    );
    let (next, hand_over) = hand_overs.pop().expect("one hand-over");
    assert_eq!(next, id("d"));
    let mut new = owner("d");
    new.apply(&plans(1, ["a", "b", "c"]), millis(0));
    (new, hand_over)
}

#[test]
fn hand_over_continues_at_once() {
    let (mut new, hand_over) = hand_over_pair();
    let now = millis(20_000);
    assert_eq!(
        new.hand_over(&id("c"), &hand_over, now),
        HandOverReply::NotYet
    );
    new.apply(&plans(2, ["a", "b", "d"]), now);
    // Guards against a hand-over by an instance that never owned the shard.
    assert_eq!(
        new.hand_over(&id("b"), &hand_over, now),
        HandOverReply::Ignored
    );
    assert_eq!(new.handle_request(&request(5, &[]), now).amount, 0);
    assert_eq!(
        new.hand_over(&id("c"), &hand_over, now),
        HandOverReply::Done
    );
    assert_eq!(new.handle_request(&request(5, &[]), now).amount, 5);
    assert_eq!(
        new.hand_over(&id("c"), &hand_over, now),
        HandOverReply::Ignored
    );
}

#[test]
fn hand_over_needs_active_shard() {
    // Guards against a shard in its waiting period that activates the next owner while the
    // previous owner still grants tokens.
    let mut old = owner("c");
    old.apply(&plans(1, ["a", "b", "c"]), millis(0));
    assert!(
        old.apply(&plans(2, ["a", "b", "d"]), millis(100))
            .is_empty()
    );
}

#[test]
fn plan_shares_stay_within_limits() {
    // Guards against rounding errors and a capacity that ignores outstanding grants.
    let owners = ["a", "b", "c"].map(id);
    for rate in [0, 1, 7, 100, 999, 50_000] {
        for burst in [0, 1, 2, 5, 40, 1_000, 100_000] {
            for fleet in [1, 3, 6, 2_100] {
                let limits = AccountLimits { rate, burst };
                let plan = AccountPlan::new(limits, fleet, &owners, &LimitPolicy::default());
                let count = plan.owners.len() as u64;
                let rates = plan.shard.rate * count + plan.reserve.rate * fleet as u64;
                assert!(rates <= u64::from(rate) * 1_000_000);
                let outstanding = plan.shard.rate as f64 * plan.expiry.as_secs_f64();
                let shards = (plan.shard.capacity as f64 + outstanding) * count as f64;
                let reserves = (plan.reserve.capacity * fleet as u64) as f64;
                let max_burst = f64::from(burst) * 1e6 + 1.0;
                // A shard without capacity grants no tokens at any rate.
                let shards = if plan.shard.capacity == 0 {
                    0.0
                } else {
                    shards
                };
                assert!(
                    shards + reserves <= max_burst,
                    "{limits:?} {fleet} {plan:?}"
                );
            }
        }
    }
}
