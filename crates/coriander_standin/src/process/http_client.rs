//! HTTP client of the tests and the load driver.

use std::time::Duration;

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, Connector};
use ntex::http::{HeaderMap, Method};
use ntex::time::{Millis, Seconds};
use serde::de::DeserializeOwned;

use super::process_error::ProcessError;

const MAX_RESPONSE_BYTES: usize = 1 << 28;
const MAX_CONNECTIONS_PER_HOST: usize = 4096;
/// Shorter than the keep-alive of the servers (5 s), so that no connection is reused while the
/// server closes it.
const KEEP_ALIVE: Seconds = Seconds(4);

/// An HTTP client that keeps its connections open.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    timeout: Duration,
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct HttpReply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpReply {
    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ProcessError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl HttpClient {
    /// Creates a client whose requests fail after a timeout.
    pub async fn create(timeout: Duration) -> Self {
        let connector = Connector::default()
            .limit(MAX_CONNECTIONS_PER_HOST)
            .keep_alive(KEEP_ALIVE);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .build(ntex::SharedCfg::default())
            .await
            .expect("the HTTP client is valid");
        Self { client, timeout }
    }

    /// Sends a GET request.
    pub async fn get(&self, url: &str) -> Result<HttpReply, ProcessError> {
        self.send(Method::GET, url, &[], Vec::new()).await
    }

    /// Sends a POST request.
    pub async fn post(&self, url: &str, body: String) -> Result<HttpReply, ProcessError> {
        self.send(Method::POST, url, &[], body.into_bytes()).await
    }

    /// Sends a PUT request.
    pub async fn put(&self, url: &str, body: &str) -> Result<HttpReply, ProcessError> {
        let body = body.as_bytes().to_vec();
        self.send(Method::PUT, url, &[], body).await
    }

    /// Sends a request and reads the whole response within the timeout.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<HttpReply, ProcessError> {
        let failed = |reason: String| ProcessError::Request {
            url: url.to_owned(),
            reason,
        };
        let mut request = self.client.request(method, url).timeout(Millis::ZERO);
        for (name, value) in headers {
            request = request.set_header(*name, *value);
        }
        let exchange = async {
            let response = request.send_body(body).await;
            let response = response.map_err(|error| match &error {
                // The client reports a connection that closes before the response in the same
                // type as a failed connect, but without a cause.
                ClientError::Connect(ConnectError::Disconnected(None)) => failed(error.to_string()),
                ClientError::Connect(_) => ProcessError::NotSent(url.to_owned()),
                _ => failed(error.to_string()),
            })?;
            let body = response
                .body()
                .limit(MAX_RESPONSE_BYTES)
                .timeout(Millis::ZERO);
            Ok(HttpReply {
                status: response.status().as_u16(),
                headers: response.headers().clone(),
                body: body
                    .await
                    .map_err(|error| failed(error.to_string()))?
                    .to_vec(),
            })
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(failed("timeout".to_owned())),
        }
    }
}
