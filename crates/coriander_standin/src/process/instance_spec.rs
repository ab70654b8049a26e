//! Settings file of a proxy instance.

use std::net::SocketAddr;

use super::process_error::ProcessError;
use super::unused_address::unused_address;

/// Settings that differ between the instances of a test fleet.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Name of the instance and of its process.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// All availability zones.
    pub zones: Vec<String>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators and metrics.
    pub admin: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Secret of the fleet.
    pub secret: String,
    /// Lines of the section `bounds`, as key and value.
    pub bounds: Vec<(String, String)>,
    /// Further sections at the end of the file.
    pub extra_settings: String,
}

impl InstanceSpec {
    /// Creates a specification with unused loopback addresses.
    pub fn new(
        name: &str,
        zone: &str,
        zones: &[&str],
        platform: SocketAddr,
    ) -> Result<Self, ProcessError> {
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            zones: zones.iter().map(|&zone| zone.to_owned()).collect(),
            callers: unused_address()?,
            admin: unused_address()?,
            peers: unused_address()?,
            platform,
            secret: "test-fleet-secret-0123456789".to_owned(),
            bounds: Vec::new(),
            extra_settings: String::new(),
        })
    }

    /// Adds a line to the section `bounds`.
    #[must_use]
    pub fn with_bound(mut self, key: &str, value: u64) -> Self {
        self.bounds.push((key.to_owned(), value.to_string()));
        self
    }

    /// Returns the text of the settings file.
    ///
    /// ```
    /// use coriander_standin::process::InstanceSpec;
    ///
    /// let platform = "127.0.0.1:8500".parse().unwrap();
    /// let spec = InstanceSpec::new("one", "piraeus", &["piraeus", "elefsina"], platform).unwrap();
    /// assert!(
    ///     spec.with_bound("slots_per_member", 2).to_ini().contains("slots_per_member = 2")
    /// );
    /// ```
    pub fn to_ini(&self) -> String {
        let mut text = format!(
            "[instance]\nname = {}\nzone = {}\n\n[listen]\ncallers = {}\nadmin = {}\npeers = {}\n\n",
            self.name, self.zone, self.callers, self.admin, self.peers
        );
        text += &format!(
            "[fleet]\nzones = {}\nsecret = {}\n\n[platform]\naddresses = {}\n\n[bounds]\n",
            self.zones.join(", "),
            self.secret,
            self.platform
        );
        for (key, value) in &self.bounds {
            text += &format!("{key} = {value}\n");
        }
        text + &self.extra_settings
    }
}
