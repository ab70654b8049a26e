//! Plays the reads of three availability zones with one member each, and checks where they go. Each
//! test names the load that it answers.

use std::time::Duration;

use coriander_capacity::{
    CapacityBoard, ExchangeSample, PlacementCandidate, ReadCandidate, SampleOutcome,
    StatementClass, placement_order,
};
use coriander_core::{MonotonicTime, stable_hash};

const MEMBERS: [&str; 3] = ["a", "b", "c"];
const CLASS: StatementClass = StatementClass::new(1, false, false);
const WORK_MS: u64 = 20;
const SLOTS: usize = 4;
const PRIMARY: usize = 0;

/// Reads that a member can run in one play.
const ROOM: u64 = 2_000 / WORK_MS * SLOTS as u64;

/// One instance per zone; member `i` is in zone `i`, and member 0 is the primary.
struct PlayedZones {
    boards: [CapacityBoard; 3],
    /// Reads in progress: end and start in ms, zone, member, outcome.
    open: Vec<(u64, u64, usize, usize, SampleOutcome)>,
    /// When the slots of each member are free.
    slots: [[u64; SLOTS]; 3],
    refused: u32,
    now_ms: u64,
    /// Members that no read may use, by zone of the caller.
    left_out: Option<usize>,
    /// Reads by zone of the caller and by member.
    sent: [[u32; 3]; 3],
}

impl PlayedZones {
    fn new() -> Self {
        Self {
            boards: Default::default(),
            open: Vec::new(),
            slots: Default::default(),
            refused: 0,
            now_ms: 10_000,
            left_out: None,
            sent: Default::default(),
        }
    }

    /// Returns the members in the order in which a read tries them.
    fn choose(&mut self, zone: usize, account: u32, now: MonotonicTime) -> Vec<usize> {
        let targets: Vec<usize> = (0..3).filter(|i| Some(*i) != self.left_out).collect();
        let placed: Vec<_> = targets
            .iter()
            .map(|member| PlacementCandidate {
                is_own_zone: *member == zone,
                is_primary: *member == PRIMARY,
                affinity: stable_hash((account, MEMBERS[*member])),
            })
            .collect();
        let order = placement_order(&placed);
        let candidates: Vec<_> = order
            .iter()
            .map(|index| ReadCandidate {
                member: MEMBERS[targets[*index]],
                in_flight: 0,
                is_primary: targets[*index] == PRIMARY,
            })
            .collect();
        let by_room = self.boards[zone].order(&candidates, 3, now);
        by_room.iter().map(|index| targets[order[*index]]).collect()
    }

    /// Runs a read and returns whether it was accepted; a member with as many waiting reads as slots
    /// rejects it.
    fn run(&mut self, zone: usize, member: usize, now_ms: u64) -> bool {
        let now = MonotonicTime::from_millis(now_ms);
        self.boards[zone].begin(MEMBERS[member], now);
        let slots = &mut self.slots[member];
        let slot = (0..SLOTS).min_by_key(|slot| slots[*slot]).unwrap_or(0);
        let start = slots[slot].max(now_ms);
        let is_accepted = start - now_ms < WORK_MS;
        let (end, outcome) = if is_accepted {
            slots[slot] = start + WORK_MS;
            (start + WORK_MS, SampleOutcome::Served)
        } else {
            (now_ms + 1, SampleOutcome::Rejected)
        };
        self.open.push((end, now_ms, zone, member, outcome));
        is_accepted
    }

    fn finish(&mut self, now_ms: u64) {
        let now = MonotonicTime::from_millis(now_ms);
        let (ended, open): (Vec<_>, Vec<_>) = self.open.iter().partition(|read| read.0 <= now_ms);
        self.open = open;
        for (end, sent, zone, member, outcome) in ended {
            let sample = ExchangeSample {
                class: CLASS,
                outcome,
                latency: Duration::from_millis(end - sent),
            };
            self.boards[zone].record_local(MEMBERS[member], &sample, now);
            self.boards[zone].end(MEMBERS[member]);
        }
    }

    /// Plays reads from all zones for two seconds, `per_second` in each.
    fn play(&mut self, per_second: [u64; 3]) {
        self.sent = Default::default();
        self.refused = 0;
        for now_ms in self.now_ms..self.now_ms + 2_000 {
            let now = MonotonicTime::from_millis(now_ms);
            self.finish(now_ms);
            for (zone, rate) in per_second.into_iter().enumerate() {
                if now_ms * rate / 1_000 == (now_ms - 1) * rate / 1_000 {
                    continue;
                }
                let account = (now_ms % 17) as u32;
                let members = self.choose(zone, account, now);
                let mut tries = members.into_iter();
                match tries.find(|member| self.run(zone, *member, now_ms)) {
                    Some(member) => self.sent[zone][member] += 1,
                    None => self.refused += 1,
                }
            }
        }
        self.now_ms += 2_000;
    }

    /// Returns the share of the reads of a zone that stayed there.
    fn local_share(&self, zone: usize) -> f64 {
        let sum: u32 = self.sent[zone].iter().sum();
        f64::from(self.sent[zone][zone]) / f64::from(sum)
    }
}

#[test]
fn calm_zones_read_from_their_own_replica() {
    // Guards against reads that leave the zone while one statement is in flight there.
    let mut zones = PlayedZones::new();
    zones.play([60, 60, 60]);
    for zone in 1..3 {
        assert!(zones.local_share(zone) > 0.99, "{:?}", zones.sent);
    }
    assert_eq!(zones.refused, 0);
}

#[test]
fn full_replica_spills_over_and_keeps_its_share() {
    // Guards against a zone that overloads its replica, and against one that leaves it altogether.
    let mut zones = PlayedZones::new();
    zones.play([20, 400, 20]);
    let [at_primary, at_own, at_other] = zones.sent[1];
    assert!(
        at_own > at_other && at_other > at_primary,
        "{:?}",
        zones.sent
    );
    assert!(zones.local_share(1) > 0.4, "{:?}", zones.sent);
    assert!(zones.refused < 8, "1 % of the reads: {}", zones.refused);
    // The zone whose replica takes what spills over may use the primary, up to its room.
    let at_primary: u32 = zones.sent.iter().map(|sent| sent[PRIMARY]).sum();
    assert!(u64::from(at_primary) <= ROOM * 6 / 10, "{:?}", zones.sent);
}

#[test]
fn primary_keeps_room_for_writes() {
    // Guards against the callers in the zone of a primary filling it with reads of replicas.
    let mut zones = PlayedZones::new();
    zones.play([200, 20, 20]);
    let [at_primary, first, second] = zones.sent[0];
    assert!(u64::from(at_primary) <= ROOM * 6 / 10, "{:?}", zones.sent);
    assert!(
        at_primary > 100 && first > 30 && second > 30,
        "{:?}",
        zones.sent
    );
    assert_eq!(zones.refused, 0);
}

#[test]
fn zone_without_a_usable_member_spreads_accounts_over_replicas() {
    // Guards against a replica that lags or is down sending the reads of its zone to the primary.
    let mut zones = PlayedZones::new();
    zones.left_out = Some(1);
    zones.play([30, 30, 30]);
    assert_eq!(zones.sent[1][PRIMARY], 0, "{:?}", zones.sent);
    assert!(zones.local_share(2) > 0.99);
    zones.left_out = Some(PRIMARY);
    zones.play([30, 30, 30]);
    let [_, first, second] = zones.sent[0];
    assert!(first > 5 && second > 5, "{:?}", zones.sent);
}
