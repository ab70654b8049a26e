//! Database proxy with session consistency: the process that runs on each entry instance.

fn main() {}
