//! Token buckets, grants, fair queueing and load shedding.
