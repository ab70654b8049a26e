//! Tests that shares and loans never exceed rate and burst in total, even if messages are lost.

use std::sync::Arc;

use coriander_core::MonotonicTime;
use coriander_limits::{FleetInstance, LoanOffer, RateShares};
use proptest::prelude::*;

const ACCOUNT: &str = "harbour";

fn ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn names(size: usize) -> Vec<FleetInstance> {
    let instance = |index| FleetInstance::new(format!("i-{index}"), "zone");
    (0..size).map(instance).collect()
}

fn fleet(size: usize, rate: f64, burst: f64, now: MonotonicTime) -> Vec<RateShares> {
    let account: Arc<str> = ACCOUNT.into();
    let names = names(size);
    let make = |index: usize| {
        let mut shares = RateShares::new(names[index].id.clone());
        shares.set_fleet(&names, now);
        shares.set_limits(&account, rate, burst, now);
        shares
    };
    (0..size).map(make).collect()
}

/// Spends at instance 0 only, borrowing from the others; every `loss_interval`-th loan is lost.
fn spend_at_first(shares: &mut [RateShares], from: u64, until: u64, loss_interval: usize) -> u32 {
    let mut spent = 0;
    let mut loans = 0;
    for time in from..until {
        let now = ms(time);
        shares[0].record_demand(ACCOUNT, now);
        while shares[0].spend(ACCOUNT, now).is_ok() {
            spent += 1;
        }
        let wanted = shares[0].tokens_to_borrow(ACCOUNT, now).max(1);
        for lender in 1..shares.len() {
            let Some(LoanOffer::Tokens(amount)) = shares[lender].lend(ACCOUNT, wanted, now) else {
                continue;
            };
            loans += 1;
            if loss_interval == 0 || loans % loss_interval != 0 {
                shares[0].receive_loan(ACCOUNT, amount, now, now);
            }
        }
    }
    spent
}

#[test]
fn spend_reaches_whole_rate_at_one_instance() {
    let mut shares = fleet(6, 120.0, 120.0, ms(0));
    spend_at_first(&mut shares, 10_000, 12_000, 0);
    let spent = spend_at_first(&mut shares, 12_000, 17_000, 0);
    assert!(spent >= 570, "at least 95 % of 120/s for 5 s, was {spent}");
}

#[test]
fn spend_stays_within_rate_and_burst_under_overload() {
    let mut shares = fleet(6, 120.0, 120.0, ms(0));
    let spent = spend_at_first(&mut shares, 20_000, 25_000, 0);
    assert!(f64::from(spent) <= 120.0 * 5.0 + 120.0 + 1.0, "was {spent}");
}

#[test]
fn receive_loan_ignores_expired_loans() {
    let mut shares = fleet(2, 100.0, 16.0, ms(0));
    shares[0].receive_loan(ACCOUNT, 5, ms(1_000), ms(1_400));
    let mut spent = 0;
    while shares[0].spend(ACCOUNT, ms(1_400)).is_ok() {
        spent += 1;
    }
    assert_eq!(spent, 8, "only the own share of the burst");
}

#[test]
fn set_fleet_keeps_recently_listed_instances() {
    // The entries of all instances can expire in an outage of the store. If each instance then
    // used the whole rate, the account would get a multiple of it.
    let all = names(6);
    let mut shares = fleet(6, 600.0, 600.0, ms(0));
    shares[0].set_fleet(&all, ms(10_000));
    // The store was unavailable for 7 s, and one instance has registered again so far.
    shares[0].set_fleet(&all[..1], ms(17_000));
    shares[0].set_fleet(&all[..2], ms(18_000));
    assert_eq!(shares[0].fleet().len(), 6);
}

#[test]
fn set_fleet_removes_instances_after_timeout() {
    let all = names(6);
    let mut shares = fleet(6, 600.0, 600.0, ms(0));
    for second in 10..14 {
        shares[0].set_fleet(&all[..5], ms(second * 1_000));
    }
    assert_eq!(shares[0].fleet().len(), 5);
}

#[test]
fn spend_reaches_whole_rate_of_small_account() {
    // Equal shares of 71 instances would be less than one operation each.
    let mut shares = fleet(71, 20.0, 20.0, ms(0));
    assert_eq!(shares[70].lenders(ACCOUNT).count(), 6);
    spend_at_first(&mut shares, 10_000, 12_000, 0);
    let spent = spend_at_first(&mut shares, 12_000, 17_000, 0);
    assert!(spent >= 95, "at least 95 % of 20/s for 5 s, was {spent}");
}

#[test]
fn set_limits_caps_available_tokens() {
    let mut shares = fleet(1, 100.0, 100.0, ms(0));
    let account: Arc<str> = ACCOUNT.into();
    shares[0].set_limits(&account, 10.0, 5.0, ms(10_000));
    let mut spent = 0;
    while shares[0].spend(ACCOUNT, ms(10_000)).is_ok() {
        spent += 1;
    }
    assert_eq!(spent, 5);
}

proptest! {
    #[test]
    fn spend_never_exceeds_the_limit_with_lost_loans(
        size in 1usize..9,
        rate in 20u32..400,
        burst in 2u32..400,
        loss_interval in 0usize..5,
    ) {
        let (rate, burst) = (f64::from(rate), f64::from(burst));
        let mut shares = fleet(size, rate, burst, ms(0));
        let spent = spend_at_first(&mut shares, 30_000, 32_000, loss_interval);
        prop_assert!(f64::from(spent) <= rate * 2.0 + burst + 1.0, "spent {}", spent);
    }
}

#[test]
fn set_limits_unchanged_keeps_tokens_at_low_cost() {
    // Guards against ranking the owners of all accounts again for each configuration version,
    // which was costly with 300 instances and 330 accounts.
    let now = MonotonicTime::from_millis(10_000);
    let mut shares = RateShares::new("instance-0".into());
    let instance = |n| FleetInstance::new(format!("instance-{n}"), "zone");
    let fleet: Vec<_> = (0..300).map(instance).collect();
    shares.set_fleet(&fleet, now);
    let accounts: Vec<Arc<str>> = (0..330).map(|n| format!("account-{n}").into()).collect();
    let set_all = |shares: &mut RateShares| {
        let started = std::time::Instant::now();
        for account in &accounts {
            shares.set_limits(account, 30_000.0, 2_400.0, now);
        }
        started.elapsed()
    };
    let first = set_all(&mut shares);
    let admitted = (0..10)
        .filter(|_| shares.spend("account-0", now).is_ok())
        .count();
    // The minimum of several runs, because a busy machine can interrupt any of them.
    let again = (0..10).map(|_| set_all(&mut shares)).min();
    let again = again.expect("ten times");
    let later = (0..10)
        .filter(|_| shares.spend("account-0", now).is_ok())
        .count();
    assert_eq!((admitted, later), (2, 0));
    assert!(
        again * 5 < first,
        "{first:?} at first, {again:?} without a change"
    );
}

fn lone_owner(rate: f64, burst: f64) -> RateShares {
    fleet(1, rate, burst, ms(0)).remove(0)
}

fn refused(offer: Option<LoanOffer>) -> std::time::Duration {
    match offer {
        Some(LoanOffer::RetryAfter(delay)) => delay,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn lend_refuses_with_a_later_time_for_each_caller() {
    // Callers that were all told the same time came back together, and all but one were refused
    // again.
    let mut owner = lone_owner(10.0, 10.0);
    let now = ms(10_000);
    while owner.spend(ACCOUNT, now).is_ok() {}
    let delays: Vec<_> = (0..3)
        .map(|_| refused(owner.lend(ACCOUNT, 1, now)).as_millis())
        .collect();
    assert_eq!(delays, [100, 200, 300]);
    for delay in [101, 201, 301] {
        let offer = owner.lend(ACCOUNT, 1, ms(10_000 + delay));
        assert_eq!(offer, Some(LoanOffer::Tokens(1)), "after {delay} ms");
    }
}

#[test]
fn lend_without_limits_gives_no_answer() {
    // An owner that had just started refused a caller within its rate for 10 s.
    let mut starting = RateShares::new("i-0".into());
    starting.set_fleet(&names(2), ms(10_000));
    let answers =
        [None, Some(2)].map(|asked| starting.lend_to_one_of(ACCOUNT, 1, asked, ms(10_000)));
    assert_eq!(answers, [None, None]);
}

#[test]
fn exhausted_retry_after_ends_when_the_rate_has_yielded_a_token() {
    let mut owner = lone_owner(20.0, 20.0);
    let delay = std::time::Duration::from_millis(900);
    assert!(owner.record_refusal(ACCOUNT, 0, delay, ms(10_000)));
    let answers = [10_049, 10_051].map(|at| owner.exhausted_retry_after(ACCOUNT, ms(at)));
    assert_eq!(answers, [Some(delay), None]);
}

#[test]
fn record_refusal_of_few_owners_leaves_the_others_to_ask() {
    // A saturated account was refused without asking while four of six owners had tokens.
    let mut shares = fleet(40, 60.0, 60.0, ms(0));
    let borrower = shares.iter_mut().find(|shares| !shares.is_owner(ACCOUNT));
    let borrower = borrower.expect("six of 40 are owners");
    let delay = std::time::Duration::from_millis(900);
    let answers = [2, 6].map(|asked| {
        let exhausted = borrower.record_refusal(ACCOUNT, asked, delay, ms(10_000));
        (
            exhausted,
            borrower.exhausted_retry_after(ACCOUNT, ms(10_001)),
        )
    });
    assert_eq!(answers, [(false, None), (true, Some(delay))]);
}

#[test]
fn tokens_to_borrow_is_zero_with_little_demand() {
    // Tokens borrowed in advance expired unspent at instances that get one request in seconds, so
    // that an account was refused at a fraction of its rate.
    let mut shares = fleet(60, 20.0, 20.0, ms(0));
    shares[0].record_demand(ACCOUNT, ms(10_000));
    assert_eq!(shares[0].tokens_to_borrow(ACCOUNT, ms(10_000)), 0);
}

#[test]
fn lend_promises_a_whole_token_to_a_caller_who_asks_few_owners() {
    // Callers who asked two of six owners were all told the time of the next token.
    let mut shares = fleet(6, 60.0, 60.0, ms(0));
    let now = ms(10_000);
    let owner = &mut shares[0];
    while owner.spend(ACCOUNT, now).is_ok() {}
    let delays: Vec<_> = (0..3)
        .map(|_| refused(owner.lend_to_one_of(ACCOUNT, 1, Some(2), now)).as_millis())
        .collect();
    assert_eq!(delays, [100, 150, 200]);
}

#[test]
fn lenders_in_turn_are_few_after_all_have_refused() {
    // An account far above its rate cost two messages per owner for each refused operation.
    let mut shares = RateShares::new("i-7".into());
    shares.set_fleet(&names(40), ms(0));
    shares.set_limits(&ACCOUNT.into(), 60.0, 60.0, ms(0));
    let asked = |shares: &RateShares, at| {
        let lenders = shares.lenders_in_turn(ACCOUNT, 1, |_| false, ms(at));
        lenders.len()
    };
    assert_eq!(asked(&shares, 10_000), 6);
    shares.record_saturated(ACCOUNT, ms(10_000));
    assert_eq!(asked(&shares, 10_100), 2);
    assert_eq!(
        asked(&shares, 10_250),
        6,
        "all are asked again after a while"
    );
}

fn zoned(size: usize, zones: usize) -> Vec<FleetInstance> {
    let instance = |n| FleetInstance::new(format!("i-{n}"), format!("zone-{}", n % zones));
    (0..size).map(instance).collect()
}

#[test]
fn lenders_in_turn_are_those_of_the_own_zone_first() {
    // Bytes between availability zones are dear, and most loans came from another zone.
    let mut shares = RateShares::new("i-7".into()).with_own_zone("zone-1".into());
    shares.set_fleet(&zoned(90, 3), ms(0));
    shares.set_limits(&ACCOUNT.into(), 60.0, 60.0, ms(0));
    let zone = |name: &str| name[2..].parse::<usize>().expect("a number") % 3;
    let asked = |shares: &RateShares, turn, silent: &str| {
        let lenders = shares.lenders_in_turn(ACCOUNT, turn, |name| name == silent, ms(10_000));
        lenders.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let [even, odd] = [0, 1].map(|turn| asked(&shares, turn, ""));
    let zones: Vec<_> = even.iter().map(|name| zone(name)).collect();
    assert_eq!(zones[..2], [1, 1]);
    assert!(!zones[2..].contains(&1) && zones.len() == 6, "{zones:?}");
    assert_ne!(even[0], odd[0], "the owners of the zone take turns");
    assert_eq!(
        asked(&shares, 0, &even[0])[5],
        even[0],
        "a silent owner comes last"
    );
    // All tokens remain within reach of a saturated account whose callers are in one zone.
    shares.record_saturated(ACCOUNT, ms(10_000));
    let few = asked(&shares, 0, "");
    assert_eq!(
        few.iter().map(|name| zone(name) == 1).collect::<Vec<_>>(),
        [true, false]
    );
}

#[test]
fn loan_size_follows_the_demand_of_the_instance() {
    // Tokens that are lent and not spent in time are lost to the account.
    let mut shares = RateShares::new("i-7".into()).with_own_zone("zone-1".into());
    shares.set_fleet(&zoned(90, 3), ms(0));
    shares.set_limits(&ACCOUNT.into(), 200.0, 200.0, ms(0));
    let sizes = [2_000, 200, 100].map(|gap| {
        for operation in 0..40 {
            shares.record_demand(ACCOUNT, ms(10_000 + operation * gap));
        }
        shares.loan_size(ACCOUNT, ms(10_000 + 39 * gap))
    });
    assert_eq!(sizes, [1, 2, 3]);
}

/// Creates an instance whose process started at 10 s and got its first limits after `idle` ms.
fn started_after(idle: u64) -> RateShares {
    let mut shares = RateShares::new("i-0".into()).with_idle_since(ms(10_000));
    shares.set_fleet(&names(1), ms(10_000 + idle));
    shares.set_limits(&ACCOUNT.into(), 100.0, 100.0, ms(10_000 + idle));
    shares
}

fn spend_all(shares: &mut RateShares, at: u64) -> u32 {
    let mut spent = 0;
    while shares.spend(ACCOUNT, ms(at)).is_ok() {
        spent += 1;
    }
    spent
}

#[test]
fn resolve_idle_time_adds_what_nobody_can_have_spent() {
    // After a loss of all instances, requests within the rate were refused by processes that had
    // waited for their configuration for seconds.
    let spent = [0, 500, 5_000].map(|idle| {
        let mut shares = started_after(idle);
        let before = spend_all(&mut shares, 10_000 + idle);
        shares.resolve_idle_time(true, ms(10_000 + idle));
        (before, spend_all(&mut shares, 10_000 + idle))
    });
    // At most half of the full share is added.
    assert_eq!(spent, [(30, 0), (30, 20), (30, 50)]);
    let mut unlisted = started_after(5_000);
    unlisted.resolve_idle_time(false, ms(15_000));
    assert_eq!(spend_all(&mut unlisted, 15_000), 30, "without a proof");
}

#[test]
fn resolve_idle_time_counts_for_the_first_limits_only() {
    // An account that is removed and added again may have spent its burst in between.
    let mut shares = started_after(5_000);
    spend_all(&mut shares, 15_000);
    shares.retain_accounts(|_| false);
    shares.set_limits(&ACCOUNT.into(), 100.0, 100.0, ms(15_100));
    shares.resolve_idle_time(true, ms(15_100));
    assert!(spend_all(&mut shares, 15_100) <= 30);
}

proptest! {
    #[test]
    fn resolve_idle_time_never_exceeds_one_bucket(
        idle in 0..4_000_u64,
        demands in prop::collection::vec((0..400_u64, 0..40_u32), 1..20),
        resolved in 0..20_usize,
    ) {
        // A late proof must not add what the full share would have lost meanwhile.
        let mut shares = started_after(idle);
        let start = 10_000 + idle;
        // The bucket of the instance, which was empty when its former process ended, or has the
        // fraction of the burst with which every process may start.
        let mut bucket = (idle as f64 / 10.0).clamp(30.0, 100.0);
        let mut now = start;
        for (index, (gap, wanted)) in demands.into_iter().enumerate() {
            now += gap;
            bucket = (bucket + gap as f64 / 10.0).min(100.0);
            if index == resolved {
                shares.resolve_idle_time(true, ms(now));
            }
            for _ in 0..wanted {
                if shares.spend(ACCOUNT, ms(now)).is_ok() {
                    bucket -= 1.0;
                }
            }
            prop_assert!(bucket > -0.001, "{} at {} ms", bucket, now - start);
        }
    }
}

proptest! {
    #[test]
    fn owners_after_changes_are_those_of_a_new_process(
        lists in prop::collection::vec(prop::collection::vec(any::<bool>(), 24), 1..12),
        burst in 1.0..90.0_f64,
        zones in 1..5_usize,
    ) {
        // Instances that choose different owners lend from shares that nobody else counts.
        let account: Arc<str> = ACCOUNT.into();
        let names = zoned(24, zones);
        let mut shares = RateShares::new("observer".into()).with_own_zone("zone-0".into());
        shares.set_limits(&account, 900.0, burst, ms(1_000));
        for (index, listed) in lists.iter().enumerate() {
            let now = ms(2_000 + 900 * index as u64);
            let listed = names.iter().zip(listed).filter(|(_, listed)| **listed);
            let list: Vec<_> = listed.map(|(name, _)| name.clone()).collect();
            shares.set_fleet(&list, now);
            let mut fresh = RateShares::new("observer".into()).with_own_zone("zone-0".into());
            fresh.set_fleet(shares.fleet(), now);
            fresh.set_limits(&account, 900.0, burst, now);
            let owners: Vec<_> = shares.lenders(ACCOUNT).collect();
            prop_assert_eq!(owners, fresh.lenders(ACCOUNT).collect::<Vec<_>>());
        }
    }
}
