//! Joining and leaving the fleet, and removing lost instances from it.

use std::rc::Rc;
use std::time::Duration;

use coriander_config::{ChangeCommand, ChangeRequest, ChangeResult};
use coriander_core::{FleetMember, InstanceId};
use rand::Rng;

use super::ConfigService;

/// Minimum delay before a refused or lost fleet change is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts to leave the fleet; if all fail, other instances remove this one as lost.
const LEAVE_ATTEMPTS: usize = 5;

/// Adds this instance to the fleet and returns once the fleet contains it.
pub async fn join_fleet(service: Rc<ConfigService>, member: FleetMember) {
    let own = service.context.own_id.clone();
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
        wait_before_retry().await;
    }
}

/// Removes this instance from the fleet before it ends.
pub async fn leave_fleet(service: &Rc<ConfigService>) {
    let own = service.context.own_id.clone();
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
        wait_before_retry().await;
    }
}

/// Removes lost instances from the fleet.
///
/// `lost_members` returns them only on the instance that is responsible for their removal.
pub async fn remove_lost_members(
    service: Rc<ConfigService>,
    lost_members: Box<dyn Fn() -> Vec<InstanceId>>,
) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        for instance in lost_members() {
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
        author: service.context.own_id.to_string(),
        expected: service.version(),
        change,
    };
    service.run_change(request).await
}

/// Waits a random time, because several instances often join or leave together.
async fn wait_before_retry() {
    let jitter = rand::rng().random_range(0..300);
    tokio::time::sleep(MIN_RETRY_DELAY + Duration::from_millis(jitter)).await;
}
