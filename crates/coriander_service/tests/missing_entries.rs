//! Members whose entries are missing from the store: how long they stay members, and what may be
//! concluded about the primary and the replicas of the group.

mod support;

use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service::{BootClock, ServiceSettings, SessionService};
use coriander_service_api::{DutyLease, MemberEntry, MemberRole, ReadFreshness};

use support::fake_promotion_api::{FakePromotionApi, start_promotions, wait_until};
use support::{FakeGroup, GROUP, config, member_entry, snapshot, start_with};

/// Time between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Duration of an outage of the store that removes entries.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Age of the first read of a test, so that later reads lie in the past as well.
const START_AGE: Duration = Duration::from_secs(30);

/// An instance that holds the promotion duty, and its reads of the store.
struct Promoter {
    service: Rc<SessionService>,
    /// Send time of the next read.
    read_at: MonotonicTime,
    sync_replicas: u32,
}

impl Promoter {
    async fn start(group: &Rc<FakeGroup>, sync_replicas: u32) -> Self {
        let address = ([127, 0, 0, 1], 0).into();
        let settings = ServiceSettings::new("instance-1", "berrechid", address);
        Self {
            service: start_with(group, settings.with_platform_fences(true)).await,
            read_at: BootClock.now().saturating_sub(START_AGE),
            sync_replicas,
        }
    }

    /// Applies a read of the store that lists these members.
    fn read(&mut self, entries: &[MemberEntry]) {
        let mut config = config(1, ReadFreshness::Newest);
        for limits in config.groups.values_mut() {
            limits.sync_replicas = self.sync_replicas;
        }
        let mut snapshot = snapshot(config, entries.to_vec());
        snapshot.duty_lease = Some(DutyLease {
            holder: self.service.settings().process_id.clone(),
            address: None,
            token: 41,
        });
        self.service.apply_snapshot(&snapshot, self.read_at);
        self.service.promotion_duty.record_renewal(BootClock.now());
        self.read_at = self.read_at + READ_INTERVAL;
    }

    /// Applies reads for some time.
    fn read_for(&mut self, time: Duration, entries: &[MemberEntry]) {
        let end = self.read_at + time;
        while self.read_at < end {
            self.read(entries);
        }
    }

    /// Lets time pass without a read, also on the clock of the process, as in an outage of the store.
    async fn pass_outage(&mut self) {
        self.read_at = self.read_at + OUTAGE;
        tokio::time::sleep(OUTAGE).await;
    }

    fn members(&self) -> Vec<String> {
        let members = self.service.group(&GROUP.into()).members();
        let mut members: Vec<_> = members.iter().map(|member| member.id.to_string()).collect();
        members.sort();
        members
    }
}

fn replica(name: &str) -> MemberEntry {
    member_entry(name, MemberRole::Replica)
}

#[ntex::test]
async fn members_are_kept_when_an_outage_of_the_store_has_removed_their_entries() {
    // Guards against members that are removed with the first read after an outage: their entries
    // are back within two seconds.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let mut promoter = Promoter::start(&group, 1).await;
    promoter.read_for(Duration::from_secs(4), &group.entries());
    promoter.pass_outage().await;
    promoter.read_for(Duration::from_millis(2_000), &[replica("b")]);
    assert_eq!(promoter.members(), ["a", "b", "c"]);
    let primary = promoter.service.groups()[0].primary(BootClock.now());
    assert_eq!(
        primary.map(|primary| primary.id.to_string()),
        Some("a".into())
    );
}

#[ntex::test]
async fn member_is_removed_when_reads_without_a_gap_show_no_entry() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let mut promoter = Promoter::start(&group, 0).await;
    promoter.read_for(Duration::from_secs(4), &group.entries());
    promoter.read_for(
        Duration::from_secs(6),
        &[member_entry("a", MemberRole::Primary)],
    );
    assert_eq!(promoter.members(), ["a"]);
}

#[ntex::test]
async fn absence_of_an_entry_counts_anew_after_an_outage_of_the_store() {
    // Guards against an absence that began before an outage and ends with the return of the entry
    // after it.
    let group = FakeGroup::new(&["a", "b"]);
    let mut promoter = Promoter::start(&group, 0).await;
    promoter.read_for(Duration::from_secs(4), &group.entries());
    let only_primary = [member_entry("a", MemberRole::Primary)];
    promoter.read_for(Duration::from_millis(1_800), &only_primary);
    promoter.pass_outage().await;
    promoter.read_for(Duration::from_millis(1_800), &only_primary);
    assert_eq!(promoter.members(), ["a", "b"]);
}

#[ntex::test]
async fn lagging_replica_is_not_promoted_beside_a_running_primary_after_an_outage_of_the_store() {
    // Guards against the loss of acknowledged commits: the entry of the replica that lags is back
    // first, and those of the primary and of the replica with all commits follow.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let mut promoter = Promoter::start(&group, 1).await;
    let api = FakePromotionApi::new(&group);
    promoter.read_for(Duration::from_secs(4), &group.entries());
    start_promotions(&promoter.service, &group, &api);
    group.member("b").applied_index.set(7);
    promoter.pass_outage().await;
    for _ in 0..12 {
        promoter.read(&[replica("b")]);
        promoter.read_at = promoter.read_at.saturating_sub(READ_INTERVAL * 8 / 9);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(api.calls.borrow().is_empty(), "{:?}", api.calls.borrow());
}

#[ntex::test]
async fn new_process_promotes_no_member_until_lost_entries_are_back() {
    // Guards against a process that starts after an outage of the store and knows none of the
    // members whose entries are not back yet.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let mut promoter = Promoter::start(&group, 1).await;
    let api = FakePromotionApi::new(&group);
    start_promotions(&promoter.service, &group, &api);
    group.member("b").applied_index.set(7);
    promoter.read_for(Duration::from_millis(2_000), &[replica("b")]);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert!(api.calls.borrow().is_empty(), "{:?}", api.calls.borrow());
}

#[ntex::test]
async fn replica_is_promoted_when_no_entry_of_a_primary_comes_back() {
    // Availability: without synchronous replicas a group does not wait for members that are gone.
    let group = FakeGroup::new(&["a", "b"]);
    let mut promoter = Promoter::start(&group, 0).await;
    let api = FakePromotionApi::new(&group);
    start_promotions(&promoter.service, &group, &api);
    group.member("a").reachable.set(false);
    promoter.read_for(Duration::from_secs(4), &[replica("b")]);
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
    assert_eq!(api.calls.borrow()[0].0, "b");
}

/// Plays the loss of replica `c`, which has received most, and then of the primary, and returns
/// whether `b` is promoted within a second.
async fn is_promoted_without_departed_replica(sync_replicas: u32) -> bool {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let mut promoter = Promoter::start(&group, sync_replicas).await;
    let api = FakePromotionApi::new(&group);
    promoter.read_for(Duration::from_secs(4), &group.entries());
    group.member("b").applied_index.set(7);
    group.member("c").reachable.set(false);
    let mut entries = group.entries();
    entries.retain(|entry| &*entry.id != "c");
    promoter.read_for(Duration::from_secs(6), &entries);
    assert_eq!(promoter.members(), ["a", "b"]);
    group.member("a").reachable.set(false);
    let primary = promoter.service.groups()[0].primary(BootClock.now());
    primary
        .expect("a is primary")
        .record_failure(BootClock.now());
    start_promotions(&promoter.service, &group, &api);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let calls = api.calls.borrow();
    !calls.is_empty()
}

#[ntex::test]
async fn replica_that_left_a_moment_ago_counts_for_synchronous_commits() {
    // Guards against a count of the replicas that shrinks with the entries: the replica that is
    // gone may hold the only copy of acknowledged commits, and return.
    assert!(!is_promoted_without_departed_replica(1).await);
}

#[ntex::test]
async fn replica_that_left_does_not_delay_a_promotion_without_synchronous_commits() {
    assert!(is_promoted_without_departed_replica(0).await);
}
