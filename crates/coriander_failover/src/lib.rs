//! Failure detection, fencing, promotion and write acknowledgement.
