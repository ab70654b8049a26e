//! Sends HTTP requests to Consul and classifies their failures.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coriander_core::MonotonicTime;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse};
use ntex::http::Method;
use ntex::time::{sleep, timeout};
use ntex::util::Bytes;

use crate::{CallPacer, CallPermit, ModifyIndex, PlatformError};

/// Header with the index to pass to the next blocking query.
const INDEX_HEADER: &str = "x-consul-index";
/// Maximum size of a response body: a value of 1 MB in base64 within its JSON object.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Maximum length of an error message that is taken from a response body.
const MAX_MESSAGE_CHARS: usize = 200;

/// One request to Consul.
pub struct ConsulRequest {
    pub method: Method,
    /// Path with its query.
    pub path: String,
    pub body: Vec<u8>,
    /// Time by which Consul may delay the response to a blocking query.
    pub wait: Duration,
    /// Whether the request changes the platform's state.
    pub is_write: bool,
}

impl ConsulRequest {
    pub fn read(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Vec::new(),
            wait: Duration::ZERO,
            is_write: false,
        }
    }

    pub fn write(method: Method, path: String, body: Vec<u8>) -> Self {
        Self {
            method,
            path,
            body,
            wait: Duration::ZERO,
            is_write: true,
        }
    }
}

/// Reply of Consul with a status in the 200 range or `404`, which clears `found`.
pub struct ConsulReply {
    pub found: bool,
    pub index: ModifyIndex,
    pub body: Bytes,
}

/// HTTP client for several Consul agents, which limits the rate of all calls.
pub struct ConsulTransport {
    pub client: Client,
    pub addresses: Vec<SocketAddr>,
    pub address_index: Cell<usize>,
    pub pacer: RefCell<CallPacer>,
    pub started_at: Instant,
    pub call_timeout: Duration,
    pub permit_timeout: Duration,
}

impl ConsulTransport {
    /// Waits for a permit and sends a request once; the request is never retried.
    pub async fn call(&self, request: ConsulRequest) -> Result<ConsulReply, PlatformError> {
        self.wait_for_permit().await?;
        // Consul adds a jitter of up to a sixteenth of the wait.
        let limit = self.call_timeout + request.wait + request.wait / 16;
        let is_write = request.is_write;
        let result = match timeout(limit, self.send(request)).await {
            Ok(result) => result,
            Err(()) => Err(PlatformError::ResponseLost {
                reason: format!("no response within {limit:?}"),
            }),
        };
        let result = result.and_then(|(status, reply)| check_status(status, reply, is_write));
        self.record_result(&result);
        result
    }

    async fn wait_for_permit(&self) -> Result<(), PlatformError> {
        let mut waited = Duration::ZERO;
        loop {
            let permit = self.pacer.borrow_mut().request_call(self.now());
            match permit {
                CallPermit::Send => return Ok(()),
                CallPermit::Wait(delay) if waited + delay <= self.permit_timeout => {
                    sleep(delay).await;
                    waited += delay;
                }
                CallPermit::Wait(retry_after) => return Err(PlatformError::Paced { retry_after }),
            }
        }
    }

    async fn send(&self, request: ConsulRequest) -> Result<(u16, ConsulReply), PlatformError> {
        let address = self.addresses[self.address_index.get()];
        let url = format!("http://{address}{}", request.path);
        let response = self
            .client
            .request(request.method, url)
            .timeout(self.call_timeout + request.wait + request.wait)
            .send_body(request.body)
            .await
            .map_err(|error| classify_error(&error))?;
        let index = read_index(&response);
        let status = response.status().as_u16();
        let body = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|error| PlatformError::ResponseLost {
                reason: format!("body could not be read: {error}"),
            })?;
        let found = status != 404;
        Ok((status, ConsulReply { found, index, body }))
    }

    fn record_result(&self, result: &Result<ConsulReply, PlatformError>) {
        let mut pacer = self.pacer.borrow_mut();
        match result {
            Ok(_) => pacer.record_success(),
            Err(PlatformError::Refused { status, .. }) if *status != 429 && *status < 500 => {
                pacer.record_success();
            }
            Err(error) => {
                log::debug!("platform: call failed: {error}");
                pacer.record_failure(self.now(), rand::random());
                self.address_index
                    .set((self.address_index.get() + 1) % self.addresses.len());
            }
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::new(self.started_at.elapsed())
    }
}

fn read_index(response: &ClientResponse) -> ModifyIndex {
    let header = response.header(INDEX_HEADER);
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or("0");
    ModifyIndex::new(text.parse().unwrap_or(0))
}

fn check_status(
    status: u16,
    reply: ConsulReply,
    is_write: bool,
) -> Result<ConsulReply, PlatformError> {
    if (200..300).contains(&status) || status == 404 {
        return Ok(reply);
    }
    let text = String::from_utf8_lossy(&reply.body);
    let message: String = text.trim().chars().take(MAX_MESSAGE_CHARS).collect();
    // Consul returns a server error if it loses its leader during a commit, so the write may still
    // take effect.
    if status >= 500 && is_write {
        let reason = format!("server error {status}: {message}");
        return Err(PlatformError::ResponseLost { reason });
    }
    Err(PlatformError::Refused { status, message })
}

/// Classifies errors by whether the request may have been sent.
fn classify_error(error: &ClientError) -> PlatformError {
    let reason = error.to_string();
    match error {
        // ntex returns the same error type for a connection closed before the response as for a
        // failed connect, but without an I/O error.
        ClientError::Connect(ConnectError::Disconnected(None)) => PlatformError::ResponseLost {
            reason: "connection closed before the response".into(),
        },
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => {
            PlatformError::NotSent { reason }
        }
        ClientError::Send(_)
        | ClientError::Request(_)
        | ClientError::Response(_)
        | ClientError::H2(_)
        | ClientError::Timeout
        | ClientError::TunnelNotSupported
        | ClientError::Error(_) => PlatformError::ResponseLost { reason },
    }
}
