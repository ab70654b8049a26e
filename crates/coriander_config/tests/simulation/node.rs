//! One simulated instance, which consists of the state machines of the crate.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coriander_config::{
    ChangeCoordinator, ConfigBundle, ConfigState, ConfirmVersion, FetchConfig, FreshnessGuard,
    Incarnation, KeyVerifier, VersionConfirmed,
};
use coriander_core::{ConfigVersion, FleetMember, InstanceId, MonotonicTime};

/// Message between instances.
#[derive(Clone, Debug)]
pub enum Message {
    Confirm(ConfirmVersion),
    Confirmed(VersionConfirmed),
    Fetch(Box<FetchConfig>),
    Bundle(ConfigBundle),
}

pub struct Node {
    pub id: InstanceId,
    pub incarnation: u64,
    started: u64,
    pub paused: Option<u64>,
    /// Time during which the clock was stopped, in milliseconds; not 0 only for a broken clock.
    pub stopped_millis: u64,
    pub state: ConfigState,
    pub guard: FreshnessGuard,
    pub verifier: KeyVerifier,
    /// Running changes by their index.
    pub coordinators: BTreeMap<usize, ChangeCoordinator>,
    pub pending_calls: BTreeSet<u64>,
    pub ticks: u64,
}

impl Node {
    pub fn start(index: usize, incarnation: u64, now: u64) -> Self {
        let id = node_id(index);
        Self {
            guard: FreshnessGuard::new(id.clone(), Incarnation::new(incarnation)),
            id,
            incarnation,
            started: now,
            paused: None,
            stopped_millis: 0,
            state: ConfigState::default(),
            verifier: KeyVerifier::default(),
            coordinators: BTreeMap::new(),
            pending_calls: BTreeSet::new(),
            ticks: 0,
        }
    }

    pub fn clock(&self, now: u64) -> MonotonicTime {
        MonotonicTime::from_millis(now - self.started - self.stopped_millis)
    }

    pub fn version(&self) -> u64 {
        self.state.version().get()
    }

    pub fn may_serve(&self, now: u64) -> bool {
        self.guard.may_serve(self.clock(now))
    }

    /// Passes on the applied document; panics if the version decreased.
    pub fn after_apply(&mut self, before: ConfigVersion) {
        assert!(
            self.state.version() >= before,
            "the applied version decreased"
        );
        if self.state.version() > before {
            self.guard.record_applied(self.state.document());
            self.verifier = KeyVerifier::new(self.state.document());
        }
    }
}

pub fn node_id(index: usize) -> InstanceId {
    format!("n{index}").parse().expect("valid name")
}

pub fn node_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7000))
}

pub fn node_index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        std::net::IpAddr::V6(_) => unreachable!("the simulation uses IPv4"),
    }
}

pub fn fleet_member(index: usize) -> FleetMember {
    FleetMember {
        zone: format!("z{}", index % 3).parse().expect("valid name"),
        peer_address: node_address(index),
        draining: false,
    }
}
