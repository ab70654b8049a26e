//! Command line tool for operators.

fn main() {}
