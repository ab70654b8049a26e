//! Reactions of the group monitor to single events.

use std::time::Duration;

use coriander_core::{
    ControlReply, GroupStatus, LogPosition, MemberRole, MonotonicTime, TermNumber,
};
use coriander_failover::{
    CallFailure, GroupAction, GroupEvent, GroupMember, GroupMonitor, MonitorSettings,
    PromotionCause,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn position(term: u64, index: u64) -> LogPosition {
    LogPosition::new(TermNumber::new(term), index)
}

fn member(name: &str) -> GroupMember {
    let (id, zone) = (
        name.parse().expect("name"),
        "elefsina".parse().expect("name"),
    );
    GroupMember {
        id,
        zone,
        is_leaving: false,
        is_zone_out: false,
    }
}

/// A monitor of the members a, b and c whose time and replies the test sets.
struct MonitorFixture {
    monitor: GroupMonitor,
    now: MonotonicTime,
    random: SmallRng,
}

impl MonitorFixture {
    /// Starts with the primary `a` of term 1 and equal logs.
    fn new() -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let settings = MonitorSettings::default();
        let mut monitor = GroupMonitor::new("prices".parse().expect("name"), settings, now);
        monitor.set_members(&["a", "b", "c"].map(member), now);
        monitor.set_rank(Some(0), now);
        let mut fixture = Self {
            monitor,
            now,
            random: SmallRng::seed_from_u64(7),
        };
        fixture.reply_to_probes(&[
            ("a", 1, MemberRole::Primary, position(1, 5)),
            REPLICA_B,
            REPLICA_C,
        ]);
        fixture.reply_to_probes(&[
            ("a", 1, MemberRole::Primary, position(1, 5)),
            REPLICA_B,
            REPLICA_C,
        ]);
        assert_eq!(fixture.primary(), Some(("a".into(), 1)));
        fixture
    }

    fn primary(&self) -> Option<(String, u64)> {
        self.monitor
            .primary()
            .map(|view| (view.member.to_string(), view.term.get()))
    }

    fn handle(&mut self, event: GroupEvent) -> Vec<GroupAction> {
        self.monitor.handle(event, self.now, &mut self.random)
    }

    fn tick_after(&mut self, millis: u64) -> Vec<GroupAction> {
        self.now = self.now + Duration::from_millis(millis);
        self.handle(GroupEvent::Tick)
    }

    /// Advances the time by a probe interval and replies to the probes of the given members.
    fn reply_to_probes(&mut self, replies: &[ProbeReply]) -> Vec<GroupAction> {
        let mut actions = self.tick_after(100);
        for action in actions.clone() {
            let GroupAction::Probe { member, probe } = action else {
                continue;
            };
            let Some(&(_, term, role, log)) = replies.iter().find(|a| a.0 == member.as_str())
            else {
                continue;
            };
            let (term, primary) = (TermNumber::new(term), None);
            let status = GroupStatus {
                member: member.clone(),
                term,
                role,
                log,
                primary,
            };
            actions.extend(self.handle(GroupEvent::Status {
                probe,
                member,
                status,
            }));
        }
        actions
    }

    fn reply_to_fence(
        &mut self,
        name: &str,
        term: u64,
        reply: (bool, u64, LogPosition),
    ) -> Vec<GroupAction> {
        let (accepted, reply_term, log) = reply;
        let result = Ok(ControlReply {
            accepted,
            term: TermNumber::new(reply_term),
            log,
        });
        let member = name.parse().expect("name");
        self.handle(GroupEvent::FenceDone {
            member,
            term: TermNumber::new(term),
            result,
        })
    }
}

type ProbeReply = (&'static str, u64, MemberRole, LogPosition);

const REPLICA_B: ProbeReply = (
    "b",
    1,
    MemberRole::Replica,
    LogPosition::new(TermNumber::new(1), 5),
);
const REPLICA_C: ProbeReply = (
    "c",
    1,
    MemberRole::Replica,
    LogPosition::new(TermNumber::new(1), 5),
);

fn count_fences(actions: &[GroupAction]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, GroupAction::Fence { .. }))
        .count()
}

fn find_promotion(actions: &[GroupAction]) -> Option<(String, u64)> {
    actions.iter().find_map(|action| match action {
        GroupAction::Promote { member, term } => Some((member.to_string(), term.get())),
        _ => None,
    })
}

/// Guards against a slow promotion of an empty primary, and against counting it as fenced.
#[test]
fn handle_primary_restarted_empty() {
    let mut fixture = MonitorFixture::new();
    let actions = fixture.reply_to_probes(&[
        ("a", 0, MemberRole::Fenced, position(0, 0)),
        REPLICA_B,
        REPLICA_C,
    ]);
    assert_eq!(count_fences(&actions), 3, "fences without delay");
    assert_eq!(fixture.monitor.cause(), Some(PromotionCause::RoleLost));
    fixture.reply_to_fence("a", 2, (true, 2, position(0, 0)));
    let actions = fixture.reply_to_fence("c", 2, (true, 2, position(1, 4)));
    assert_eq!(
        find_promotion(&actions),
        None,
        "the empty member must not complete a majority"
    );
    let actions = fixture.reply_to_fence("b", 2, (true, 2, position(1, 5)));
    assert_eq!(find_promotion(&actions), Some(("b".into(), 2)));
}

/// Guards against locks that a lost gateway's transactions hold until the members' idle limit, and
/// against moving the primary although only its streams have to be closed.
#[test]
fn handle_gateway_replaced() {
    let mut fixture = MonitorFixture::new();
    let actions = fixture.handle(GroupEvent::GatewayReplaced);
    assert_eq!(count_fences(&actions), 3);
    assert_eq!(fixture.monitor.cause(), Some(PromotionCause::GatewayLost));
    fixture.reply_to_fence("b", 2, (true, 2, position(1, 5)));
    let actions = fixture.reply_to_fence("a", 2, (true, 2, position(1, 5)));
    assert_eq!(find_promotion(&actions), Some(("a".into(), 2)));
}

/// Guards against a primary that resumes without entries that it had reported.
#[test]
fn handle_primary_restarted_behind() {
    let mut fixture = MonitorFixture::new();
    fixture.reply_to_probes(&[
        ("a", 1, MemberRole::Primary, position(1, 3)),
        REPLICA_B,
        REPLICA_C,
    ]);
    assert_eq!(fixture.monitor.cause(), Some(PromotionCause::EntriesLost));
}

/// Guards against votes and statuses of an earlier term.
#[test]
fn handle_ignores_late_replies() {
    let mut fixture = MonitorFixture::new();
    fixture.reply_to_probes(&[
        ("a", 1, MemberRole::Replica, position(1, 5)),
        REPLICA_B,
        REPLICA_C,
    ]);
    fixture.reply_to_fence("b", 2, (false, 4, position(1, 5)));
    let actions = fixture.reply_to_fence("c", 2, (false, 4, position(1, 5)));
    assert_eq!(find_promotion(&actions), None);
    let mut fenced = Vec::new();
    while count_fences(&fenced) == 0 {
        fenced = fixture.reply_to_probes(&[REPLICA_B, REPLICA_C]);
    }
    assert!(
        fenced
            .iter()
            .any(|action| matches!(action, GroupAction::Fence { term, .. } if term.get() == 5))
    );
    fixture.reply_to_fence("b", 2, (true, 2, position(1, 5)));
    let actions = fixture.reply_to_fence("c", 2, (true, 2, position(1, 5)));
    assert_eq!(
        find_promotion(&actions),
        None,
        "votes of term 2 do not count in term 5"
    );
}

/// Guards against a second candidate in one term when the first one fails.
#[test]
fn handle_candidate_refuses_connection() {
    let mut fixture = MonitorFixture::new();
    fixture.reply_to_probes(&[
        ("a", 1, MemberRole::Fenced, position(1, 5)),
        REPLICA_B,
        REPLICA_C,
    ]);
    fixture.reply_to_fence("b", 2, (true, 2, position(1, 6)));
    let actions = fixture.reply_to_fence("c", 2, (true, 2, position(1, 5)));
    assert_eq!(find_promotion(&actions), Some(("b".into(), 2)));
    let (member, term) = ("b".parse().expect("name"), TermNumber::new(2));
    let result = Err(CallFailure::Refused);
    let actions = fixture.handle(GroupEvent::PromoteDone {
        member,
        term,
        result,
    });
    assert_eq!(find_promotion(&actions), None);
    assert!(
        actions
            .iter()
            .all(|action| !matches!(action, GroupAction::Fence { term, .. } if term.get() != 3))
    );
    assert_eq!(count_fences(&actions), 3);
}

/// Guards against a term that stays without a primary because its proposer stopped after fencing.
#[test]
fn handle_later_term_without_primary() {
    let mut fixture = MonitorFixture::new();
    let fenced = [
        ("a", 1, MemberRole::Primary, position(1, 5)),
        ("b", 2, MemberRole::Fenced, position(1, 5)),
        ("c", 2, MemberRole::Fenced, position(1, 5)),
    ];
    let mut rounds = 0;
    while count_fences(&fixture.reply_to_probes(&fenced)) == 0 {
        rounds += 1;
        assert!(rounds < 6, "the term must not stay without a primary");
    }
    assert!(rounds >= 2, "the other proposer has time to finish");
}

/// Guards against a majority of a list that omits unreachable members.
#[test]
fn set_members_never_shrinks_group() {
    let mut fixture = MonitorFixture::new();
    fixture.monitor.set_members(&[member("b")], fixture.now);
    fixture.reply_to_probes(&[
        ("a", 1, MemberRole::Fenced, position(1, 5)),
        REPLICA_B,
        REPLICA_C,
    ]);
    let actions = fixture.reply_to_fence("b", 2, (true, 2, position(1, 5)));
    assert_eq!(
        find_promotion(&actions),
        None,
        "one of three members is not a majority"
    );
}

/// Guards against a promotion of a member that is behind an acknowledged position.
#[test]
fn record_acknowledged_bounds_candidates() {
    let mut fixture = MonitorFixture::new();
    fixture
        .monitor
        .record_acknowledged(position(1, 9), fixture.now);
    fixture.reply_to_probes(&[
        ("a", 1, MemberRole::Fenced, position(1, 9)),
        REPLICA_B,
        REPLICA_C,
    ]);
    fixture.reply_to_fence("b", 2, (true, 2, position(1, 5)));
    let actions = fixture.reply_to_fence("c", 2, (true, 2, position(1, 5)));
    assert_eq!(find_promotion(&actions), None);
    fixture.reply_to_fence("a", 2, (true, 2, position(1, 9)));
    assert_eq!(
        find_promotion(&fixture.tick_after(100)),
        Some(("a".into(), 2))
    );
}

/// Guards against a promotion because of a pause of the monitor's own process.
#[test]
fn handle_local_pause() {
    let mut fixture = MonitorFixture::new();
    fixture.tick_after(100);
    assert_eq!(count_fences(&fixture.tick_after(5_000)), 0);
    assert_eq!(fixture.monitor.cause(), None);
}

/// Guards against a planned promotion to a member whose log is shorter than the primary's.
#[test]
fn handle_planned_waits_for_target() {
    let mut fixture = MonitorFixture::new();
    let ahead = ("a", 1, MemberRole::Primary, position(1, 8));
    fixture.reply_to_probes(&[ahead, REPLICA_B, REPLICA_C]);
    let mut members = ["a", "b", "c"].map(member);
    members[0].is_leaving = true;
    fixture.monitor.set_members(&members, fixture.now);
    for _ in 0..5 {
        assert_eq!(
            count_fences(&fixture.reply_to_probes(&[ahead, REPLICA_B, REPLICA_C])),
            0
        );
        assert!(fixture.monitor.accepts_writes());
    }
    let caught_up = ("b", 1, MemberRole::Replica, position(1, 8));
    fixture.reply_to_probes(&[ahead, caught_up, REPLICA_C]);
    assert!(
        !fixture.monitor.accepts_writes(),
        "writes wait while the target catches up"
    );
    assert_eq!(
        count_fences(&fixture.reply_to_probes(&[ahead, caught_up, REPLICA_C])),
        3
    );
}
