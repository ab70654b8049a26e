//! Runs the monitor of one database group: performs its calls and passes the replies to it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{DatabaseName, GroupStatus, InstanceId, LogPosition, MemberId, MonotonicTime};
use coriander_failover::{
    CallFailure, GroupAction, GroupEvent, GroupMember, GroupMonitor, MonitorSettings, PrimaryView,
};
use coriander_upstream::UpstreamError;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use super::member_handle::MemberHandle;
use crate::process_clock::ProcessClock;

/// Maximum time between calls of the monitor, which is also called at its next wake-up.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between health probes of a replica while the primary is healthy.
const REPLICA_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between calls of the monitor.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum wait for a change of the primary before it is read again.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(10);

type MemberMap = BTreeMap<MemberId, Rc<MemberHandle>>;
type StatusListener = Box<dyn Fn(&GroupStatus, MonotonicTime)>;

/// The monitor of one group together with the members that it calls.
pub struct GroupTask {
    own_id: InstanceId,
    clock: ProcessClock,
    monitor: RefCell<GroupMonitor>,
    members: RefCell<MemberMap>,
    random: RefCell<SmallRng>,
    changed: Notify,
    is_stopped: Cell<bool>,
    status_listener: RefCell<Option<StatusListener>>,
}

impl GroupTask {
    /// Creates the task of a group without members.
    pub fn new(database: DatabaseName, own_id: InstanceId, clock: ProcessClock) -> Rc<Self> {
        let monitor = GroupMonitor::new(database, monitor_settings(), clock.now());
        Rc::new(Self {
            own_id,
            clock,
            monitor: RefCell::new(monitor),
            members: RefCell::default(),
            random: RefCell::new(SmallRng::from_os_rng()),
            changed: Notify::new(),
            is_stopped: Cell::new(false),
            status_listener: RefCell::default(),
        })
    }

    /// Sets the function that is called with each status and the time of its query.
    pub fn on_status(&self, listener: StatusListener) {
        *self.status_listener.borrow_mut() = Some(listener);
    }

    /// Replaces the members with those of the platform's list.
    pub fn set_members(&self, members: MemberMap, listed: &[GroupMember]) {
        *self.members.borrow_mut() = members;
        self.monitor
            .borrow_mut()
            .set_members(listed, self.clock.now());
    }

    /// Sets the rank of this instance for the database.
    pub fn set_rank(&self, rank: Option<u32>) {
        self.monitor.borrow_mut().set_rank(rank, self.clock.now());
    }

    /// Returns the primary, if it is known and not being replaced.
    pub fn primary(&self) -> Option<PrimaryView> {
        self.monitor.borrow().primary().cloned()
    }

    /// Returns the primary if new writes may be sent to it.
    pub fn write_primary(&self) -> Option<PrimaryView> {
        let monitor = self.monitor.borrow();
        monitor
            .primary()
            .filter(|_| monitor.accepts_writes())
            .cloned()
    }

    /// Returns the client of a member.
    pub fn member(&self, id: &MemberId) -> Option<Rc<MemberHandle>> {
        self.members.borrow().get(id).cloned()
    }

    /// Returns all members.
    pub fn members(&self) -> Vec<Rc<MemberHandle>> {
        self.members.borrow().values().cloned().collect()
    }

    /// Waits until the primary has changed, at most for `CHANGE_TIMEOUT`.
    pub async fn wait_for_change(&self) {
        self.wait_for_change_within(CHANGE_TIMEOUT).await;
    }

    /// Waits until the primary has changed, at most for `limit`.
    pub async fn wait_for_change_within(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.changed.notified()).await;
    }

    /// Records a position that a majority stores; no member whose log ends before it is promoted.
    pub fn record_acknowledged(&self, position: LogPosition) {
        self.monitor
            .borrow_mut()
            .record_acknowledged(position, self.clock.now());
    }

    /// Records that a statement could not be sent or was refused because of its term.
    pub fn statement_failed(self: &Rc<Self>, member: &MemberId) {
        self.handle_event(GroupEvent::StatementFailed {
            member: member.clone(),
        });
    }

    /// Records that this instance replaces a lost gateway.
    pub fn gateway_replaced(self: &Rc<Self>) {
        self.handle_event(GroupEvent::GatewayReplaced);
    }

    /// Describes the state of the group for the dump.
    pub fn describe(&self) -> String {
        format!("{:?}", self.monitor.borrow())
    }

    /// Stops the task after the database was removed.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        self.changed.notify_waiters();
    }

    /// Returns whether the task was stopped.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.get()
    }

    /// Runs the monitor until it is stopped.
    pub async fn run(self: Rc<Self>) {
        while !self.is_stopped() {
            self.handle_event(GroupEvent::Tick);
            let now = self.clock.now();
            let wake = self.monitor.borrow().next_wakeup(now);
            // Events and a change of rank can make the next call due earlier.
            let delay = wake.since(now).clamp(MIN_WAKE_INTERVAL, MAX_WAKE_INTERVAL);
            tokio::time::sleep(delay).await;
        }
    }

    fn handle_event(self: &Rc<Self>, event: GroupEvent) {
        let before = self.primary();
        let actions = {
            let mut random = self.random.borrow_mut();
            self.monitor
                .borrow_mut()
                .handle(event, self.clock.now(), &mut *random)
        };
        if self.primary() != before {
            self.changed.notify_waiters();
        }
        for action in actions {
            ntex::rt::spawn(self.clone().perform(action));
        }
    }

    async fn perform(self: Rc<Self>, action: GroupAction) {
        let event = match action {
            GroupAction::Probe { member, probe } => {
                let Some(handle) = self.member(&member) else {
                    return;
                };
                let sent = self.clock.now();
                match handle.client.status().await {
                    Ok(status) => {
                        self.report_status(&status, sent);
                        GroupEvent::Status {
                            probe,
                            member,
                            status,
                        }
                    }
                    Err(error) => {
                        let failure = call_failure(&error);
                        GroupEvent::ProbeFailed {
                            probe,
                            member,
                            failure,
                        }
                    }
                }
            }
            GroupAction::Fence { member, term } => {
                let Some(handle) = self.member(&member) else {
                    return;
                };
                let result = handle.client.fence(term, &self.own_id).await;
                let result = result.map_err(|error| call_failure(&error));
                GroupEvent::FenceDone {
                    member,
                    term,
                    result,
                }
            }
            GroupAction::Promote { member, term } => {
                let Some(handle) = self.member(&member) else {
                    return;
                };
                let result = handle.client.promote(term, &self.own_id).await;
                let result = result.map_err(|error| call_failure(&error));
                GroupEvent::PromoteDone {
                    member,
                    term,
                    result,
                }
            }
            GroupAction::Follow {
                member,
                term,
                primary,
            } => {
                let Some(handle) = self.member(&member) else {
                    return;
                };
                let Some(target) = self.member(&primary) else {
                    return;
                };
                let address = target.client.address().to_owned();
                let result = handle.client.follow(term, &self.own_id, &address).await;
                let result = result.map_err(|error| call_failure(&error));
                GroupEvent::FollowDone {
                    member,
                    term,
                    result,
                }
            }
        };
        self.handle_event(event);
    }

    fn report_status(&self, status: &GroupStatus, sent: MonotonicTime) {
        if let Some(listener) = &*self.status_listener.borrow() {
            listener(status, sent);
        }
    }
}

/// Returns settings with infrequent health probes of replicas, which cause most of a gateway's
/// control cost. Positions of replicas also arrive with confirmations and with status queries of
/// reads.
fn monitor_settings() -> MonitorSettings {
    MonitorSettings::default().with_replica_probe_interval(REPLICA_PROBE_INTERVAL)
}

fn call_failure(error: &UpstreamError) -> CallFailure {
    if error.is_connection_refused() {
        CallFailure::Refused
    } else {
        CallFailure::NoResponse
    }
}
