//! What one instance has learned about all members.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use smallvec::SmallVec;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::exchange_sample::{ExchangeSample, SampleOutcome, StatementClass};
use crate::latency_profile::LatencyProfile;
use crate::member_report::{CapacityNotice, MemberReport};
use crate::outlier_detector::{OutlierChange, OutlierDetector};

/// Time for which a report of another instance holds. The instance that has seen the exchanges
/// renews it while the member is set aside, and nobody else passes it on, so that the others use a
/// recovered member within this time.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Maximum number of reports on one message.
const MAX_REPORTS: usize = 2;

/// Age from which a reported load says nothing.
const MAX_LOAD_AGE: Duration = Duration::from_millis(500);

/// Load above which a member is full and reads spill over to another.
const FULL_LOAD: f64 = 1.0;

/// Load of the primary above which it gets no reads that a replica can serve, as it keeps room for
/// writes.
const PRIMARY_FULL_LOAD: f64 = 0.6;

/// Step in which loads above the bound are compared. Smaller differences are noise, and following
/// them makes the load swing.
const SPILL_MARGIN: f64 = 0.35;

/// Attempt time as a multiple of the high quantile of the latency.
const ATTEMPT_FACTOR: f64 = 4.0;

/// Minimum attempt time. Shorter ones would break off statements that wait in a short queue.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(100);

/// Time of an attempt that is repeated at the same member, as a multiple of the high quantile.
const REPEAT_FACTOR: f64 = 6.0;

/// Minimum time of such an attempt.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(200);

/// Relative latency below which an unanswered statement says nothing: its caller's time was over.
const CUT_RATIO: f64 = 3.0;

/// Maximum number of known members; beyond it, the ones unused for longest are removed.
const MAX_MEMBERS: usize = 4_096;

/// A member that may serve a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadCandidate<'a> {
    /// The member.
    pub member: &'a str,
    /// Statements of this instance in flight at the member.
    pub in_flight: u32,
    /// Whether it is the primary.
    pub is_primary: bool,
}

/// A member that was set aside or taken back by this instance's own exchanges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityEvent {
    /// The member.
    pub member: Arc<str>,
    /// The change.
    pub change: OutlierChange,
}

#[derive(Clone, Debug, Default)]
struct MemberState {
    limit: ConcurrencyLimit,
    detector: OutlierDetector,
    /// Statements in flight that this instance runs itself.
    in_flight: u32,
    /// Load reported by home instances, and its time.
    reported_load: Option<(f64, MonotonicTime)>,
    used_at: MonotonicTime,
}

impl MemberState {
    /// Returns the load relative to the limit: of the home instances if known, else as seen here.
    fn load(&self, in_flight: u32, now: MonotonicTime) -> f64 {
        let own = f64::from(self.in_flight.max(in_flight)) / self.limit.limit();
        match self.reported_load {
            Some((load, at)) if now.since(at) <= MAX_LOAD_AGE => own.max(load),
            _ => own,
        }
    }
}

/// What one instance has learned about all members. All of it can be learned again, so it is kept
/// in memory only.
#[derive(Clone, Debug, Default)]
pub struct CapacityBoard {
    members: HashMap<Arc<str>, MemberState>,
    /// Members that this instance's own exchanges set aside, with their hashes. Each message
    /// carries some of them, so that they are not searched for among all members.
    ejected: BTreeMap<Arc<str>, u32>,
    /// Members that other instances report as set aside, by hash, until the time.
    reported: HashMap<u32, MonotonicTime>,
    /// Latency of statements at members, by class, over all groups. One instance sees too few
    /// statements of one group to tell what is usual there.
    profiles: HashMap<StatementClass, LatencyProfile>,
}

impl CapacityBoard {
    /// Counts a statement that this instance runs at a member.
    pub fn begin(&mut self, member: &str, now: MonotonicTime) {
        let state = self.state(member, now);
        state.in_flight += 1;
    }

    /// Returns the number of statements that this instance runs or queues at a member.
    pub fn in_flight(&self, member: &str) -> u32 {
        let state = self.members.get(member);
        state.map_or(0, |state| state.in_flight)
    }

    /// Ends a statement that [`Self::begin`] has counted.
    pub fn end(&mut self, member: &str) {
        if let Some(state) = self.members.get_mut(member) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records an exchange that this instance ran at a member itself.
    pub fn record_local(
        &mut self,
        member: &str,
        sample: &ExchangeSample,
        now: MonotonicTime,
    ) -> Option<CapacityEvent> {
        self.record_local_with_peers(member, sample, &[], now)
    }

    /// Records an exchange that this instance ran itself; `peers` are the other members of the
    /// group.
    pub fn record_local_with_peers(
        &mut self,
        member: &str,
        sample: &ExchangeSample,
        peers: &[Arc<str>],
        now: MonotonicTime,
    ) -> Option<CapacityEvent> {
        let is_served = sample.outcome == SampleOutcome::Served;
        let profile = self.profiles.entry(sample.class).or_default();
        let ratio = profile.ratio(sample.latency);
        let is_cut_short = sample.outcome == SampleOutcome::Unanswered
            && (sample.latency < MIN_ATTEMPT_TIME || ratio.is_some_and(|ratio| ratio < CUT_RATIO));
        if is_cut_short {
            return None;
        }
        // An unanswered statement counts with the time that it had, also while the member is set
        // aside: without it, a limit below the latency of a loaded group would never grow.
        let is_timed = is_served || sample.outcome == SampleOutcome::Unanswered;
        let ratio = ratio.filter(|_| is_timed);
        let peer_ratio = self.best_ratio(peers, now);
        let state = self.state(member, now);
        let was_set_aside = state.detector.is_set_aside();
        match sample.outcome {
            SampleOutcome::Served => state
                .limit
                .record_served(ratio.unwrap_or(1.0), state.in_flight),
            _ => state.limit.record_rejection(state.in_flight, now),
        }
        let change = state
            .detector
            .record(sample.outcome, ratio, peer_ratio, now);
        let event = change.map(|change| self.apply_change(member, change));
        if is_timed
            && !was_set_aside
            && let Some(profile) = self.profiles.get_mut(&sample.class)
        {
            profile.record(sample.latency);
        }
        event
    }

    /// Records an exchange that a home instance ran for this one. Its latency includes the way and
    /// the wait there, so that it says little about the member.
    pub fn record_relayed(
        &mut self,
        member: &str,
        outcome: SampleOutcome,
        now: MonotonicTime,
    ) -> Option<CapacityEvent> {
        let state = self.state(member, now);
        let change = state.detector.record(outcome, None, None, now)?;
        Some(self.apply_change(member, change))
    }

    fn apply_change(&mut self, member: &str, change: OutlierChange) -> CapacityEvent {
        let hash = MemberReport::hash(member);
        let member: Arc<str> = member.into();
        match change {
            OutlierChange::SetAside(_) => {
                self.ejected.insert(member.clone(), hash);
            }
            OutlierChange::TakenBack => {
                self.ejected.remove(&member);
                self.reported.remove(&hash);
            }
        }
        CapacityEvent { member, change }
    }

    /// Returns the time after which a read of a class is repeated elsewhere, at most `longest`.
    /// A member that is slow as a whole gets more
    /// time: the class is learned over all groups, and the rest of its group may be as slow.
    pub fn attempt_time(
        &self,
        member: &str,
        class: StatementClass,
        longest: Duration,
        now: MonotonicTime,
    ) -> Duration {
        let factor = ATTEMPT_FACTOR * self.slowness(member, now);
        self.limited_time(class, factor, MIN_ATTEMPT_TIME, longest)
    }

    /// Returns the time after which a read that only this member can run is repeated there, at most
    /// `longest`. A member that is slow as a whole gets more time, as the repetition would add to
    /// its load.
    pub fn repeat_time(
        &self,
        member: &str,
        class: StatementClass,
        longest: Duration,
        now: MonotonicTime,
    ) -> Duration {
        let factor = REPEAT_FACTOR * self.slowness(member, now);
        self.limited_time(class, factor, MIN_REPEAT_TIME, longest)
    }

    /// Returns the latency of a member relative to the usual one; 1 if it is lower or not known.
    fn slowness(&self, member: &str, now: MonotonicTime) -> f64 {
        let state = self.members.get(member);
        let ratio = state.and_then(|state| state.detector.ratio(now));
        ratio.unwrap_or(1.0).max(1.0)
    }

    fn limited_time(
        &self,
        class: StatementClass,
        factor: f64,
        shortest: Duration,
        longest: Duration,
    ) -> Duration {
        let profile = self.profiles.get(&class);
        let Some(high) = profile.and_then(LatencyProfile::high_quantile) else {
            return longest;
        };
        high.mul_f64(factor).max(shortest).min(longest)
    }

    /// Returns whether a member is set aside, by this instance or by a report.
    pub fn is_set_aside(&self, member: &str, now: MonotonicTime) -> bool {
        self.is_set_aside_here(member) || self.is_reported(member, now)
    }

    fn is_set_aside_here(&self, member: &str) -> bool {
        let state = self.members.get(member);
        state.is_some_and(|state| state.detector.is_set_aside())
    }

    fn is_reported(&self, member: &str, now: MonotonicTime) -> bool {
        // Usually there is no report, and no hash is computed.
        !self.reported.is_empty()
            && self
                .reported
                .get(&MemberReport::hash(member))
                .is_some_and(|until| now < *until)
    }

    /// Describes limit, load and state of a member as text.
    pub fn describe(&self, member: &str, now: MonotonicTime) -> String {
        let state = self.members.get(member);
        let cause = match state.and_then(|state| state.detector.cause()) {
            Some(cause) => cause.label(),
            None if self.is_reported(member, now) => "reported",
            None => "-",
        };
        let Some(state) = state else {
            return format!("limit=- load=- set_aside={cause}");
        };
        format!(
            "limit={:.1} load={:.2} set_aside={cause}",
            state.limit.limit(),
            state.load(0, now)
        )
    }

    /// Returns the concurrency limit of a member.
    pub fn limit(&self, member: &str) -> f64 {
        let state = self.members.get(member);
        state.map_or_else(
            || ConcurrencyLimit::default().limit(),
            |state| state.limit.limit(),
        )
    }

    /// Orders candidates, which come in the order of preference, best first. `group_size` bounds
    /// how many members count as set aside. A due probe comes first.
    pub fn order(
        &mut self,
        candidates: &[ReadCandidate<'_>],
        group_size: usize,
        now: MonotonicTime,
    ) -> SmallVec<[usize; 4]> {
        let aside = self.bounded_aside(candidates, group_size, now);
        let mut order: SmallVec<[usize; 4]> = (0..candidates.len()).collect();
        let loads: SmallVec<[f64; 4]> = candidates
            .iter()
            .map(|candidate| {
                let state = self.members.get(candidate.member);
                state.map_or(0.0, |state| state.load(candidate.in_flight, now))
            })
            .collect();
        let rank = |index: usize| {
            let candidate = &candidates[index];
            let full = if candidate.is_primary {
                PRIMARY_FULL_LOAD
            } else {
                FULL_LOAD
            };
            // Loads below the bound are equal, so that accounts keep their member and connections.
            let excess = (loads[index] - full).max(0.0);
            let steps = (excess / SPILL_MARGIN).ceil() as u32;
            (aside.contains(&index), steps)
        };
        order.sort_by_key(|index| rank(*index));
        let probe = aside.iter().copied().find(|index| {
            let state = self.members.get_mut(candidates[*index].member);
            let is_alternative = candidates.len() > 1;
            is_alternative && state.is_some_and(|state| state.detector.take_probe(now))
        });
        if let Some(probe) = probe {
            order.retain(|index| *index != probe);
            order.insert(0, probe);
        }
        order
    }

    /// Returns the candidates that count as set aside: less than half of the group, but one of two.
    fn bounded_aside(
        &self,
        candidates: &[ReadCandidate<'_>],
        group_size: usize,
        now: MonotonicTime,
    ) -> SmallVec<[usize; 4]> {
        let bound = match group_size {
            0 | 1 => 0,
            size => (size.saturating_sub(1) / 2).max(1),
        };
        let is_aside = |index: &usize| self.is_set_aside(candidates[*index].member, now);
        let mut aside: SmallVec<[usize; 4]> = (0..candidates.len()).filter(is_aside).collect();
        // Members that this instance has seen fail count before reported ones.
        aside.sort_by_key(|index| !self.is_set_aside_here(candidates[*index].member));
        aside.truncate(bound);
        aside
    }

    fn best_ratio(&self, peers: &[Arc<str>], now: MonotonicTime) -> Option<f64> {
        let ratios = peers
            .iter()
            .filter_map(|peer| self.members.get(peer)?.detector.ratio(now));
        ratios.min_by(f64::total_cmp)
    }

    /// Returns what a message to another instance carries: members that this instance's own
    /// exchanges set aside. Reports of others are not passed on: instances that exchange messages
    /// all the time would keep them alive after the member is well.
    pub fn notice(&self) -> CapacityNotice {
        let mut reports: SmallVec<[MemberReport; 1]> = self
            .ejected
            .values()
            .map(|member| MemberReport {
                member: *member,
                valid_ms: REPORT_LIFETIME.as_millis() as u16,
            })
            .collect();
        reports.sort_by_key(|report| report.member);
        reports.truncate(MAX_REPORTS);
        CapacityNotice {
            reports,
            ..CapacityNotice::default()
        }
    }

    /// Returns what a reply about a member carries.
    pub fn reply_notice(&self, member: &str) -> CapacityNotice {
        let state = self.members.get(member);
        let load = state.map(|state| f64::from(state.in_flight) / state.limit.limit());
        CapacityNotice {
            load: load.map(|load| (load * 16.0).clamp(0.0, 255.0) as u8),
            ..self.notice()
        }
    }

    /// Applies the reports of another instance, which hold from `since` on: for a request the time
    /// of its arrival, for a reply the time when its request was sent.
    pub fn apply_reports(
        &mut self,
        notice: &CapacityNotice,
        since: MonotonicTime,
        now: MonotonicTime,
    ) {
        if !notice.reports.is_empty() {
            self.reported.retain(|_, until| now < *until);
        }
        for report in &notice.reports {
            let valid = Duration::from_millis(u64::from(report.valid_ms)).min(REPORT_LIFETIME);
            let until = self.reported.entry(report.member).or_default();
            *until = (*until).max(since + valid);
        }
    }

    /// Applies the notice of a reply about a member to a request sent at `sent_at`.
    pub fn apply_reply(
        &mut self,
        notice: &CapacityNotice,
        member: &str,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.apply_reports(notice, sent_at, now);
        if let Some(load) = notice.load {
            let load = f64::from(load) / 16.0;
            self.state(member, now).reported_load = Some((load, now));
        }
    }

    /// Removes a member that has left.
    pub fn remove(&mut self, member: &str) {
        self.members.remove(member);
        self.ejected.remove(member);
    }

    fn state(&mut self, member: &str, now: MonotonicTime) -> &mut MemberState {
        if !self.members.contains_key(member) && self.members.len() >= MAX_MEMBERS {
            let oldest = self.members.iter().min_by_key(|(_, state)| state.used_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.remove(&oldest);
            }
        }
        let state = self.members.entry(member.into()).or_default();
        state.used_at = now;
        state
    }
}
