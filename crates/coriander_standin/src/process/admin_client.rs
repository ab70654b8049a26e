//! Configuration changes through the admin address of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use coriander_config::{ChangeCommand, ChangeRequest, ChangeResult, ConfigView};
use coriander_core::{ConfigDocument, ConfigVersion};
use ntex::http::Method;
use tokio::time::sleep;

use super::http_client::HttpClient;
use super::process_error::ProcessError;

const MAX_ATTEMPTS: u32 = 40;
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Client of the admin address of one instance.
#[derive(Clone)]
pub struct AdminClient {
    address: SocketAddr,
    http_client: HttpClient,
}

impl AdminClient {
    /// Creates a client.
    pub fn new(address: SocketAddr, http_client: HttpClient) -> Self {
        Self {
            address,
            http_client,
        }
    }

    /// Returns the configuration that the instance has applied.
    pub async fn config(&self) -> Result<ConfigView, ProcessError> {
        let url = format!("http://{}/admin/config", self.address);
        self.http_client.get(&url).await?.json()
    }

    /// Returns the state dump of the instance.
    pub async fn dump(&self) -> Result<serde_json::Value, ProcessError> {
        let url = format!("http://{}/dump", self.address);
        self.http_client.get(&url).await?.json()
    }

    /// Requests one change, based on the configuration version that the instance has applied.
    pub async fn try_change(&self, change: &ChangeCommand) -> Result<ChangeResult, ProcessError> {
        let request = ChangeRequest {
            change_id: format!("{:032x}", rand::random::<u128>()),
            author: "test".to_owned(),
            expected: self.config().await?.document.version,
            change: change.clone(),
        };
        let url = format!("http://{}/admin/change", self.address);
        let headers = [("content-type", "application/json")];
        let body = serde_json::to_vec(&request)?;
        self.http_client
            .send(Method::POST, &url, &headers, body)
            .await?
            .json()
    }

    /// Makes a change and retries it after each refusal or error, for example a conflict with another
    /// change or a slow platform.
    pub async fn change(&self, change: &ChangeCommand) -> Result<ConfigVersion, ProcessError> {
        let mut last = String::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.try_change(change).await {
                Ok(ChangeResult::Accepted { version }) => return Ok(version),
                Ok(other) => last = format!("{other:?}"),
                Err(error) => last = error.to_string(),
            }
            sleep(RETRY_INTERVAL).await;
        }
        Err(ProcessError::Change(format!("{change:?}: {last}")))
    }

    /// Makes one change for each class, account, key and database of a document.
    pub async fn apply_document(&self, document: &ConfigDocument) -> Result<(), ProcessError> {
        let mut changes = Vec::new();
        for (class, target) in &document.classes {
            let (class, target) = (class.clone(), target.clone());
            changes.push(ChangeCommand::SetClass { class, target });
        }
        for (account, limits) in &document.accounts {
            let (account, limits) = (account.clone(), *limits);
            changes.push(ChangeCommand::SetAccount { account, limits });
        }
        for (digest, entry) in &document.keys {
            changes.push(ChangeCommand::GiveKey {
                account: entry.account.clone(),
                key_id: entry.key_id.clone(),
                digest: *digest,
            });
        }
        for database in &document.databases {
            let database = database.clone();
            changes.push(ChangeCommand::AddDatabase { database });
        }
        for change in &changes {
            self.change(change).await?;
        }
        Ok(())
    }
}
