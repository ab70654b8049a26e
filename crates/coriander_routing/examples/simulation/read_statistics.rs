//! Statistics of a simulation.

use hdrhistogram::Histogram;

/// Counts and latencies of reads; times in microseconds.
pub struct ReadStatistics {
    pub reads: u64,
    pub allowed: u64,
    pub on_replica: u64,
    pub refused: u64,
    pub waits: u64,
    pub hedges: u64,
    /// Rounds of status requests that were triggered by reads.
    pub status_rounds: u64,
    pub violations: u64,
    pub latency: Histogram<u64>,
    /// Latency of reads served by replicas.
    pub replica_latency: Histogram<u64>,
    pub staleness: Histogram<u64>,
}

impl ReadStatistics {
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
        Self {
            reads: 0,
            allowed: 0,
            on_replica: 0,
            refused: 0,
            waits: 0,
            hedges: 0,
            status_rounds: 0,
            violations: 0,
            latency: histogram(),
            replica_latency: histogram(),
            staleness: histogram(),
        }
    }
}
