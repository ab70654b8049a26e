//! A caller's request, parsed from its path and headers.

use coriander_core::{ClassName, DatabaseName, ErrorCode, RequestError};
use ntex::http::HeaderMap;

use super::bounded_text::{MAX_ERROR_BYTES, bounded_text};

/// Class of requests without a class header.
pub const DEFAULT_CLASS: &str = "default";

/// Header that selects the class.
pub const CLASS_HEADER: &str = "x-corianderstile-class";
/// Header that selects the database; libsql clients send it.
pub const NAMESPACE_HEADER: &str = "x-namespace";
/// Header that carries the session token in both directions.
pub const SESSION_HEADER: &str = "x-corianderstile-session";
/// Header with the caller's idempotency key.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Response header that names the member that executed the request.
pub const SERVED_BY_HEADER: &str = "x-served-by";

/// Maximum length of a request id in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 128;

/// Endpoint that a caller used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerEndpoint {
    /// `/v2/pipeline` and `/v3/pipeline`, which differ only in the request types they allow.
    Pipeline,
    /// `/v3/cursor`
    Cursor,
}

/// A caller's request before its key is checked.
#[derive(Clone)]
pub struct CallerRequest {
    /// Endpoint that the caller used.
    pub endpoint: CallerEndpoint,
    /// Key as sent by the caller; it must not leave this process.
    pub key: String,
    /// Database, if the caller named one.
    pub database: Option<DatabaseName>,
    /// Class of the request.
    pub class: ClassName,
    /// Session token, if the caller sent one.
    pub session: Option<String>,
    /// Idempotency key, if the caller sent one.
    pub request_id: Option<String>,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Reads the headers of a request.
    pub fn from_headers(
        endpoint: CallerEndpoint,
        path_database: Option<&str>,
        headers: &HeaderMap,
        body: Vec<u8>,
    ) -> Result<Self, RequestError> {
        let database = match path_database.or(text_header(headers, NAMESPACE_HEADER)?) {
            Some(name) => Some(
                name.parse()
                    .map_err(|error| bad_request("database", &error))?,
            ),
            None => None,
        };
        let class = text_header(headers, CLASS_HEADER)?.unwrap_or(DEFAULT_CLASS);
        let class = class
            .parse()
            .map_err(|error| bad_request("class", &error))?;
        Ok(Self {
            endpoint,
            key: bearer_key(headers)?,
            database,
            class,
            session: text_header(headers, SESSION_HEADER)?.map(str::to_owned),
            request_id: request_id(headers)?,
            body,
        })
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<String, RequestError> {
    let missing = || RequestError::not_run(ErrorCode::Unauthorized, "bearer key is missing");
    let value = text_header(headers, "authorization")?.ok_or_else(missing)?;
    let (scheme, key) = value.split_once(' ').ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(missing());
    }
    Ok(key.trim().to_owned())
}

fn request_id(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let Some(id) = text_header(headers, REQUEST_ID_HEADER)? else {
        return Ok(None);
    };
    let is_valid = !id.is_empty()
        && id.len() <= MAX_REQUEST_ID_LENGTH
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid {
        let message = "request id must be 1 to 128 visible ASCII characters";
        return Err(RequestError::not_run(ErrorCode::BadRequest, message));
    }
    Ok(Some(id.to_owned()))
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|error| bad_request(name, &error))?;
    Ok(Some(text))
}

fn bad_request(name: &str, error: &dyn std::fmt::Display) -> RequestError {
    let message = bounded_text(&format!("{name}: {error}"), MAX_ERROR_BYTES);
    RequestError::not_run(ErrorCode::BadRequest, message)
}
