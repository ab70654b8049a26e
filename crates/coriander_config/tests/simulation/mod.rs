//! Runs the state machines of several instances through a history of faults and changes.

pub mod checks;
pub mod fleet_simulation;
pub mod node;
pub mod platform;

use coriander_config::ChangeCommand;
use coriander_config::digest_key;
use proptest::prelude::*;

use node::{fleet_member, node_id};

/// Instances in a simulation; the first ones form the initial fleet.
pub const NODES: usize = 5;

/// One event of a history.
#[derive(Clone, Debug)]
pub enum Step {
    /// Separates the instances of the mask from the others.
    Partition(u8),
    /// Disconnects the instances of the mask from the platform.
    DisconnectPlatform(u8),
    /// Ends all partitions and losses.
    Heal,
    /// Stops or starts the platform.
    PlatformDown(bool),
    /// Sets the percentage of lost messages and responses.
    SetLoss(u8),
    /// Pauses an instance for some milliseconds.
    Pause(usize, u64),
    /// Restarts an instance without its state.
    Restart(usize),
    /// An operator makes a change through an instance.
    Change(usize, u8),
    /// Two operators who expect the same version make changes at once.
    ConcurrentChanges(usize, usize, u8),
}

/// A rule that the simulated fleet breaks to show that the checks detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenRule {
    /// A change counts as accepted when it is recorded.
    SkipConfirmation,
    /// A restarted instance confirms every version that it has fetched.
    CountRestarted,
    /// The clock of an instance stops while it is paused.
    ClockStopsInPause,
}

pub fn any_steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let node = 0..NODES;
    let step = prop_oneof![
        3 => any::<u8>().prop_map(Step::Partition),
        2 => any::<u8>().prop_map(Step::DisconnectPlatform),
        3 => Just(Step::Heal),
        2 => any::<bool>().prop_map(Step::PlatformDown),
        1 => (0..40u8).prop_map(Step::SetLoss),
        2 => (node.clone(), 100..5000u64).prop_map(|(node, time)| Step::Pause(node, time)),
        3 => node.clone().prop_map(Step::Restart),
        6 => (node.clone(), any::<u8>()).prop_map(|(node, kind)| Step::Change(node, kind)),
        3 => (node.clone(), node, any::<u8>())
            .prop_map(|(a, b, kind)| Step::ConcurrentChanges(a, b, kind)),
    ];
    prop::collection::vec((10..1200u64, step), 5..40)
}

/// Chooses a change; `serial` makes new keys distinct.
pub fn choose_command(kind: u8, serial: usize) -> ChangeCommand {
    let index = usize::from(kind / 8) % NODES;
    let instance = node_id(index);
    let zone = format!("z{}", index % 3).parse().expect("valid name");
    match kind % 8 {
        0 => give_key(serial),
        1 | 2 => ChangeCommand::WithdrawKey {
            key_id: format!("k{}", serial.saturating_sub(1 + index)),
        },
        3 => ChangeCommand::ZoneOut { zone },
        4 => ChangeCommand::ZoneIn { zone },
        5 => ChangeCommand::LeaveFleet { instance },
        _ => ChangeCommand::JoinFleet {
            instance,
            member: fleet_member(index),
        },
    }
}

pub fn give_key(serial: usize) -> ChangeCommand {
    ChangeCommand::GiveKey {
        account: "orders".parse().expect("valid name"),
        key_id: format!("k{serial}"),
        digest: digest_key(&format!("secret{serial}")),
    }
}
