//! Deployments and routing policies to compare.

/// Parameters of a deployment from section 1.3 of the design page; times in microseconds.
pub struct Deployment {
    pub name: &'static str,
    pub zones: [&'static str; 3],
    pub zone_delay: u64,
    pub slots: u32,
    /// Fraction of requests, fraction of writes and freshness target per class.
    pub classes: [(f64, f64, u64); 3],
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum Policy {
    PrimaryOnly,
    RoundRobin,
    Router,
    HedgedRouter,
}
