//! Interpretation of HTTP responses and transport errors.

use std::fmt::Display;
use std::io;
use std::str::FromStr;

use coriander_core::{LogPosition, TermNumber};
use ntex::client::error::{ClientError, ConnectError};
use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::{
    LOG_POSITION_HEADER, OUTCOME_HEADER, PipelineReply, ResponseMemory, SendFailure, TERM_HEADER,
    UpstreamError, UpstreamRefusal,
};

const NOT_RUN: &str = "not_run";
const MAX_ERROR_BODY_CHARS: usize = 200;

#[derive(Default, Deserialize)]
struct RefusalBody {
    #[serde(default)]
    code: String,
    #[serde(default)]
    message: String,
}

pub(crate) fn no_response(reason: &impl Display) -> UpstreamError {
    UpstreamError::NoResponse {
        reason: reason.to_string(),
    }
}

/// Converts a transport error, separating failures before sending from all others.
///
/// `ntex` reports a connection that closes before the response as `Disconnected(None)`, although
/// the request was sent by then. Only an error of the connect call itself carries a cause.
pub(crate) fn classify_error(error: &ClientError) -> UpstreamError {
    let ClientError::Connect(connect_error) = error else {
        return match error {
            ClientError::Url(_) | ClientError::Http(_) => {
                UpstreamError::NotSent(SendFailure::Unreachable)
            }
            _ => no_response(error),
        };
    };
    match connect_error {
        ConnectError::Disconnected(None) => no_response(error),
        ConnectError::Disconnected(Some(cause)) | ConnectError::Resolver(cause) => {
            UpstreamError::NotSent(match cause.kind() {
                io::ErrorKind::ConnectionRefused => SendFailure::Refused,
                io::ErrorKind::TimedOut => SendFailure::Timeout,
                _ => SendFailure::Unreachable,
            })
        }
        ConnectError::Timeout => UpstreamError::NotSent(SendFailure::Timeout),
        _ => UpstreamError::NotSent(SendFailure::Unreachable),
    }
}

/// Reads an error response; it counts as not run only if its outcome header says so.
pub(crate) fn parse_error_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> UpstreamError {
    let outcome = headers
        .get(OUTCOME_HEADER)
        .and_then(|value| value.to_str().ok());
    if outcome != Some(NOT_RUN) {
        let body = String::from_utf8_lossy(body)
            .chars()
            .take(MAX_ERROR_BODY_CHARS)
            .collect();
        return UpstreamError::Failed {
            status: status.as_u16(),
            body,
        };
    }
    let parsed: RefusalBody = serde_json::from_slice(body).unwrap_or_default();
    UpstreamError::Refused(UpstreamRefusal {
        status: status.as_u16(),
        code: parsed.code,
        message: parsed.message,
        term: read_header(headers, TERM_HEADER).ok().map(TermNumber::new),
        log: read_header(headers, LOG_POSITION_HEADER).ok(),
    })
}

pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, UpstreamError> {
    serde_json::from_slice(body).map_err(|e| UpstreamError::Malformed {
        reason: e.to_string(),
    })
}

pub(crate) fn parse_pipeline(
    headers: &HeaderMap,
    body: Bytes,
    memory: ResponseMemory,
) -> Result<PipelineReply, UpstreamError> {
    let term = TermNumber::new(read_header(headers, TERM_HEADER)?);
    let log: LogPosition = read_header(headers, LOG_POSITION_HEADER)?;
    Ok(PipelineReply {
        body,
        term,
        log,
        memory,
    })
}

fn read_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, UpstreamError> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| UpstreamError::Malformed {
            reason: format!("header {name} is missing or invalid"),
        })
}
