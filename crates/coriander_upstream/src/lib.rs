//! Hrana and group control client and the stream pool of one database.
