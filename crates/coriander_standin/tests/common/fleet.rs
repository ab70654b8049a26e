//! A running small deployment and callers' requests to its instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::time::{Duration, Instant};

use coriander_core::MemberRole;
use coriander_standin::DeploymentProfile;
use coriander_standin::member::FaultUpdate;
use coriander_standin::platform::PlatformUpdate;
use coriander_standin::process::{
    DeploymentRun, HttpClient, ProcessError, RunMember, RunOptions, wait_until,
};
use ntex::http::Method;
use ntex::http::header::CONTENT_TYPE;
use serde_json::{Value, json};

/// The only database of the small deployment.
pub const DATABASE: &str = "records";
/// Account that most tests use.
pub const ACCOUNT: &str = "account-1";
/// Timeout for conditions; long because the machine may be busy.
pub const FLEET_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than the request timeout of an instance (10 s).
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A request that a caller sends to an instance.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    headers: BTreeMap<&'static str, String>,
    baton: Option<String>,
    statements: Vec<String>,
    closes_stream: bool,
}

impl CallerRequest {
    /// Creates a request with statements in autocommit mode.
    pub fn new(statements: &[&str]) -> Self {
        let mut headers = BTreeMap::new();
        headers.insert("x-namespace", DATABASE.to_owned());
        headers.insert(CONTENT_TYPE.as_str(), "application/json".to_owned());
        let request = Self {
            headers,
            baton: None,
            statements: statements.iter().map(|&sql| sql.to_owned()).collect(),
            closes_stream: true,
        };
        request.account(ACCOUNT)
    }

    /// Creates a request that leaves its stream open.
    pub fn open(statements: &[&str]) -> Self {
        let mut request = Self::new(statements);
        request.closes_stream = false;
        request
    }

    /// Creates a request that inserts a row with a unique value.
    pub fn insert(value: &str) -> Self {
        Self::new(&[&insert_sql(value)])
    }

    /// Uses the key of an account.
    pub fn account(self, account: &str) -> Self {
        self.key(&DeploymentProfile::account_key(account))
    }

    /// Uses a key.
    pub fn key(mut self, key: &str) -> Self {
        self.headers
            .insert("authorization", format!("Bearer {key}"));
        self
    }

    /// Sets the request id.
    pub fn request_id(mut self, id: &str) -> Self {
        self.headers.insert("x-request-id", id.to_owned());
        self
    }

    /// Sets the session token.
    pub fn session(mut self, token: &str) -> Self {
        self.headers
            .insert("x-corianderstile-session", token.to_owned());
        self
    }

    /// Sets the class.
    pub fn class(mut self, class: &str) -> Self {
        self.headers
            .insert("x-corianderstile-class", class.to_owned());
        self
    }

    /// Continues the stream of a baton.
    pub fn baton(mut self, baton: &str) -> Self {
        self.baton = Some(baton.to_owned());
        self
    }

    fn body(&self) -> Vec<u8> {
        let execute = |sql: &String| json!({"type": "execute", "stmt": {"sql": sql}});
        let mut requests: Vec<Value> = self.statements.iter().map(execute).collect();
        if self.closes_stream {
            requests.push(json!({"type": "close"}));
        }
        json!({"baton": self.baton, "requests": requests})
            .to_string()
            .into_bytes()
    }
}

/// Returns a statement that inserts a row with a unique value.
pub fn insert_sql(value: &str) -> String {
    format!("INSERT INTO items (value) VALUES ('{value}')")
}

/// The response of an instance to a caller.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Body as JSON; null if it is not JSON.
    pub body: Value,
    /// Session token.
    pub session: String,
    /// Member that served the request.
    pub served_by: String,
}

impl CallerResponse {
    /// Returns whether the request and all its statements succeeded.
    pub fn is_ok(&self) -> bool {
        let results = self.body["results"].as_array();
        self.status == 200
            && results.is_some_and(|results| results.iter().all(|result| result["type"] == "ok"))
    }

    /// Returns the error code, or an empty string.
    pub fn code(&self) -> &str {
        self.body["code"].as_str().unwrap_or_default()
    }

    /// Returns the outcome stated in an error, or an empty string.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    /// Returns the baton for the next request.
    pub fn baton(&self) -> String {
        let baton = self.body["baton"].as_str();
        baton
            .unwrap_or_else(|| panic!("no baton in {self:?}"))
            .to_owned()
    }

    /// Returns the first column of the rows of a statement.
    pub fn values(&self, statement: usize) -> Vec<String> {
        let rows = &self.body["results"][statement]["response"]["result"]["rows"];
        let rows = rows
            .as_array()
            .unwrap_or_else(|| panic!("no rows in {self:?}"));
        let text = |row: &Value| row[0]["value"].as_str().unwrap_or_default().to_owned();
        rows.iter().map(text).collect()
    }

    /// Asserts that the request succeeded.
    #[track_caller]
    pub fn expect_ok(self) -> Self {
        assert!(self.is_ok(), "{self:?}");
        self
    }

    /// Asserts that the request was refused as not run with a code.
    #[track_caller]
    pub fn expect_refused(self, code: &str) -> Self {
        assert_eq!((self.code(), self.outcome()), (code, "not_run"), "{self:?}");
        self
    }

    /// Asserts that the request failed with a code and that its outcome is reported as unknown.
    #[track_caller]
    pub fn expect_unknown(self, code: &str) -> Self {
        assert_eq!((self.code(), self.outcome()), (code, "unknown"), "{self:?}");
        self
    }
}

/// A client of all instances; its clones can be moved into tasks.
#[derive(Clone)]
pub struct FleetClient {
    http_client: HttpClient,
    addresses: Vec<SocketAddr>,
}

impl FleetClient {
    /// Sends a request to an instance; fails if there is no response.
    pub async fn try_send(
        &self,
        instance: usize,
        request: &CallerRequest,
    ) -> Result<CallerResponse, ProcessError> {
        let url = format!("http://{}/v3/pipeline", self.addresses[instance]);
        let headers = request
            .headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()));
        let headers: Vec<_> = headers.collect();
        let reply = self
            .http_client
            .send(Method::POST, &url, &headers, request.body())
            .await?;
        let header = |name| reply.header(name).unwrap_or_default().to_owned();
        Ok(CallerResponse {
            status: reply.status,
            session: header("x-corianderstile-session"),
            served_by: header("x-served-by"),
            body: reply.json().unwrap_or_default(),
        })
    }

    /// Sends a request to an instance; panics if there is no response.
    pub async fn send(&self, instance: usize, request: &CallerRequest) -> CallerResponse {
        self.try_send(instance, request).await.unwrap()
    }

    /// Retries a request on all instances in turn until it succeeds.
    ///
    /// The request must have an id or be safe to repeat.
    pub async fn send_until_ok(&self, first: usize, request: &CallerRequest) -> CallerResponse {
        let start = Instant::now();
        let mut instance = first;
        loop {
            let result = self.try_send(instance, request).await;
            match result {
                Ok(reply) if reply.is_ok() => return reply,
                _ if start.elapsed() > FLEET_TIMEOUT => {
                    panic!("{request:?} did not succeed: {result:?}")
                }
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
            instance = (instance + 1) % self.addresses.len();
        }
    }

    /// Returns all inserted values, read from the primary.
    pub async fn stored_values(&self) -> Vec<String> {
        let request = CallerRequest::new(&["SELECT value FROM items ORDER BY id"]);
        self.send_until_ok(0, &request).await.values(0)
    }
}

/// A running small deployment.
pub struct Fleet {
    /// Processes of the deployment.
    pub run: DeploymentRun,
    /// Client of the instances.
    pub client: FleetClient,
}

impl Deref for Fleet {
    type Target = FleetClient;

    fn deref(&self) -> &FleetClient {
        &self.client
    }
}

impl DerefMut for Fleet {
    fn deref_mut(&mut self) -> &mut FleetClient {
        &mut self.client
    }
}

impl Fleet {
    /// Starts the deployment and creates the table `items`.
    pub async fn start() -> Self {
        let options = RunOptions {
            statement_time_us: 200,
            lag_ms: 5,
            list_lag_ms: 100,
            ..RunOptions::default()
        };
        let run = DeploymentRun::start(&DeploymentProfile::small(), &options)
            .await
            .unwrap();
        let client = FleetClient {
            http_client: HttpClient::create(CALL_TIMEOUT).await,
            addresses: run.caller_addresses(),
        };
        let fleet = Self { run, client };
        let table = "CREATE TABLE items (id INTEGER PRIMARY KEY, value TEXT)";
        fleet
            .send_until_ok(0, &CallerRequest::new(&[table]).request_id("create"))
            .await;
        fleet
    }

    /// Returns the primary of the highest term.
    pub async fn primary(&self) -> &RunMember {
        self.run.primary(DATABASE).await.expect("a primary")
    }

    /// Returns the members that are not the primary.
    pub async fn replicas(&self) -> Vec<&RunMember> {
        let name = self.primary().await.name;
        let members = self.run.members.iter();
        members.filter(|member| member.name != name).collect()
    }

    /// Waits until a member other than the named one is the primary.
    pub async fn wait_for_other_primary(&self, old: &str) {
        // The old primary is not queried, because a paused member replies only after a long time.
        let members = self.run.members.iter();
        let others: Vec<_> = members.filter(|member| member.name != old).collect();
        let changed = async || {
            let mut statuses = Vec::new();
            for member in &others {
                statuses.extend(member.client.status().await);
            }
            let highest_term = statuses.iter().map(|status| status.term).max();
            let mut primaries = statuses
                .iter()
                .filter(|status| status.role == MemberRole::Primary);
            primaries.any(|status| Some(status.term) == highest_term)
        };
        wait_until("a change of primary", FLEET_TIMEOUT, changed)
            .await
            .unwrap();
    }

    /// Updates the injected faults of a member.
    pub async fn member_faults(&self, name: &str, update: FaultUpdate) {
        let mut members = self.run.members.iter();
        let member = members.find(|member| member.name == name).unwrap();
        member.client.set_faults(&update).await.unwrap();
    }

    /// Updates the injected faults of the platform.
    pub async fn platform_faults(&self, update: PlatformUpdate) {
        let url = format!("http://{}/debug/faults", self.run.platform);
        let body = serde_json::to_string(&update).unwrap();
        self.run.group.http_client().post(&url, body).await.unwrap();
    }

    /// Returns the index of the instance that is the gateway of the database.
    pub async fn gateway(&self) -> usize {
        let mut found = None;
        let search = async || {
            for instance in 0..self.run.instances.len() {
                let Ok(dump) = self.run.admin(instance).dump().await else {
                    continue;
                };
                if dump["gateways"][0]["rank"] == 0 {
                    found = Some(instance);
                }
            }
            found.is_some()
        };
        wait_until("a gateway", FLEET_TIMEOUT, search)
            .await
            .unwrap();
        found.unwrap()
    }

    /// Waits until an instance reports that it is not ready.
    pub async fn wait_until_not_ready(&self, instance: usize) {
        let url = format!("http://{}/ready", self.run.instances[instance].callers);
        let refused = async || {
            let reply = self.run.group.http_client().get(&url).await;
            reply.is_ok_and(|reply| reply.status == 503)
        };
        wait_until("an instance that is not ready", FLEET_TIMEOUT, refused)
            .await
            .unwrap();
    }
}
