//! Entry of this instance into the fleet, its leave, and the removal of lost members.

use std::rc::Rc;
use std::time::Duration;

use coriander_config::{ChangeCommand, ChangeRequest, ChangeResult};
use coriander_core::{FleetMember, InstanceId};
use rand::Rng;

use super::ConfigService;

/// Least pause before a refused or lost fleet change is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Attempts to leave; the others remove a member that could not do it by itself.
const LEAVE_ATTEMPTS: usize = 5;

/// Adds this instance to the fleet and returns once the fleet has it.
pub async fn join_fleet(service: Rc<ConfigService>, member: FleetMember) {
    let own = service.parts.own_id.clone();
    while !service.document().fleet.contains_key(&own) {
        let command = ChangeCommand::JoinFleet {
            instance: own.clone(),
            member: member.clone(),
        };
        let result = submit(&service, command).await;
        match result {
            ChangeResult::Accepted { version } | ChangeResult::Unconfirmed { version, .. } => {
                log::info!("config: joined the fleet at version {version}");
            }
            other => log::debug!("config: join not recorded yet: {other:?}"),
        }
        pause().await;
    }
}

/// Removes this instance from the fleet before it ends.
pub async fn leave_fleet(service: &Rc<ConfigService>) {
    let own = service.parts.own_id.clone();
    for _ in 0..LEAVE_ATTEMPTS {
        if !service.document().fleet.contains_key(&own) {
            return;
        }
        let command = ChangeCommand::LeaveFleet {
            instance: own.clone(),
        };
        if let ChangeResult::Accepted { version } = submit(service, command).await {
            log::info!("config: left the fleet at version {version}");
            return;
        }
        pause().await;
    }
}

/// Removes members that have not been heard for long.
///
/// `lost` returns such members, and only on the instance that is responsible for removing them.
pub async fn remove_silent_members(
    service: Rc<ConfigService>,
    lost: Box<dyn Fn() -> Vec<InstanceId>>,
) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        for instance in lost() {
            let command = ChangeCommand::LeaveFleet {
                instance: instance.clone(),
            };
            let result = submit(&service, command).await;
            log::info!("config: removal of lost instance {instance}: {result:?}");
        }
    }
}

async fn submit(service: &Rc<ConfigService>, change: ChangeCommand) -> ChangeResult {
    let request = ChangeRequest {
        change_id: format!("{:032x}", rand::random::<u128>()),
        author: service.parts.own_id.to_string(),
        expected: service.version(),
        change,
    };
    service.change(request).await
}

/// Waits a random time, because several instances often join or leave together.
async fn pause() {
    let extra = rand::rng().random_range(0..300);
    tokio::time::sleep(RETRY_PAUSE + Duration::from_millis(extra)).await;
}
