//! A whole deployment of stand-ins and proxy instances on one machine.

use std::net::SocketAddr;
use std::time::Duration;

use super::admin_client::AdminClient;
use super::instance_spec::InstanceSpec;
use super::member_client::MemberClient;
use super::process_error::ProcessError;
use super::process_group::ProcessGroup;
use super::wait_until::wait_until;
use crate::DeploymentProfile;
use crate::platform::ServiceEntry;

/// Names of the members of each database, one per zone.
const MEMBER_NAMES: [&str; 3] = ["a", "b", "c"];
/// Prefix of the names under which the platform lists the members of a database.
const UPSTREAM_PREFIX: &str = "upstream-";
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Service time of each statement in microseconds.
    pub statement_time_us: u64,
    /// Replication lag in milliseconds.
    pub lag_ms: u64,
    /// Lag of the platform's service lists in milliseconds.
    pub list_lag_ms: u64,
    /// Number of instances; `None` uses the number of the profile.
    pub instances: Option<usize>,
    /// Further sections of the settings of all instances.
    pub extra_settings: String,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            statement_time_us: 2_000,
            lag_ms: 20,
            list_lag_ms: 500,
            instances: None,
            extra_settings: String::new(),
        }
    }
}

/// A member of the run.
pub struct RunMember {
    /// Name of the process in the group.
    pub process_name: String,
    /// Identifier of the member.
    pub name: &'static str,
    /// Database of the member.
    pub database: &'static str,
    /// Availability zone.
    pub zone: &'static str,
    /// Client of the member.
    pub client: MemberClient,
}

/// The running processes of a deployment.
pub struct DeploymentRun {
    /// All processes; dropping the group kills them.
    pub group: ProcessGroup,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Members of all databases.
    pub members: Vec<RunMember>,
    /// Proxy instances.
    pub instances: Vec<InstanceSpec>,
}

impl DeploymentRun {
    /// Starts the platform, members and instances, applies the configuration and waits until all
    /// instances are ready.
    pub async fn start(
        profile: &DeploymentProfile,
        options: &RunOptions,
    ) -> Result<Self, ProcessError> {
        let mut group = ProcessGroup::create(profile.name).await?;
        let list_lag = options.list_lag_ms.to_string();
        let platform = group.start_platform(&["--list-lag-ms", &list_lag]).await?;
        let mut run = Self {
            group,
            platform,
            members: Vec::new(),
            instances: Vec::new(),
        };
        for &database in &profile.databases {
            for (name, zone) in MEMBER_NAMES.into_iter().zip(profile.zones) {
                run.start_member(profile, options, (database, name, zone))
                    .await?;
            }
        }
        for number in 0..options.instances.unwrap_or(profile.instances) {
            run.start_instance(profile, options, number).await?;
        }
        let document = profile.to_document()?;
        run.admin(0).apply_document(&document).await?;
        run.wait_until_ready().await?;
        Ok(run)
    }

    /// Returns a client of the admin address of an instance.
    pub fn admin(&self, instance: usize) -> AdminClient {
        AdminClient::new(
            self.instances[instance].admin,
            self.group.http_client().clone(),
        )
    }

    /// Returns the caller addresses of all instances.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|spec| spec.callers).collect()
    }

    /// Returns the member that reports itself as primary of a database in the highest term.
    pub async fn primary(&self, database: &str) -> Option<&RunMember> {
        let mut found = None;
        for member in self
            .members
            .iter()
            .filter(|member| member.database == database)
        {
            if let Ok(status) = member.client.status().await
                && status.role == coriander_core::MemberRole::Primary
                && found.as_ref().is_none_or(|(term, _)| *term < status.term)
            {
                found = Some((status.term, member));
            }
        }
        found.map(|(_, member)| member)
    }

    /// Waits until every database has a primary and every instance reports ready.
    pub async fn wait_until_ready(&self) -> Result<(), ProcessError> {
        for spec in &self.instances {
            let url = format!("http://{}/ready", spec.callers);
            let is_ready = async || {
                let reply = self.group.http_client().get(&url).await;
                reply.is_ok_and(|reply| reply.status == 200)
            };
            wait_until(
                &format!("readiness of {}", spec.name),
                READY_TIMEOUT,
                is_ready,
            )
            .await?;
        }
        for member in &self.members {
            let database = member.database;
            let has_primary = async || self.primary(database).await.is_some();
            wait_until(
                &format!("a primary of {database}"),
                READY_TIMEOUT,
                has_primary,
            )
            .await?;
        }
        Ok(())
    }

    /// Registers a member in the platform's catalog with a state, `live` or `leaving`.
    pub async fn register_member(
        &self,
        member: &RunMember,
        state: &str,
    ) -> Result<(), ProcessError> {
        let address = member.client.address;
        let pairs = [("zone", member.zone), ("state", state)];
        let entry = ServiceEntry {
            id: member.name.to_owned(),
            service: format!("{UPSTREAM_PREFIX}{}", member.database),
            address: address.ip().to_string(),
            port: address.port(),
            meta: pairs
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .into(),
        };
        self.group.register_service(self.platform, &entry).await
    }

    async fn start_member(
        &mut self,
        profile: &DeploymentProfile,
        options: &RunOptions,
        (database, name, zone): (&'static str, &'static str, &'static str),
    ) -> Result<(), ProcessError> {
        let process = format!("{database}-{name}");
        let journal = self.group.directory().join(format!("{process}.journal"));
        let args = [
            ("--slots", profile.slots.to_string()),
            ("--max-streams", profile.connections.to_string()),
            (
                "--open-delay-ms",
                profile.open_delay.as_millis().to_string(),
            ),
            (
                "--network-delay-us",
                profile.zone_delay.as_micros().to_string(),
            ),
            ("--statement-time-us", options.statement_time_us.to_string()),
            ("--lag-ms", options.lag_ms.to_string()),
            ("--journal", journal.display().to_string()),
        ];
        let args: Vec<&str> = args.iter().flat_map(|(key, value)| [*key, value]).collect();
        let address = self.group.start_member(name, database, zone, &args).await?;
        let client = MemberClient::new(address, self.group.http_client().clone());
        let member = RunMember {
            process_name: process,
            name,
            database,
            zone,
            client,
        };
        self.register_member(&member, "live").await?;
        self.members.push(member);
        Ok(())
    }

    async fn start_instance(
        &mut self,
        profile: &DeploymentProfile,
        options: &RunOptions,
        number: usize,
    ) -> Result<(), ProcessError> {
        let zone = profile.zones[number % profile.zones.len()];
        let name = format!("instance-{}", number + 1);
        let mut spec = InstanceSpec::new(&name, zone, &profile.zones, self.platform)?
            .with_bound("connections_per_database", profile.connections as u64)
            .with_bound("slots_per_member", profile.slots as u64);
        spec.extra_settings.clone_from(&options.extra_settings);
        self.group.start_instance(&spec).await?;
        self.instances.push(spec);
        Ok(())
    }
}
