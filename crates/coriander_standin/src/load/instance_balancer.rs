//! Client-side stand-in for the platform's load balancer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::process::HttpClient;

const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Chooses an instance for each request among those that report ready.
pub struct InstanceBalancer {
    instances: Vec<SocketAddr>,
    ready_instances: RefCell<Vec<SocketAddr>>,
    is_running: Cell<bool>,
}

impl InstanceBalancer {
    /// Creates a balancer that treats all instances as ready until the first check.
    pub fn new(instances: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Self {
            ready_instances: RefCell::new(instances.clone()),
            instances,
            is_running: Cell::new(true),
        })
    }

    /// Returns a random ready instance, or any if none is ready.
    pub fn choose(&self) -> SocketAddr {
        let ready = self.ready_instances.borrow();
        let mut rng = rand::rng();
        let chosen = ready.choose(&mut rng).or(self.instances.choose(&mut rng));
        *chosen.expect("at least one instance")
    }

    /// Checks the readiness of every instance periodically until the balancer is stopped.
    pub async fn run_checks(self: Rc<Self>) {
        let client = HttpClient::create(CHECK_INTERVAL).await;
        while self.is_running.get() {
            for address in &self.instances {
                let (balancer, client, address) = (self.clone(), client.clone(), *address);
                ntex::rt::spawn(async move {
                    let reply = client.get(&format!("http://{address}/ready")).await;
                    balancer
                        .record_readiness(address, reply.is_ok_and(|reply| reply.status == 200));
                });
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Stops the checks.
    pub fn stop(&self) {
        self.is_running.set(false);
    }

    fn record_readiness(&self, address: SocketAddr, is_ready: bool) {
        let mut ready = self.ready_instances.borrow_mut();
        ready.retain(|found| *found != address);
        if is_ready {
            ready.push(address);
        }
    }
}
