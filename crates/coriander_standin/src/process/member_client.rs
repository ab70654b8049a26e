//! Client for group control and statements of one member.

use std::net::SocketAddr;

use coriander_core::{ConfirmReply, ControlReply, GroupStatus, TermNumber};
use ntex::http::Method;
use serde_json::{Value, json};

use super::http_client::{HttpClient, HttpReply};
use super::process_error::ProcessError;
use crate::member::{ControlRequest, FaultUpdate, LogEntry, ReceivedRequest};

/// Client of one member.
#[derive(Clone)]
pub struct MemberClient {
    /// Address of the member.
    pub address: SocketAddr,
    http_client: HttpClient,
}

impl MemberClient {
    /// Creates a client of the member at an address.
    pub fn new(address: SocketAddr, http_client: HttpClient) -> Self {
        Self {
            address,
            http_client,
        }
    }

    /// Returns the member's status.
    pub async fn status(&self) -> Result<GroupStatus, ProcessError> {
        self.get("/group/status").await?.json()
    }

    /// Sends a fence request.
    pub async fn fence(&self, term: u64, proposer: &str) -> Result<ControlReply, ProcessError> {
        self.control("fence", term, proposer, None).await
    }

    /// Sends a promote request.
    pub async fn promote(&self, term: u64, proposer: &str) -> Result<ControlReply, ProcessError> {
        self.control("promote", term, proposer, None).await
    }

    /// Sends a follow request.
    pub async fn follow(
        &self,
        term: u64,
        proposer: &str,
        primary: SocketAddr,
    ) -> Result<ControlReply, ProcessError> {
        self.control("follow", term, proposer, Some(primary)).await
    }

    /// Makes this member the primary of a term and the others its replicas.
    pub async fn make_primary(&self, term: u64, others: &[&Self]) -> Result<(), ProcessError> {
        self.fence(term, "test").await?;
        for other in others {
            other.fence(term, "test").await?;
        }
        self.promote(term, "test").await?;
        for other in others {
            other.follow(term, "test", self.address).await?;
        }
        Ok(())
    }

    /// Waits until the member has a log entry.
    pub async fn confirm(
        &self,
        term: u64,
        index: u64,
        wait_ms: u64,
    ) -> Result<ConfirmReply, ProcessError> {
        let path = format!("/group/confirm?term={term}&index={index}&wait_ms={wait_ms}");
        self.get(&path).await?.json()
    }

    /// Sends a pipeline.
    pub async fn pipeline(&self, term: u64, body: &Value) -> Result<HttpReply, ProcessError> {
        self.pipeline_at(term, None, body).await
    }

    /// Sends a pipeline with a minimum position.
    pub async fn pipeline_at(
        &self,
        term: u64,
        min_position: Option<&str>,
        body: &Value,
    ) -> Result<HttpReply, ProcessError> {
        let url = format!("http://{}/v3/pipeline", self.address);
        let term = term.to_string();
        let mut headers = vec![("x-group-term", term.as_str())];
        headers.extend(min_position.map(|position| ("x-min-position", position)));
        let body = body.to_string().into_bytes();
        self.http_client
            .send(Method::POST, &url, &headers, body)
            .await
    }

    /// Runs one statement in autocommit mode and closes the stream.
    pub async fn execute(&self, term: u64, sql: &str) -> Result<HttpReply, ProcessError> {
        let execute = json!({"type": "execute", "stmt": {"sql": sql}});
        let body = json!({"requests": [execute, {"type": "close"}]});
        self.pipeline(term, &body).await
    }

    /// Updates the injected faults.
    pub async fn set_faults(&self, update: &FaultUpdate) -> Result<(), ProcessError> {
        let url = format!("http://{}/debug/faults", self.address);
        self.http_client
            .post(&url, serde_json::to_string(update)?)
            .await?;
        Ok(())
    }

    /// Returns all requests that the member has received.
    pub async fn received(&self) -> Result<Vec<ReceivedRequest>, ProcessError> {
        self.get("/debug/received").await?.json()
    }

    /// Returns the member's log.
    pub async fn log_entries(&self) -> Result<Vec<LogEntry>, ProcessError> {
        self.get("/debug/log").await?.json()
    }

    async fn get(&self, path: &str) -> Result<HttpReply, ProcessError> {
        self.http_client
            .get(&format!("http://{}{path}", self.address))
            .await
    }

    async fn control(
        &self,
        action: &str,
        term: u64,
        proposer: &str,
        primary: Option<SocketAddr>,
    ) -> Result<ControlReply, ProcessError> {
        let request = ControlRequest {
            term: TermNumber::new(term),
            proposer: proposer.to_owned(),
            primary_address: primary.map(|address| address.to_string()),
        };
        let url = format!("http://{}/group/{action}", self.address);
        let body = serde_json::to_string(&request)?;
        self.http_client.post(&url, body).await?.json()
    }
}
