//! Upstream member over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::{
    ConfirmReply, ControlReply, GroupStatus, InstanceId, LogPosition, TermNumber,
};
use ntex::SharedCfg;
use ntex::client::error::ClientError;
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::header::CONTENT_LENGTH;
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds, timeout};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http_response::{
    classify_error, no_response, parse_error_response, parse_json, parse_pipeline,
};
use crate::{
    MIN_POSITION_HEADER, MemberSettings, NoMemory, PipelineReply, PipelineRequest, ResponseBudget,
    ResponseMemory, TERM_HEADER, UpstreamError, UpstreamMember,
};

/// Idle time after which the client closes a connection. Shorter than the usual keep-alive of
/// servers (5 s), so that the client seldom reuses a connection that the member is closing.
const CONNECTION_KEEP_ALIVE: Seconds = Seconds(4);
const CONNECTION_LIFETIME: Seconds = Seconds(600);
/// The connection pool of `ntex` never wakes waiters if its limit is 0, so the limit is high;
/// the stream pool limits the number of concurrent requests.
const MAX_CONNECTIONS: usize = 1024;

#[derive(Serialize)]
struct ControlBody<'a> {
    term: TermNumber,
    proposer: &'a InstanceId,
    #[serde(skip_serializing_if = "Option::is_none")]
    primary_address: Option<&'a str>,
}

/// An [`UpstreamMember`] reached over HTTP.
///
/// Group control and pipelines use separate connections, so that slow statements cannot delay
/// health probes.
pub struct HttpMember {
    address: String,
    base_url: String,
    settings: MemberSettings,
    control: Client,
    pipelines: Client,
    budget: Option<Rc<dyn ResponseBudget>>,
}

impl HttpMember {
    /// Creates the client of the member at `address`; connections are opened on demand.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be created.
    ///
    /// ```no_run
    /// use coriander_upstream::{HttpMember, MemberSettings, UpstreamMember};
    ///
    /// # async fn example() -> Result<(), coriander_upstream::UpstreamError> {
    /// let address = "127.0.0.1:8080".parse().expect("address");
    /// let member = HttpMember::new(address, MemberSettings::default()).await?;
    /// println!("{:?}", member.status().await?.role);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn new(address: SocketAddr, settings: MemberSettings) -> Result<Self, UpstreamError> {
        Ok(Self {
            address: address.to_string(),
            base_url: format!("http://{address}"),
            settings,
            control: build_client("upstream-control", settings).await?,
            pipelines: build_client("upstream-pipeline", settings).await?,
            budget: None,
        })
    }

    /// Makes the responses of pipelines wait for memory before their bodies are read.
    #[must_use]
    pub fn with_budget(mut self, budget: Rc<dyn ResponseBudget>) -> Self {
        self.budget = Some(budget);
        self
    }

    async fn reserve_memory(
        &self,
        response: &ClientResponse,
    ) -> Result<ResponseMemory, UpstreamError> {
        let Some(budget) = &self.budget else {
            return Ok(None);
        };
        let length = response.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
        // Without a length, the body may be as long as the limit.
        let body_bytes = length.unwrap_or(self.settings.max_response_bytes);
        let reserved = budget.reserve(body_bytes).await;
        reserved.map_err(|NoMemory| UpstreamError::NoMemory)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, UpstreamError> {
        let request = self.control.get(format!("{}{path}", self.base_url));
        let body = call_with_timeout(limit, async {
            let response = request.send().await.map_err(|e| classify_error(&e))?;
            self.read_success(response).await.map(|(_, body)| body)
        });
        parse_json(&body.await?)
    }

    /// Sends a call that changes the member's part in its group.
    async fn control_group(
        &self,
        call: &str,
        term: TermNumber,
        proposer: &InstanceId,
        primary_address: Option<&str>,
    ) -> Result<ControlReply, UpstreamError> {
        let body = ControlBody {
            term,
            proposer,
            primary_address,
        };
        let request = self.control.post(format!("{}/group/{call}", self.base_url));
        let reply = call_with_timeout(self.settings.control_timeout, async {
            let response = request
                .send_json(&body)
                .await
                .map_err(|e| classify_error(&e))?;
            self.read_success(response).await.map(|(_, body)| body)
        });
        parse_json(&reply.await?)
    }

    async fn read_success(
        &self,
        response: ClientResponse,
    ) -> Result<(ClientResponse, Bytes), UpstreamError> {
        // The caller bounds the whole call, so the body needs no timeout of its own.
        let body = response
            .body()
            .limit(self.settings.max_response_bytes)
            .timeout(Millis::ZERO)
            .await
            .map_err(|e| no_response(&e))?;
        if response.status().is_success() {
            Ok((response, body))
        } else {
            Err(parse_error_response(
                response.status(),
                response.headers(),
                &body,
            ))
        }
    }
}

#[async_trait(?Send)]
impl UpstreamMember for HttpMember {
    async fn status(&self) -> Result<GroupStatus, UpstreamError> {
        self.get("/group/status", self.settings.control_timeout)
            .await
    }

    async fn fence(
        &self,
        term: TermNumber,
        proposer: &InstanceId,
    ) -> Result<ControlReply, UpstreamError> {
        self.control_group("fence", term, proposer, None).await
    }

    async fn promote(
        &self,
        term: TermNumber,
        proposer: &InstanceId,
    ) -> Result<ControlReply, UpstreamError> {
        self.control_group("promote", term, proposer, None).await
    }

    async fn follow(
        &self,
        term: TermNumber,
        proposer: &InstanceId,
        primary_address: &str,
    ) -> Result<ControlReply, UpstreamError> {
        self.control_group("follow", term, proposer, Some(primary_address))
            .await
    }

    async fn confirm(
        &self,
        position: LogPosition,
        wait: Duration,
    ) -> Result<ConfirmReply, UpstreamError> {
        let path = format!(
            "/group/confirm?term={}&index={}&wait_ms={}",
            position.term,
            position.index,
            wait.as_millis()
        );
        self.get(&path, wait + self.settings.control_timeout).await
    }

    async fn pipeline(&self, request: PipelineRequest) -> Result<PipelineReply, UpstreamError> {
        let url = format!("{}{}", self.base_url, request.endpoint.path());
        let mut call = self
            .pipelines
            .post(url)
            .content_type("application/json")
            .header(TERM_HEADER, request.term.get());
        if let Some(position) = request.min_position {
            call = call.header(MIN_POSITION_HEADER, position.to_string());
        }
        let (memory, (response, body)) = call_with_timeout(request.timeout, async {
            let response = call
                .send_body(request.body)
                .await
                .map_err(|e| classify_error(&e))?;
            let memory = self.reserve_memory(&response).await?;
            Ok((memory, self.read_success(response).await?))
        })
        .await?;
        parse_pipeline(response.headers(), body, memory)
    }

    fn address(&self) -> &str {
        &self.address
    }
}

async fn call_with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, UpstreamError>>,
) -> Result<T, UpstreamError> {
    timeout(limit, call).await.unwrap_or_else(|()| {
        let reason = format!("timeout after {} ms", limit.as_millis());
        Err(UpstreamError::NoResponse { reason })
    })
}

async fn build_client(
    tag: &'static str,
    settings: MemberSettings,
) -> Result<Client, UpstreamError> {
    let connect_timeout = u32::try_from(settings.connect_timeout.as_millis()).unwrap_or(u32::MAX);
    let io = IoConfig::new().set_connect_timeout(Millis(connect_timeout));
    let connector = Connector::default()
        .limit(MAX_CONNECTIONS)
        .keep_alive(CONNECTION_KEEP_ALIVE)
        .lifetime(CONNECTION_LIFETIME);
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(SharedCfg::new(tag).add(io))
        .await
        .map_err(|e| classify_error(&ClientError::Error(Rc::new(e))))
}
