//! Bodies of requests that open and close streams, and the baton of a reply.

use libsql_hrana::proto::{CloseStreamReq, PipelineReqBody, StreamRequest};
use ntex::util::Bytes;
use serde::Deserialize;

use crate::UpstreamError;
use crate::http_response::parse_json;

#[derive(Deserialize)]
struct BatonField {
    baton: Option<String>,
}

/// Returns the body of a request that opens a stream and runs nothing.
///
/// ```
/// let body = coriander_upstream::open_stream_body();
/// assert_eq!(&body[..], br#"{"baton":null,"requests":[]}"#);
/// ```
pub fn open_stream_body() -> Bytes {
    encode(None, Vec::new())
}

/// Returns the body of a request that closes a stream and rolls back its transaction.
///
/// ```
/// let body = coriander_upstream::close_stream_body("b1");
/// assert_eq!(&body[..], br#"{"baton":"b1","requests":[{"type":"close"}]}"#);
/// ```
pub fn close_stream_body(baton: &str) -> Bytes {
    encode(
        Some(baton.to_owned()),
        vec![StreamRequest::Close(CloseStreamReq {})],
    )
}

/// Reads the baton of a pipeline reply; `None` means that the member closed the stream.
///
/// # Errors
///
/// Fails if the body is not a pipeline reply.
///
/// ```
/// let body = br#"{"baton":"b2","base_url":null,"results":[]}"#;
/// assert_eq!(coriander_upstream::read_baton(body)?.as_deref(), Some("b2"));
/// # Ok::<(), coriander_upstream::UpstreamError>(())
/// ```
pub fn read_baton(body: &[u8]) -> Result<Option<String>, UpstreamError> {
    parse_json::<BatonField>(body).map(|reply| reply.baton)
}

fn encode(baton: Option<String>, requests: Vec<StreamRequest>) -> Bytes {
    // Encoding structs of strings and lists into memory cannot fail.
    serde_json::to_vec(&PipelineReqBody { baton, requests })
        .unwrap_or_default()
        .into()
}
