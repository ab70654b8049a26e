//! Tests of liveness, notices, heartbeat targets and draining.

use std::time::Duration;

use coriander_core::{ConfigDocument, FleetMember, InstanceId, MonotonicTime};
use coriander_membership::{
    DrainCause, DrainState, Heartbeat, HeartbeatError, InstanceState, OwnStatus, PeerChange,
    PeerTable, RankTable, WorkAdmission,
};
use proptest::prelude::*;

fn id(number: usize) -> InstanceId {
    format!("i-{number}").parse().expect("valid name")
}

fn millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn fleet(count: usize, zones: usize) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for number in 0..count {
        let member = FleetMember {
            zone: format!("zone-{}", number % zones)
                .parse()
                .expect("valid name"),
            peer_address: ([127, 0, 0, 1], 7000).into(),
            draining: false,
        };
        document.fleet.insert(id(number), member);
    }
    document
}

fn table(own: usize, document: &ConfigDocument) -> PeerTable {
    let mut table = PeerTable::new(id(own));
    table.apply_document(document, millis(0));
    table
}

fn next_heartbeat(table: &mut PeerTable, now: MonotonicTime) -> Heartbeat {
    let status = OwnStatus::default();
    table.next_heartbeat(status, now).expect("a round is due")
}

#[test]
fn handle_heartbeat_rejects_old_and_unknown() {
    // Guards against a late datagram that returns a draining instance to service.
    let document = fleet(6, 3);
    let (mut a, mut b) = (table(0, &document), table(1, &document));
    let first = next_heartbeat(&mut b, millis(10));
    let mut second = next_heartbeat(&mut b, millis(300));
    second.state = InstanceState::Draining;
    let status = OwnStatus::default();
    assert!(a.handle_heartbeat(&second, status, millis(301)).is_ok());
    let late = a.handle_heartbeat(&first, status, millis(302));
    assert_eq!(late, Err(HeartbeatError::OldSequence));
    assert_eq!(a.state(&id(1)), Some(InstanceState::Draining));
    let unknown_sender = Heartbeat {
        instance: id(77),
        ..first
    };
    let unknown = a.handle_heartbeat(&unknown_sender, status, millis(303));
    assert_eq!(unknown, Err(HeartbeatError::UnknownSender));
}

#[test]
fn advance_reports_timeout_and_return_once() {
    let document = fleet(6, 3);
    let (mut a, mut b) = (table(0, &document), table(1, &document));
    let mut failed_at = None;
    for step in 1..200 {
        let now = millis(step * 50);
        // The peer is paused between 3 s and 6 s; all others never send.
        if !(60..120).contains(&step) && b.next_round() <= now {
            let heartbeat = next_heartbeat(&mut b, now);
            let _ = a.handle_heartbeat(&heartbeat, OwnStatus::default(), now);
        }
        for PeerChange { instance, live, .. } in a.advance(now) {
            if instance == id(1) {
                assert_eq!(live, failed_at.is_some(), "each change is reported once");
                failed_at.get_or_insert(now);
            }
        }
    }
    let detection = failed_at.expect("timeout detected").since(millis(2_950));
    assert!(detection <= Duration::from_millis(1_000), "{detection:?}");
    assert!(a.is_live(&id(1)));
}

#[test]
fn notice_marks_peer_failed_unless_heartbeats_arrive() {
    // Guards against one instance with a broken link that removes a healthy peer from the ranks.
    let document = fleet(6, 3);
    let (mut a, mut b) = (table(0, &document), table(1, &document));
    let mut c = table(2, &document);
    // Later than the time in which a configuration reaches all instances.
    let now = millis(5_000);
    let heartbeat = next_heartbeat(&mut c, now);
    a.handle_heartbeat(&heartbeat, OwnStatus::default(), now)
        .expect("accepted");
    assert_eq!(b.advance(now).len(), 5);
    let later_heartbeat = next_heartbeat(&mut b, now);
    assert!(!later_heartbeat.notices.is_empty());
    a.handle_heartbeat(&later_heartbeat, OwnStatus::default(), now)
        .expect("accepted");
    a.advance(now);
    assert!(a.is_live(&id(2)), "its heartbeats arrive");
    assert!(!a.is_live(&id(3)));
}

#[test]
fn handle_ack_measures_delay() {
    let document = fleet(6, 3);
    let (mut a, mut b) = (table(0, &document), table(1, &document));
    let heartbeat = next_heartbeat(&mut a, millis(1_000));
    let status = OwnStatus::default();
    let ack = b
        .handle_heartbeat(&heartbeat, status, millis(77))
        .expect("accepted");
    a.handle_ack(&ack, millis(1_006)).expect("accepted");
    assert_eq!(a.delay(&id(1)), Some(Duration::from_millis(3)));
}

#[test]
fn heartbeat_targets_are_few_in_large_fleet() {
    // Guards against control traffic that grows with the square of the fleet size.
    let document = fleet(400, 10);
    let mut ranks = RankTable::new();
    ranks.apply_document(&document, millis(0));
    let mut received = vec![0; 400];
    for number in 0..400 {
        let targets = table(number, &document).heartbeat_targets(&mut ranks);
        assert!(targets.len() <= 25, "{}", targets.len());
        for (target, _) in targets {
            received[target.as_str()[2..].parse::<usize>().expect("a number")] += 1;
        }
    }
    assert!(received.iter().all(|count| (3..=70).contains(count)));
}

#[test]
fn drain_state_follows_limits() {
    let mut drain = DrainState::new();
    assert_eq!(drain.admission(millis(5)), WorkAdmission::Serve);
    drain.begin(DrainCause::ZoneOut, millis(1_000));
    assert!(!drain.is_ready());
    assert_eq!(drain.admission(millis(3_999)), WorkAdmission::Forward);
    assert_eq!(drain.admission(millis(4_000)), WorkAdmission::Refuse);
    // Guards against an interrupted request (G13) and against an instance that never stops.
    assert!(!drain.is_finished(1, millis(30_000)));
    assert!(drain.is_finished(1, millis(31_000)));
    drain.end(DrainCause::ZoneOut);
    assert_eq!(drain.state(0, millis(40_000)), InstanceState::Serving);
    drain.begin(DrainCause::Terminated, millis(50_000));
    drain.begin(DrainCause::Operator, millis(52_000));
    drain.end(DrainCause::Terminated);
    drain.end(DrainCause::Operator);
    assert!(
        drain.is_terminating() && !drain.is_ready(),
        "termination is not revoked"
    );
    assert_eq!(drain.state(0, millis(53_000)), InstanceState::Stopped);
}

proptest! {
    // Guards against timeouts of a live peer caused by jitter of half a period and single losses.
    #[test]
    fn advance_tolerates_jitter_and_single_loss(seed in any::<u64>()) {
        let document = fleet(2, 2);
        let (mut a, mut b) = (table(0, &document), table(1, &document));
        let mut random = seed | 1;
        let mut lost = true;
        let mut arrivals = Vec::new();
        for round in 1..300u64 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let heartbeat = next_heartbeat(&mut b, millis(round * 200));
            lost = !lost && random >> 60 == 0;
            if !lost {
                arrivals.push((round * 200 + (random >> 33) % 100, heartbeat));
            }
        }
        for (time, heartbeat) in arrivals {
            let before = a.advance(millis(time));
            prop_assert!(before.is_empty(), "{:?}", before);
            let _ = a.handle_heartbeat(&heartbeat, OwnStatus::default(), millis(time));
        }
    }
}

#[test]
fn alternating_heartbeats_cause_no_timeout_at_watcher() {
    // Guards against a watcher that treats the heartbeats of the alternate rounds as lost.
    let document = fleet(60, 3);
    let mut ranks = RankTable::new();
    ranks.apply_document(&document, millis(0));
    let zone = "zone-0".parse().expect("valid name");
    let watchers = ranks.watchers(&zone);
    let number = |id: &InstanceId| id.as_str()[2..].parse::<usize>().expect("a number");
    let own = number(&watchers[0]);
    let mut watcher = table(own, &document);
    let mut peers: Vec<PeerTable> = (0..60).map(|number| table(number, &document)).collect();
    let mut received = 0;
    for step in 0..400 {
        let now = millis(step * 50);
        for peer in &mut peers {
            let Some(heartbeat) = peer.next_heartbeat(OwnStatus::default(), now) else {
                continue;
            };
            let targets = peer.heartbeat_targets(&mut ranks);
            if targets.iter().any(|(target, _)| *target == id(own)) {
                let ack = watcher.handle_heartbeat(&heartbeat, OwnStatus::default(), now);
                received += usize::from(ack.is_ok());
            }
        }
        assert!(watcher.advance(now).is_empty());
    }
    // In 20 s there are 50 rounds: 18 instances of its zone and 2 other zones send every second
    // round; its ring predecessors and the other watcher send in each round.
    assert!((450..800).contains(&received), "{received}");
}

/// Instances that exchange heartbeats without loss; stopped ones neither send nor receive.
struct HeartbeatNetwork {
    tables: Vec<PeerTable>,
    ranks: Vec<RankTable>,
    stopped: Vec<usize>,
    changes: Vec<(usize, PeerChange)>,
}

impl HeartbeatNetwork {
    fn new(count: usize, document: &ConfigDocument) -> Self {
        let mut network = Self {
            tables: (0..count).map(|own| table(own, document)).collect(),
            ranks: vec![RankTable::new(); count],
            stopped: Vec::new(),
            changes: Vec::new(),
        };
        network.apply(document, millis(0));
        network
    }

    fn apply(&mut self, document: &ConfigDocument, now: MonotonicTime) {
        for (table, ranks) in self.tables.iter_mut().zip(&mut self.ranks) {
            table.apply_document(document, now);
            ranks.apply_document(document, now);
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        let status = OwnStatus::default();
        for now in (from..to).step_by(50).map(millis) {
            for own in 0..self.tables.len() {
                for change in self.tables[own].advance(now) {
                    self.ranks[own].apply_change(&change);
                    self.changes.push((own, change));
                }
                if self.stopped.contains(&own) {
                    continue;
                }
                let Some(heartbeat) = self.tables[own].next_heartbeat(status, now) else {
                    continue;
                };
                for (target, _) in self.tables[own].heartbeat_targets(&mut self.ranks[own]) {
                    let target = target.as_str()[2..].parse::<usize>().expect("a number");
                    if self.stopped.contains(&target) {
                        continue;
                    }
                    let ack = self.tables[target].handle_heartbeat(&heartbeat, status, now);
                    if let Ok(ack) = ack {
                        // A peer that has left the fleet here may still reply.
                        let _ = self.tables[own].handle_ack(&ack, now);
                    }
                }
            }
        }
    }
}

#[test]
fn fleet_change_causes_no_timeout_of_live_peers() {
    // Guards against a former ring neighbor or watcher that reports peers as timed out because
    // they no longer send to it.
    let all = fleet(60, 3);
    let mut document = all.clone();
    for number in 40..60 {
        document.fleet.remove(&id(number));
    }
    let mut network = HeartbeatNetwork::new(60, &document);
    network.run(0, 5_000);
    for step in 0..20 {
        let (joins, leaves) = (40 + step, step);
        document
            .fleet
            .insert(id(joins), all.fleet[&id(joins)].clone());
        document.fleet.remove(&id(leaves));
        let now = 5_000 + step as u64 * 1_000;
        network.apply(&document, millis(now));
        network.run(now, now + 1_000);
    }
    network.run(25_000, 35_000);
    assert_eq!(network.changes, []);
}

#[test]
fn stopped_instance_times_out_at_all_instances() {
    // Guards against ranks that keep a failed instance at instances that received no heartbeats
    // from it.
    let document = fleet(60, 3);
    let mut network = HeartbeatNetwork::new(60, &document);
    network.run(0, 5_000);
    network.stopped.push(7);
    network.run(5_000, 12_000);
    for (own, table) in network.tables.iter().enumerate() {
        assert_eq!(table.is_live(&id(7)), own == 7, "at {own}");
        let others = (0..60).filter(|other| *other != 7 && own != 7);
        assert!(
            others.map(id).all(|other| table.is_live(&other)),
            "at {own}"
        );
    }
}

#[test]
fn late_configuration_keeps_all_peers_live() {
    // Guards against live peers that stay marked as timed out after instances have applied a
    // fleet change up to 1 s apart.
    let all = fleet(60, 3);
    let mut document = all.clone();
    for number in 50..60 {
        document.fleet.remove(&id(number));
    }
    let mut network = HeartbeatNetwork::new(60, &document);
    network.run(0, 5_000);
    for step in 0..10 {
        document
            .fleet
            .insert(id(50 + step), all.fleet[&id(50 + step)].clone());
        document.fleet.remove(&id(step));
        let start = 5_000 + step as u64 * 2_000;
        for part in 0..20 {
            let now = start + part as u64 * 50;
            for own in (0..60).filter(|own| own * 7 % 20 == part) {
                network.tables[own].apply_document(&document, millis(now));
                network.ranks[own].apply_document(&document, millis(now));
            }
            network.run(now, now + 50);
        }
        network.run(start + 1_000, start + 2_000);
    }
    println!("changes reported meanwhile: {}", network.changes.len());
    network.run(25_000, 35_000);
    for own in 10..60 {
        let table = &network.tables[own];
        let timed_out: Vec<usize> = (10..60)
            .filter(|other| !table.is_live(&id(*other)))
            .collect();
        assert_eq!(timed_out, [0; 0], "at {own}");
    }
}

#[test]
fn last_known_address_returns_address_of_departed_instance() {
    // An instance that leaves the fleet still has open transactions. If the others dropped its
    // address with the configuration that removes it, they would report those transactions as
    // lost.
    let document = fleet(3, 3);
    let mut table = table(0, &document);
    let mut smaller = document.clone();
    smaller.fleet.remove(&id(1));
    table.apply_document(&smaller, millis(1_000));
    assert_eq!(table.address(&id(1)), None, "it receives no new work");
    let address = Some(([127, 0, 0, 1], 7000).into());
    assert_eq!(table.last_known_address(&id(1), millis(30_000)), address);
    assert_eq!(table.last_known_address(&id(1), millis(31_001)), None);
    table.apply_document(&document, millis(32_000));
    assert_eq!(table.last_known_address(&id(1), millis(32_000)), address);
}
