//! Settings, faults and actions of a simulated fleet.

use coriander_core::AccountLimits;
use coriander_limits::LimitPolicy;

/// A deliberate fault, to show that the checks find it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// Holders keep grants for ever.
    NoClientExpiry,
    /// New owners grant at once.
    NoWaitingPeriod,
    /// A repeated hand-over counts again.
    DuplicateHandOver,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub limits: Vec<AccountLimits>,
    pub policy: LimitPolicy,
    /// Shortest and longest one-way delay in microseconds.
    pub delay: (u64, u64),
    pub loss: f64,
    pub duplicate: f64,
    /// Time for which a request may wait for a token, in microseconds.
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
    /// Sets all limits to a part of the settings, in percent, with the same fleet section.
    ScaleLimits(u32),
}
