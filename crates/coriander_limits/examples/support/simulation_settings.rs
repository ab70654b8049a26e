//! Settings, faults and actions of a simulated fleet.

use coriander_core::AccountLimits;
use coriander_limits::LimitPolicy;

/// A fault that the simulation injects to verify that the checks detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// Clients never expire grants.
    NoClientExpiry,
    /// New owners grant tokens without a waiting period.
    NoWaitingPeriod,
    /// Owners accept a duplicate hand-over.
    DuplicateHandOver,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub limits: Vec<AccountLimits>,
    pub policy: LimitPolicy,
    /// Minimum and maximum one-way delay in microseconds.
    pub delay: (u64, u64),
    pub loss: f64,
    pub duplicate: f64,
    /// Maximum time for which a request waits for a token, in microseconds.
    pub token_timeout: u64,
    pub fault: Fault,
}

#[derive(Clone, Debug)]
pub enum Action {
    Request {
        instance: usize,
        account: usize,
    },
    Pause(usize),
    Resume(usize),
    Isolate(usize),
    Rejoin(usize),
    /// Writes a new fleet section with these instances.
    ChangeFleet(Vec<usize>),
    /// Sets all limits to a percentage of the settings, with the same fleet section.
    ScaleLimits(u32),
}
