//! Peer liveness, rendezvous ranks, zones and drain state.
