//! Applied configuration, acceptance of changes, freshness and key checks.
