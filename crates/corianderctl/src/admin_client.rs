//! HTTP calls to the admin addresses of instances.

use std::net::SocketAddr;
use std::time::Duration;

use coriander_config::{ChangeRequest, ChangeResult, ConfigView, Explanation};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::StatusCode;
use ntex::time::{Millis, sleep, timeout};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Timeout of one call; an instance responds to a change within 5 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Attempts to submit a change to each address.
const CHANGE_ROUNDS: usize = 2;
/// Delay between two rounds over all addresses.
const ROUND_INTERVAL: Millis = Millis(500);
/// Maximum size of a response body; a document consists of sections of up to 1 MB each.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Failure of a call.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AdminError {
    /// No instance responded.
    #[error("no instance answered: {0}")]
    Unreachable(String),
    /// No instance has a record of the identifier.
    #[error("no instance knows {0}")]
    UnknownId(String),
}

/// Failure of one attempt at one address.
enum AttemptError {
    /// The request had no effect.
    NotSent(String),
    /// The request may have had an effect.
    Lost(String),
    /// The instance has no record of the identifier.
    NotFound,
}

/// Client of the admin interface, which tries several addresses in order.
pub struct AdminClient {
    client: Client,
    addresses: Vec<SocketAddr>,
}

impl AdminClient {
    /// Creates a client without opening a connection.
    pub async fn new(addresses: Vec<SocketAddr>) -> Self {
        let client = Client::new().await;
        Self { client, addresses }
    }

    /// Reads the applied configuration of the first instance that responds.
    pub async fn read_config(&self) -> Result<ConfigView, AdminError> {
        self.read("/admin/config", "config").await
    }

    /// Reads the explanation of a request or decision from the first instance that has it.
    pub async fn explain(&self, id: &str) -> Result<Explanation, AdminError> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if id.is_empty() || !id.bytes().all(is_allowed) {
            return Err(AdminError::UnknownId(id.to_owned()));
        }
        self.read(&format!("/admin/explain/{id}"), id).await
    }

    /// Submits a change to each address, with the same change id, until one returns a final result.
    pub async fn submit(&self, request: &ChangeRequest) -> Result<ChangeResult, AdminError> {
        let mut last_reason = String::new();
        let mut may_be_applied = false;
        let mut is_unreachable = true;
        for round in 0..CHANGE_ROUNDS {
            if round > 0 {
                sleep(ROUND_INTERVAL).await;
            }
            for address in &self.addresses {
                match self.submit_to(*address, request).await {
                    Ok(ChangeResult::NotRecorded) => is_unreachable = false,
                    Ok(ChangeResult::Undetermined) => may_be_applied = true,
                    Ok(result) => return Ok(result),
                    Err(AttemptError::NotSent(reason)) => last_reason = reason,
                    Err(AttemptError::Lost(reason)) => {
                        may_be_applied = true;
                        last_reason = reason;
                    }
                    Err(AttemptError::NotFound) => last_reason = "no admin interface".into(),
                }
                log::debug!("corianderctl: no result from address={address}: {last_reason}");
            }
        }
        // An attempt whose response was lost may have applied the change, regardless of the
        // results of later attempts.
        match (may_be_applied, is_unreachable) {
            (true, _) => Ok(ChangeResult::Undetermined),
            (false, false) => Ok(ChangeResult::NotRecorded),
            (false, true) => Err(AdminError::Unreachable(last_reason)),
        }
    }

    async fn submit_to(
        &self,
        address: SocketAddr,
        request: &ChangeRequest,
    ) -> Result<ChangeResult, AttemptError> {
        let url = format!("http://{address}/admin/change");
        self.call(self.client.post(url), Some(request)).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str, id: &str) -> Result<T, AdminError> {
        let mut last_reason = None;
        let mut is_unknown = false;
        for address in &self.addresses {
            let request = self.client.get(format!("http://{address}{path}"));
            match self.call(request, None::<&()>).await {
                Ok(value) => return Ok(value),
                Err(AttemptError::NotFound) => is_unknown = true,
                Err(AttemptError::NotSent(reason) | AttemptError::Lost(reason)) => {
                    last_reason = Some(reason);
                }
            }
        }
        if is_unknown {
            return Err(AdminError::UnknownId(id.to_owned()));
        }
        Err(AdminError::Unreachable(last_reason.unwrap_or_default()))
    }

    async fn call<T: DeserializeOwned, B: Serialize>(
        &self,
        request: ClientRequest,
        body: Option<&B>,
    ) -> Result<T, AttemptError> {
        let response = async {
            let request = request.timeout(CALL_TIMEOUT);
            let response = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            read_response(response.map_err(|error| classify_error(&error))?).await
        };
        match timeout(CALL_TIMEOUT, response).await {
            Ok(result) => result,
            Err(()) => Err(AttemptError::Lost("no response in time".into())),
        }
    }
}

async fn read_response<T: DeserializeOwned>(response: ClientResponse) -> Result<T, AttemptError> {
    let status = response.status();
    if status == StatusCode::NOT_FOUND {
        return Err(AttemptError::NotFound);
    }
    let body = response.body().limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|error| AttemptError::Lost(error.to_string()))?;
    // Results other than acceptance may have an error status, so any status is decoded.
    serde_json::from_slice(&body)
        .map_err(|error| AttemptError::Lost(format!("status {status}: {error}")))
}

fn classify_error(error: &ClientError) -> AttemptError {
    match error {
        // ntex returns this error for a connection that was closed before the response.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            AttemptError::Lost("connection closed before the response".into())
        }
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => {
            AttemptError::NotSent(error.to_string())
        }
        _ => AttemptError::Lost(error.to_string()),
    }
}
