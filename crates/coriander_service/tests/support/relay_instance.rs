//! Instances that run exchanges for each other, over real sockets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_service::{
    BootClock, PeerSocket, RelayClient, RelayServer, ServiceSettings, SessionService,
};
use coriander_service_api::{ControlSnapshot, InstanceEntry, ReadFreshness, ServiceFeatures};
use coriander_wire::FrameCodec;
use tokio::net::{TcpListener, UdpSocket};

use super::{FakeGroup, config, snapshot};

/// An instance that listens to others.
pub struct RelayInstance {
    pub service: Rc<SessionService>,
    pub relay: Rc<RelayServer>,
    pub entry: InstanceEntry,
}

impl RelayInstance {
    pub async fn start(
        name: &str,
        zone: &str,
        features: ServiceFeatures,
        group: &Rc<FakeGroup>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let socket = UdpSocket::bind(address).await.expect("same port is free");
        let id = format!("{name}-a").parse().expect("valid name");
        let peers = Rc::new(PeerSocket::new(socket, name.into(), id, 1));
        let settings = ServiceSettings::new(name, zone, address).with_features(features);
        let service = SessionService::new(settings, group.clone(), peers);
        let relay = RelayServer::new(&service);
        ntex::rt::spawn(relay.clone().run(listener, service.clone()));
        ntex::rt::spawn(RelayClient::monitor(service.clone()));
        Self {
            service,
            relay,
            entry: InstanceEntry {
                id: name.into(),
                address,
                zone: zone.into(),
                created: 1,
            },
        }
    }

    /// Starts two instances that report usage; the members are in the zone of the second one only.
    pub async fn start_two(group: &Rc<FakeGroup>) -> (Self, Self) {
        let remote = Self::start("far", "ain-sebaa", usage_reports(), group).await;
        let home_instance = Self::start("home", "berrechid", usage_reports(), group).await;
        let entries = vec![remote.entry.clone(), home_instance.entry.clone()];
        let snapshot = fleet_snapshot(group, entries);
        for instance in [&remote, &home_instance] {
            instance.service.apply_snapshot(&snapshot, BootClock.now());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        (remote, home_instance)
    }

    /// Returns the codec of the fleet that the instance has joined.
    pub fn fleet_codec(&self) -> FrameCodec {
        let key = *self.service.fleet_key.borrow();
        FrameCodec::new(&key.expect("the secret has been read"))
    }
}

pub fn usage_reports() -> ServiceFeatures {
    ServiceFeatures {
        usage_reports: true,
        ..ServiceFeatures::default()
    }
}

/// Returns a snapshot with a secret of the fleet.
pub fn fleet_snapshot(group: &FakeGroup, instances: Vec<InstanceEntry>) -> ControlSnapshot {
    let mut snapshot = snapshot(config(1, ReadFreshness::Newest), group.entries());
    snapshot.instances = instances;
    let secret: Arc<[u8]> = Arc::from([7; 32].as_slice());
    snapshot.fleet_secret = Some(secret);
    snapshot
}
