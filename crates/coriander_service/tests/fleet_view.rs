//! Choice of home instances while the list of instances changes, without a network.

use coriander_service::{FleetView, MemberLocation};
use coriander_service_api::InstanceEntry;

const ZONES: [&str; 3] = ["berrechid", "ain-sebaa", "mohammedia"];

const MEMBERS: usize = 9;

fn instance(number: usize, created: u64) -> InstanceEntry {
    InstanceEntry {
        id: format!("instance-{number}").into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 7560).into(),
        zone: ZONES[number % ZONES.len()].into(),
        created,
    }
}

/// Returns the home instances of members in all zones, each for a few accounts.
fn homes(view: &FleetView) -> Vec<Option<InstanceEntry>> {
    let members = (0..MEMBERS).map(|number| (format!("i-{number}"), ZONES[number % ZONES.len()]));
    let homes = members.flat_map(|(id, zone)| {
        let location = MemberLocation {
            id: &id,
            zone,
            connections: 48,
        };
        let accounts = ["north", "south", "east", "west"];
        accounts.map(|account| view.home_instance(&location, account, |_| true))
    });
    homes.collect()
}

/// Returns what an instance that has only this list chooses.
fn chosen_afresh(instances: &[InstanceEntry], leaving: &[&str]) -> Vec<Option<InstanceEntry>> {
    let mut view = FleetView::default();
    view.apply(instances);
    for name in leaving {
        view.set_leaving(name);
    }
    homes(&view)
}

#[test]
fn apply_chooses_the_same_homes_as_an_instance_that_starts() {
    // Homes are kept over changes of the list; instances that disagree about them would open
    // connections to a member twice.
    for size in [30, 300, 2_100] {
        let mut view = FleetView::default();
        let mut instances: Vec<_> = (0..size).map(|number| instance(number, 1)).collect();
        for round in 0..60_usize {
            match round % 5 {
                // One instance restarts, a third is killed, all of a zone are, or they are back.
                0 => {
                    let number = round * 37 % instances.len();
                    instances[number].created += 10;
                }
                1 => {
                    instances.remove(round * 53 % instances.len());
                }
                2 if round % 10 == 2 => instances.retain(|entry| entry.created % 3 != 1),
                2 => instances.retain(|entry| &*entry.zone != ZONES[round % 3]),
                3 => instances.push(instance(size + round, round as u64)),
                _ => {
                    let all = (0..size).map(|number| instance(number, round as u64));
                    instances = all.collect();
                }
            }
            view.apply(&instances);
            assert_eq!(
                homes(&view),
                chosen_afresh(&instances, &[]),
                "{size}, round {round}"
            );
        }
    }
}

#[test]
fn apply_gives_an_instance_that_left_its_homes_back_when_it_returns() {
    // Guards against homes that were chosen without an instance that announced its shutdown.
    let instances: Vec<_> = (0..30).map(|number| instance(number, 1)).collect();
    let mut view = FleetView::default();
    view.apply(&instances);
    let before = homes(&view);
    let home = before[0].clone().expect("a home");
    view.set_leaving(&home.id);
    assert_eq!(homes(&view), chosen_afresh(&instances, &[&home.id]));
    let mut others = instances.clone();
    others.push(instance(31, 1));
    view.apply(&others);
    assert_eq!(homes(&view), chosen_afresh(&others, &[&home.id]));
    for entry in &mut others {
        if entry.id == home.id {
            entry.created = 2;
        }
    }
    view.apply(&others);
    assert_eq!(homes(&view), chosen_afresh(&others, &[]));
    // A list without any instance, and one after it.
    view.apply(&[]);
    assert!(homes(&view).iter().all(Option::is_none));
    view.apply(&instances);
    assert_eq!(homes(&view), before);
}

#[test]
fn member_rank_counts_the_instances_before() {
    // Guards against ranks that give two instances the same share of a cold member.
    let instances: Vec<_> = (0..30).map(|number| instance(number, 1)).collect();
    let mut view = FleetView::default();
    assert_eq!(view.member_rank("i-1", "instance-1"), (0, 1));
    view.apply(&instances);
    let ranks = instances
        .iter()
        .map(|entry| view.member_rank("i-1", &entry.id));
    let mut ranks: Vec<_> = ranks.collect();
    ranks.sort_unstable();
    assert!(ranks.into_iter().eq((0..30).map(|rank| (rank, 30))));
    assert_eq!(view.member_rank("i-1", "other"), (0, 30));
}
