//! Members of one database group: the primary, read targets, and log positions.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_capacity::{PlacementCandidate, ReadCandidate, placement_order};
use coriander_core::{LogPosition, MonotonicTime, stable_hash};
use coriander_service_api::{
    FleetConfig, MemberConnector, MemberEntry, MemberTarget, PositionTimeline,
};
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::configuration::read_span::ReadSpan;
use crate::fleet::fleet_view::MemberLocation;
use crate::members::connection_caps::ConnectionCaps;
use crate::members::departed_members::DepartedMembers;
use crate::members::member::Member;
use crate::members::member_capacity::{MemberCapacity, SharedCapacity};
use crate::members::member_pool::MemberPool;
use crate::sessions::exchange::ExchangePlan;

/// Time without an entry after which a member is removed. A primary that counts as gone is replaced
/// meanwhile. With the time until a read shows the absence it stays below the bound on work for members
/// that are gone.
const REMOVAL_DELAY: Duration = Duration::from_millis(4_500);

/// Maximum time for which a replica that lacked a position is not read from.
const MAX_LAG_DELAY: Duration = Duration::from_millis(700);

/// Minimum time for which such a replica is not read from.
const MIN_LAG_DELAY: Duration = Duration::from_millis(30);

/// A database group.
pub struct DatabaseGroup {
    /// Name of the group.
    pub name: Arc<str>,
    /// Signals a change of members or of the primary.
    pub changed: Notify,
    connector: Rc<dyn MemberConnector>,
    ordered_waiting: bool,
    capacity: Option<SharedCapacity>,
    members: RefCell<Vec<Rc<Member>>>,
    departed: DepartedMembers,
    /// Reads of the store from which the members follow.
    reads: Cell<ReadSpan>,
    position_timeline: Rc<RefCell<PositionTimeline>>,
    /// Primary reported by a promotion, until the entry of the member agrees.
    promoted_primary: RefCell<Option<Arc<str>>>,
    /// The only member that may act as primary, if the store designates one.
    designated_primary: RefCell<Option<Arc<str>>>,
    /// Fencing token of the newest reported promotion.
    promotion_token: Cell<u64>,
}

impl DatabaseGroup {
    /// Creates a group without members.
    pub fn new(
        name: Arc<str>,
        connector: Rc<dyn MemberConnector>,
        capacity: Option<SharedCapacity>,
    ) -> Self {
        Self {
            name,
            changed: Notify::new(),
            connector,
            ordered_waiting: false,
            capacity,
            members: RefCell::default(),
            departed: DepartedMembers::default(),
            reads: Cell::default(),
            position_timeline: Rc::default(),
            promoted_primary: RefCell::default(),
            designated_primary: RefCell::default(),
            promotion_token: Cell::new(0),
        }
    }

    /// Sets whether the queue decides the order of requests that wait for connections.
    #[must_use]
    pub const fn with_ordered_waiting(mut self, ordered_waiting: bool) -> Self {
        self.ordered_waiting = ordered_waiting;
        self
    }

    /// Sets how many connections each member accepts from the fleet, and how many of them this
    /// instance may open.
    pub fn set_connections(
        &self,
        connections: usize,
        caps: impl Fn(&MemberLocation<'_>) -> ConnectionCaps,
    ) {
        for member in self.members.borrow().iter() {
            member.connections.set(connections);
            member.pool.set_caps(caps(&member.location(&member.zone())));
        }
    }

    /// Sets the shortest latency target of the routes to the group, from which the members learn how
    /// many statements they take well.
    pub fn apply_targets(&self, config: &FleetConfig) {
        let routes = config.routes.values();
        let targets = routes.filter(|route| route.group == self.name);
        let shortest = targets.map(|route| route.latency_target).min();
        for member in self.members.borrow().iter() {
            if let Some(capacity) = &member.capacity {
                capacity.set_shortest_target(shortest.unwrap_or_default());
            }
        }
    }

    /// Applies the entries of the group's members that the newest of `reads` has returned.
    pub fn apply_entries(
        &self,
        entries: &[&MemberEntry],
        evacuated_zones: &[Arc<str>],
        reads: ReadSpan,
        now: MonotonicTime,
    ) {
        self.reads.set(reads);
        let primary = self.primary(now);
        let mut members = self.members.borrow_mut();
        for entry in entries {
            self.apply_entry(&mut members, entry, now);
        }
        members.retain(|member| {
            if self.retain_member(member, entries) {
                return true;
            }
            let is_primary = primary.as_ref().is_some_and(|known| known.id == member.id);
            // The log of a member that drained has been transferred to its successor.
            if !is_primary && !member.entry.borrow().draining {
                self.departed.add(&member.id, now);
            }
            false
        });
        for member in members.iter() {
            let is_zone_evacuated = evacuated_zones.contains(&member.entry.borrow().zone);
            member.is_zone_evacuated.set(is_zone_evacuated);
            let leaving_since = member.leaving_since.get().unwrap_or(now);
            member
                .leaving_since
                .set(member.is_leaving().then_some(leaving_since));
        }
        for member in members.iter() {
            if let Some(capacity) = &member.capacity {
                let others = members.iter().filter(|other| other.id != member.id);
                capacity.set_peers(others.map(|other| other.id.clone()).collect());
            }
        }
        drop(members);
        self.clear_promoted_primary();
        self.changed.notify_waiters();
    }

    fn apply_entry(&self, members: &mut Vec<Rc<Member>>, entry: &MemberEntry, now: MonotonicTime) {
        let index = members.iter().position(|member| member.id == entry.id);
        if let Some(index) = index {
            let member = &members[index];
            let old = member.entry.borrow().clone();
            if old.address == entry.address && old.started_at_ms == entry.started_at_ms {
                member.update(entry, now);
                return;
            }
            log::info!(
                group = &*self.name, member = &*entry.id, address:% = entry.address;
                "member restarted"
            );
            member.close();
            members.remove(index);
        }
        let target = MemberTarget {
            member: entry.id.clone(),
            group: self.name.clone(),
            address: entry.address,
            account: "".into(),
        };
        let pool = MemberPool::new(self.connector.clone(), target, ConnectionCaps::default());
        pool.set_ordered_waiting(self.ordered_waiting);
        log::info!(
            group = &*self.name, member = &*entry.id, role:? = entry.role, zone = &*entry.zone,
            address:% = entry.address, revision = entry.revision;
            "member added"
        );
        let shared = self.capacity.clone();
        let capacity = shared.map(|shared| {
            let positions = self.position_timeline.clone();
            MemberCapacity::new(shared, self.name.clone(), entry.id.clone(), positions)
        });
        if let Some(capacity) = &capacity {
            pool.set_statement_limit(capacity.statement_limit());
        }
        self.departed.remove(&entry.id);
        let member = Member::new(entry, pool, capacity);
        member.update(entry, now);
        members.push(Rc::new(member));
    }

    fn retain_member(&self, member: &Member, entries: &[&MemberEntry]) -> bool {
        let listed = entries.iter().any(|entry| entry.id == member.id);
        if listed {
            return true;
        }
        let reads = self.reads.get();
        if !member.is_missing() {
            log::info!(
                group = &*self.name, member = &*member.id,
                reads_span_ms = reads.length().as_millis() as u64;
                "member has no entry in the store"
            );
        }
        let absence = member.record_absence(reads);
        if absence < REMOVAL_DELAY {
            return true;
        }
        log::info!(
            group = &*self.name, member = &*member.id, absent_ms = absence.as_millis() as u64;
            "member removed"
        );
        member.close();
        false
    }

    /// Closes the connections to all members, as the group has been removed.
    pub fn close(&self) {
        for member in self.members.take() {
            member.close();
        }
        self.changed.notify_waiters();
    }

    /// Returns the reads of the store from which the members follow.
    pub fn reads(&self) -> ReadSpan {
        self.reads.get()
    }

    /// Returns how many replicas that are no members any longer may return with commits that no other
    /// member holds.
    pub fn departed_count(&self, now: MonotonicTime) -> usize {
        self.departed.count(now)
    }

    /// Returns a member.
    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        let members = self.members.borrow();
        members.iter().find(|member| &*member.id == id).cloned()
    }

    /// Returns whether the group has no members.
    pub fn is_empty(&self) -> bool {
        self.members.borrow().is_empty()
    }

    /// Describes the state of the primary, for log lines of statements that could not use it.
    pub fn describe_primary(&self, now: MonotonicTime) -> String {
        let Some(primary) = self.primary(now) else {
            let designated = self.designated_primary();
            let designated = designated.as_deref().unwrap_or("-");
            return format!("no member reports the primary role, designated={designated}");
        };
        format!(
            "leader={} usable={} leaving={} missing={} failing_for={:?}",
            primary.id,
            primary.is_usable(now),
            primary.is_leaving(),
            primary.is_missing(),
            primary.failing_for(now)
        )
    }

    /// Describes the group and its members, one line each.
    pub fn describe(&self, now: MonotonicTime) -> Vec<String> {
        let primary = self.primary(now);
        let primary = primary.as_ref().map_or("-", |primary| &*primary.id);
        let newest = self.position_timeline.borrow().newest();
        let newest = newest.map_or_else(|| "-".to_owned(), |position| position.to_string());
        let mut lines = vec![format!(
            "group name={} leader={primary} position={newest}",
            self.name
        )];
        lines.extend(self.members().iter().map(|member| member.describe(now)));
        lines
    }

    /// Returns all members.
    pub fn members(&self) -> Vec<Rc<Member>> {
        self.members.borrow().clone()
    }

    /// Returns the sum of the learned limits, and the number of members that are set aside.
    pub fn learned_capacity(&self, now: MonotonicTime) -> (f64, usize) {
        let members = self.members.borrow();
        let learned = members.iter().filter_map(|member| member.capacity.as_ref());
        learned.fold((0.0, 0), |(limit, set_aside), capacity| {
            let is_set_aside = capacity.is_set_aside(now);
            (
                limit + capacity.limit(),
                set_aside + usize::from(is_set_aside),
            )
        })
    }

    /// Sets the only member that may act as primary; `None`: any member that reports the role.
    pub fn set_designated_primary(&self, member: Option<Arc<str>>) {
        *self.designated_primary.borrow_mut() = member;
    }

    /// Returns the only member that may act as primary, if the store designates one.
    pub fn designated_primary(&self) -> Option<Arc<str>> {
        self.designated_primary.borrow().clone()
    }

    /// Returns the member that acts as primary, if one is recorded.
    pub fn primary(&self, now: MonotonicTime) -> Option<Rc<Member>> {
        let members = self.members.borrow();
        let designated = self.designated_primary();
        let is_eligible = |member: &&Rc<Member>| {
            designated
                .as_ref()
                .is_none_or(|designated| *designated == member.id)
        };
        if let Some(promoted) = &*self.promoted_primary.borrow()
            && let Some(member) = members.iter().find(|member| member.id == *promoted)
            && is_eligible(&member)
        {
            return Some(member.clone());
        }
        let reporting = members
            .iter()
            .filter(is_eligible)
            .filter(|member| member.reports_primary(now));
        reporting
            .max_by_key(|member| member.primary_revision.get())
            .cloned()
    }

    /// Records that a promotion has made a member the primary. An older fencing token is ignored.
    pub fn record_promoted_primary(&self, member: &str, token: u64) {
        if token < self.promotion_token.get() {
            return;
        }
        self.promotion_token.set(token);
        log::info!(
            group = &*self.name, member = member, token = token;
            "member is primary after a promotion"
        );
        *self.promoted_primary.borrow_mut() = Some(member.into());
        self.changed.notify_waiters();
    }

    fn clear_promoted_primary(&self) {
        let mut promoted = self.promoted_primary.borrow_mut();
        let Some(id) = &*promoted else {
            return;
        };
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.id == *id);
        if member.is_none_or(|member| member.primary_revision.get() > 0) {
            *promoted = None;
        }
    }

    /// Records that a member refused a statement because it is not the primary.
    pub fn mark_not_primary(&self, member: &Member, now: MonotonicTime) {
        let mut promoted = self.promoted_primary.borrow_mut();
        if promoted.as_ref() == Some(&member.id) {
            *promoted = None;
        }
        member.mark_not_primary(now);
    }

    fn is_read_target(member: &Member, tried: &[Arc<str>], now: MonotonicTime) -> bool {
        !tried.contains(&member.id)
            && !member.is_leaving()
            && !member.is_gone()
            && member.is_usable(now)
            && !member.is_lagging(now)
    }

    /// Returns whether [`choose_read_target`](Self::choose_read_target) would choose a member. Callers
    /// retry without a delay if it would: a member that is never chosen must not count.
    pub fn has_read_target(&self, tried: &[Arc<str>], now: MonotonicTime) -> bool {
        let members = self.members.borrow();
        members.iter().any(|member| {
            Self::is_read_target(member, tried, now) && member.would_admit_statement(now)
        })
    }

    /// Chooses the read target with the lowest cost for an account, leaving out `tried` members.
    pub fn choose_read_target(
        &self,
        account: &str,
        tried: &[Arc<str>],
        now: MonotonicTime,
    ) -> Option<Rc<Member>> {
        let primary = self.primary(now);
        let members = self.members.borrow();
        let candidates = members
            .iter()
            .filter(|member| Self::is_read_target(member, tried, now));
        let is_primary = |member: &Member| {
            let primary = primary.as_ref();
            primary.is_some_and(|primary| primary.id == member.id)
        };
        let mut candidates: SmallVec<[&Rc<Member>; 4]> = candidates.collect();
        if let Some(capacity) = &self.capacity {
            candidates = place(capacity, account, &candidates, is_primary);
            candidates = order_by_capacity(capacity, &candidates, is_primary, members.len(), now);
        } else {
            // A member that a zone prefers could be overloaded unnoticed where capacity is not
            // learned, so the zone does not count.
            candidates.sort_by_cached_key(|member| {
                let affinity = account_affinity(account, &member.id);
                (member.read_cost(account, is_primary(member)), affinity)
            });
        }
        let admitted = |member: &&&Rc<Member>| member.admit_statement(now);
        candidates
            .iter()
            .find(admitted)
            .map(|member| (*member).clone())
    }

    /// Fills in the position that the log of a member must contain for the age that a plan accepts.
    /// Returns false if no position is known that was confirmed recently enough.
    pub fn resolve_age(&self, plan: &mut ExchangePlan, now: MonotonicTime) -> bool {
        let Some(max_age) = plan.max_age else {
            return true;
        };
        let position = self.min_position_for_age(max_age, now);
        if let Some(position) = position {
            plan.resolve_age(position);
        }
        position.is_some()
    }

    /// Records that the log of a member did not contain the position that a read required. The log
    /// ends at `position`, and the read accepts data up to `max_age` old. No read is sent to the
    /// member for about the time that it needs to catch up.
    pub fn record_lag(
        &self,
        member: &Member,
        position: Option<LogPosition>,
        max_age: Option<Duration>,
        now: MonotonicTime,
    ) {
        let age = position.map(|position| self.position_timeline.borrow().data_age(position, now));
        let delay = match (age, max_age) {
            (Some(Some(age)), Some(max_age)) => age.saturating_sub(max_age),
            (Some(None), _) => MAX_LAG_DELAY,
            _ => MIN_LAG_DELAY,
        };
        let delay = delay.clamp(MIN_LAG_DELAY, MAX_LAG_DELAY);
        member.lagging_until.set(now + delay);
    }

    /// Records the log position of a member that confirmed its primary role after `sent_at`.
    pub fn record_position(&self, sent_at: MonotonicTime, position: LogPosition) {
        self.position_timeline
            .borrow_mut()
            .record(sent_at, position);
    }

    /// Returns the log position that a member must contain for its data to be at most `max_age`
    /// old.
    pub fn min_position_for_age(
        &self,
        max_age: Duration,
        now: MonotonicTime,
    ) -> Option<LogPosition> {
        self.position_timeline
            .borrow()
            .min_position_for_age(max_age, now)
    }
}

/// Orders read targets of an account by zone and role.
fn place<'a>(
    capacity: &SharedCapacity,
    account: &str,
    members: &[&'a Rc<Member>],
    is_primary: impl Fn(&Member) -> bool,
) -> SmallVec<[&'a Rc<Member>; 4]> {
    let candidates: SmallVec<[PlacementCandidate; 4]> = members
        .iter()
        .map(|member| PlacementCandidate {
            is_own_zone: capacity.is_own_zone(&member.entry.borrow().zone),
            is_primary: is_primary(member),
            affinity: account_affinity(account, &member.id),
        })
        .collect();
    let order = placement_order(&candidates);
    order.into_iter().map(|index| members[index]).collect()
}

/// Orders read targets, given in the order of preference, by learned capacity.
fn order_by_capacity<'a>(
    capacity: &SharedCapacity,
    preferred: &[&'a Rc<Member>],
    is_primary: impl Fn(&Member) -> bool,
    group_size: usize,
    now: MonotonicTime,
) -> SmallVec<[&'a Rc<Member>; 4]> {
    let candidates: SmallVec<[ReadCandidate<'_>; 4]> = preferred
        .iter()
        .map(|member| ReadCandidate {
            member: &member.id,
            in_flight: member.in_flight.get(),
            is_primary: is_primary(member),
        })
        .collect();
    let order = capacity.order(&candidates, group_size, now);
    order.into_iter().map(|index| preferred[index]).collect()
}

/// Returns the rank of a member for an account. It differs by account, so that accounts are spread
/// over members and each account needs few connections.
fn account_affinity(account: &str, member: &str) -> u64 {
    stable_hash((account, member))
}
