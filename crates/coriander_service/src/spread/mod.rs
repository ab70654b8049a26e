//! How the contents of the store spread among the instances of a zone, without I/O.

pub mod update_tree;
