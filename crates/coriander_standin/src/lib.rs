//! Stand-ins for the platform and the database members, load driver and process tests (not published).
