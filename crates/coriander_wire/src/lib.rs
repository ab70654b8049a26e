//! Framing, versions, size bounds and authentication of messages between instances.
