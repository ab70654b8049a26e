//! Key-value store interface and Consul HTTP client.
