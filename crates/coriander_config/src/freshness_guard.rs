//! Decides whether an instance may serve under its applied version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use coriander_core::{ConfigDocument, ConfigVersion, InstanceId, MonotonicTime};

use crate::{ConfirmVersion, Incarnation, VersionConfirmed};

/// Time for which a confirmation allows an instance to serve.
pub const FRESHNESS_PERIOD: Duration = Duration::from_secs(2);
/// Rounds whose replies are still recorded.
const MAX_ROUNDS: usize = 4;
/// Confirmations of newer versions that are kept until the version is applied.
const MAX_PENDING: usize = 4;

/// Replies to one round of requests that were sent at the same time.
#[derive(Clone, Debug)]
struct ConfirmRound {
    sent: MonotonicTime,
    replies: BTreeMap<InstanceId, ConfigVersion>,
    /// Number of replies of fleet members that have applied nothing newer than this instance.
    counted_replies: usize,
}

/// Decides whether an instance may serve.
///
/// A confirmation `(w, t)` says that no version after `w` was accepted before `t`, a time on the
/// clock of this process. It allows serving under an applied version `v >= w` until
/// `t + FRESHNESS_PERIOD`. The time is always the send time of the request, reduced by the age
/// that a peer reports.
///
/// Replies of a restarted process do not count as confirmations until it has read the root from the
/// platform, or a majority of the fleet, itself not included, has reported no newer version.
/// The latter is safe because [`AcceptanceTally`](crate::AcceptanceTally) requires a majority
/// that held the version at one moment.
///
/// The clock must advance while the process is paused.
///
/// ```
/// use coriander_config::{FreshnessGuard, Incarnation};
/// use coriander_core::{ConfigDocument, ConfigVersion, MonotonicTime};
///
/// let mut guard = FreshnessGuard::new("a".parse().expect("valid name"), Incarnation::new(7));
/// let version = ConfigVersion::new(1);
/// guard.record_applied(&ConfigDocument { version, ..ConfigDocument::default() });
/// guard.record_platform_read(version, MonotonicTime::from_millis(100));
/// assert!(guard.may_serve(MonotonicTime::from_millis(2_100)));
/// assert!(!guard.may_serve(MonotonicTime::from_millis(2_101)));
/// ```
#[derive(Clone, Debug)]
pub struct FreshnessGuard {
    instance: InstanceId,
    incarnation: Incarnation,
    applied: ConfigVersion,
    fleet: BTreeSet<InstanceId>,
    /// Whether replies of this instance count as confirmations.
    loaded: bool,
    /// Time of the newest confirmation of the applied version.
    confirmed_time: Option<MonotonicTime>,
    platform_read_time: Option<MonotonicTime>,
    pending_confirmations: Vec<(ConfigVersion, MonotonicTime)>,
    /// Newest version read from the platform; once it is applied, the instance is loaded.
    version_to_load: Option<ConfigVersion>,
    rounds: VecDeque<ConfirmRound>,
}

impl FreshnessGuard {
    /// Creates the guard of a process that has just started.
    pub const fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            applied: ConfigVersion::new(0),
            fleet: BTreeSet::new(),
            loaded: false,
            confirmed_time: None,
            platform_read_time: None,
            pending_confirmations: Vec::new(),
            version_to_load: None,
            rounds: VecDeque::new(),
        }
    }

    /// Returns whether the instance may serve a request now, in constant time.
    pub fn may_serve(&self, now: MonotonicTime) -> bool {
        self.confirmed_age(now).is_some()
    }

    /// Returns the time since the applied version was confirmed, if it is fresh.
    pub fn confirmed_age(&self, now: MonotonicTime) -> Option<Duration> {
        if self.applied == ConfigVersion::default() {
            return None;
        }
        within_period(self.confirmed_time, now)
    }

    /// Returns whether the root was read from the platform within the freshness period.
    pub fn has_recent_platform_read(&self, now: MonotonicTime) -> bool {
        within_period(self.platform_read_time, now).is_some()
    }

    /// Returns whether replies of this instance count as confirmations.
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Records the version and the fleet of the applied document.
    pub fn record_applied(&mut self, document: &ConfigDocument) {
        if document.version <= self.applied {
            return;
        }
        self.applied = document.version;
        self.fleet = document.fleet.keys().cloned().collect();
        if self
            .version_to_load
            .is_some_and(|wanted| wanted <= self.applied)
        {
            self.loaded = true;
        }
        let pending_confirmations = std::mem::take(&mut self.pending_confirmations);
        for (version, time) in pending_confirmations {
            self.confirm(version, time);
        }
        for round in &mut self.rounds {
            let is_counted = |(id, version): &(&InstanceId, &ConfigVersion)| {
                self.fleet.contains(*id) && **version <= self.applied
            };
            round.counted_replies = round.replies.iter().filter(is_counted).count();
        }
        for index in 0..self.rounds.len() {
            self.check_round(index);
        }
    }

    /// Records the version of a root read from the platform by a request sent at `sent`.
    ///
    /// `sent` must be taken before the call, by this process.
    pub fn record_platform_read(&mut self, version: ConfigVersion, sent: MonotonicTime) {
        self.platform_read_time = self.platform_read_time.max(Some(sent));
        if version < self.applied {
            // A newer version was applied during the read, or the platform lost data.
            return;
        }
        if version == self.applied {
            self.loaded = true;
        } else {
            self.version_to_load = self.version_to_load.max(Some(version));
        }
        self.confirm(version, sent);
    }

    /// Starts a round of requests and returns the request, which is the same for all instances.
    pub fn begin_round(&mut self, now: MonotonicTime) -> ConfirmVersion {
        if self.rounds.back().is_none_or(|round| round.sent < now) {
            self.rounds.push_back(ConfirmRound {
                sent: now,
                replies: BTreeMap::new(),
                counted_replies: 0,
            });
        }
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        ConfirmVersion {
            requester: self.incarnation,
            sent: now.since_start(),
            version: self.applied,
        }
    }

    /// Returns the reply to a request of another instance.
    pub fn reply_to(&self, request: ConfirmVersion, now: MonotonicTime) -> VersionConfirmed {
        VersionConfirmed {
            request,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            version: self.applied,
            loaded: self.loaded,
            age: self.confirmed_age(now),
            has_recent_platform_read: self.has_recent_platform_read(now),
        }
    }

    /// Records a reply to a request of this process.
    pub fn record_reply(&mut self, reply: &VersionConfirmed, now: MonotonicTime) {
        let sent = reply.request.sent_at();
        if reply.request.requester != self.incarnation || sent > now {
            return;
        }
        if let Some(age) = reply.age
            && age <= sent.since_start()
        {
            self.confirm(reply.version, sent.saturating_sub(age));
        }
        if !reply.loaded || reply.instance == self.instance {
            return;
        }
        let found = self.rounds.iter().position(|round| round.sent == sent);
        if let Some(index) = found {
            let round = &mut self.rounds[index];
            let previous = round.replies.insert(reply.instance.clone(), reply.version);
            if self.fleet.contains(&reply.instance) {
                round.counted_replies += usize::from(reply.version <= self.applied);
                round.counted_replies -=
                    usize::from(previous.is_some_and(|old| old <= self.applied));
            }
            self.check_round(index);
        }
    }

    /// Evaluates the replies to one round.
    ///
    /// If a majority of the fleet, this instance not included, has nothing newer, the instance is
    /// loaded. A loaded instance counts itself towards the majority that confirms the applied
    /// version.
    fn check_round(&mut self, index: usize) {
        let ConfirmRound {
            sent,
            counted_replies,
            ..
        } = self.rounds[index];
        if self.fleet.is_empty() || self.applied == ConfigVersion::default() {
            return;
        }
        let required_count = majority_of(self.fleet.len());
        if counted_replies >= required_count {
            self.loaded = true;
        }
        let own = usize::from(self.loaded && self.fleet.contains(&self.instance));
        if counted_replies + own >= required_count {
            self.confirm(self.applied, sent);
        }
    }

    fn confirm(&mut self, version: ConfigVersion, time: MonotonicTime) {
        if version <= self.applied {
            self.confirmed_time = self.confirmed_time.max(Some(time));
            return;
        }
        self.pending_confirmations.push((version, time));
        if self.pending_confirmations.len() > MAX_PENDING {
            self.pending_confirmations.remove(0);
        }
    }
}

/// Returns the number of instances that form a majority.
pub const fn majority_of(size: usize) -> usize {
    size / 2 + 1
}

fn within_period(time: Option<MonotonicTime>, now: MonotonicTime) -> Option<Duration> {
    let age = now.since(time?);
    (age <= FRESHNESS_PERIOD).then_some(age)
}
