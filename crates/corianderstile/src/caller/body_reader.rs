//! Reads the bodies of requests within the memory for callers.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::{ErrorCode, MonotonicTime, RequestError};
use coriander_memory::{MemoryShare, WritePace};
use ntex::util::Bytes;
use ntex::web::types::Payload;
use platform_adapter::{MemoryGate, MemoryPermit};
use tokio::time::{Instant, timeout};

/// Bytes of a body that are kept without a permit.
pub const FREE_BYTES: usize = 4096;

/// Longest body of the share for small messages.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Memory of a request per byte of its body: the body, its copy for the gateway, the decoded
/// statements, the body for the member and the buffer of its connection, or the frame for another
/// instance.
pub const BODY_COPIES: usize = 6;

/// Time for which reading stops for lack of memory: longer than the time after which a half-sent
/// body gives way, so that a wait ends with memory when the others have stopped.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// Length up to which a refused body is received and discarded, so that its sender reads the
/// refusal. A connection that closes with unread bytes is reset, which can discard the response.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// A received body and its memory.
pub struct ReceivedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// Its memory, unless it is short.
    pub permit: Option<MemoryPermit>,
}

/// Reads the body of one request.
pub struct BodyReader {
    payload: Payload,
    gate: Rc<MemoryGate>,
    limit: usize,
    started_at: Instant,
    pace: WritePace,
    permit: Option<MemoryPermit>,
    granted: usize,
}

impl BodyReader {
    /// Creates a reader of a body of at most `limit` bytes.
    pub fn new(payload: Payload, gate: Rc<MemoryGate>, limit: usize) -> Self {
        Self {
            payload,
            gate,
            limit,
            started_at: Instant::now(),
            pace: WritePace::new(MonotonicTime::ZERO),
            permit: None,
            granted: FREE_BYTES.min(limit),
        }
    }

    /// Returns the body. A body that is refused is received to its end.
    pub async fn read(mut self) -> Result<ReceivedBody, RequestError> {
        let mut body = Vec::new();
        let error = loop {
            let chunk = match self.receive().await? {
                Received::Chunk(chunk) => chunk,
                Received::End => {
                    return Ok(ReceivedBody {
                        bytes: body,
                        permit: self.permit,
                    });
                }
                Received::Revoked => break no_memory(),
            };
            let length = body.len() + chunk.len();
            if length > self.limit {
                let message = format!("body is longer than {} bytes", self.limit);
                break RequestError::not_run(ErrorCode::BadRequest, message);
            }
            if length > self.granted && !self.raise_limit(length).await {
                break no_memory();
            }
            if length > body.capacity() {
                // Grows to twice the length, but never over the bytes that are counted.
                let capacity = (2 * length).min(self.granted);
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&chunk);
        };
        drop(body);
        self.discard().await;
        Err(error)
    }

    /// Receives and discards the body of a request that is refused.
    pub async fn discard(mut self) {
        self.permit = None;
        let mut discarded = 0;
        while discarded <= MAX_DISCARDED_BYTES {
            match self.receive().await {
                Ok(Received::Chunk(chunk)) => discarded += chunk.len(),
                _ => return,
            }
        }
    }

    async fn raise_limit(&mut self, length: usize) -> bool {
        let (granted, share) = if length <= SMALL_BODY_BYTES {
            (SMALL_BODY_BYTES.min(self.limit), MemoryShare::Small)
        } else {
            // A permit for the longest body: holders that wait for each other would block.
            (self.limit, MemoryShare::Large)
        };
        let acquired = self.gate.acquire(share, granted * BODY_COPIES, MEMORY_WAIT);
        let Some(permit) = acquired.await else {
            return false;
        };
        self.permit = Some(permit);
        self.granted = granted;
        true
    }

    async fn receive(&mut self) -> Result<Received, RequestError> {
        let now = MonotonicTime::new(self.started_at.elapsed());
        let next = ntex::util::stream_recv(&mut self.payload);
        let next = timeout(self.pace.time_left(now), next);
        let received = match &self.permit {
            None => next.await,
            Some(permit) => tokio::select! {
                biased;
                () = permit.revoked() => return Ok(Received::Revoked),
                received = next => received,
            },
        };
        let failed = |reason: String| {
            let message = format!("body not received: {reason}");
            RequestError::not_run(ErrorCode::BadRequest, message)
        };
        match received {
            Ok(Some(Ok(chunk))) => {
                let now = MonotonicTime::new(self.started_at.elapsed());
                self.pace.record(chunk.len(), now);
                if let Some(permit) = &self.permit {
                    permit.record_progress(chunk.len());
                }
                Ok(Received::Chunk(chunk))
            }
            Ok(Some(Err(error))) => Err(failed(error.to_string())),
            Ok(None) => Ok(Received::End),
            Err(_) => Err(failed("it arrives too slowly".to_owned())),
        }
    }
}

enum Received {
    Chunk(Bytes),
    End,
    Revoked,
}

fn no_memory() -> RequestError {
    RequestError::not_run(ErrorCode::Overloaded, "no memory for the request")
}
