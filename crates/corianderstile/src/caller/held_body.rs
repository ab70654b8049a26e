//! Bodies of long responses, counted until they are written.

use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use coriander_core::MonotonicTime;
use coriander_memory::WritePace;
use coriander_upstream::ResponseMemory;
use ntex::http::body::{BodySize, MessageBody};
use ntex::util::Bytes;
use platform_adapter::{ConnectionGuard, MemoryGate, MemoryPermit};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::caller_connections::ConnectionUse;

/// Bytes that are handed to the connection at a time.
const CHUNK_BYTES: usize = 16 * 1024;

struct Progress {
    started_at: Instant,
    pace: Cell<WritePace>,
    permit: Rc<MemoryPermit>,
}

impl Progress {
    fn now(&self) -> MonotonicTime {
        MonotonicTime::new(self.started_at.elapsed())
    }
}

/// A body that is written in chunks. Its connection is closed when its memory has to be given back
/// or its reader is too slow.
pub struct HeldBody {
    bytes: Vec<u8>,
    written: usize,
    progress: Rc<Progress>,
    /// Its drop ends the use of the connection.
    _connection: ConnectionUse,
    /// Its drop ends the watch of the reader.
    _finished: oneshot::Sender<()>,
}

impl HeldBody {
    /// Starts to write a body with the memory that its answer was read with. A body from another
    /// instance is counted from now on.
    pub fn start(
        bytes: Vec<u8>,
        memory: ResponseMemory,
        gate: &Rc<MemoryGate>,
        connection: ConnectionUse,
    ) -> Self {
        let permit = memory.and_then(|memory| memory.downcast::<MemoryPermit>().ok());
        let permit = permit.unwrap_or_else(|| Rc::new(gate.claim_rows(bytes.len())));
        permit.set_busy(false);
        permit.shrink(bytes.len());
        let progress = Rc::new(Progress {
            started_at: Instant::now(),
            pace: Cell::new(WritePace::new(MonotonicTime::ZERO)),
            permit,
        });
        let (sender, finished) = oneshot::channel();
        ntex::rt::spawn(watch_reader(
            progress.clone(),
            finished,
            connection.guard().clone(),
        ));
        Self {
            bytes,
            written: 0,
            progress,
            _connection: connection,
            _finished: sender,
        }
    }
}

async fn watch_reader(
    progress: Rc<Progress>,
    mut finished: oneshot::Receiver<()>,
    guard: Rc<ConnectionGuard>,
) {
    loop {
        let time_left = progress.pace.get().time_left(progress.now());
        if time_left.is_zero() {
            break;
        }
        tokio::select! {
            _ = &mut finished => return,
            () = progress.permit.revoked() => break,
            () = sleep(time_left) => {}
        }
    }
    guard.signal().raise();
}

impl MessageBody for HeldBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next_chunk(
        &mut self,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let rest = &self.bytes[self.written..];
        let chunk = &rest[..rest.len().min(CHUNK_BYTES)];
        if chunk.is_empty() {
            return Poll::Ready(None);
        }
        let progress = &self.progress;
        let mut pace = progress.pace.get();
        pace.record(chunk.len(), progress.now());
        progress.pace.set(pace);
        progress.permit.record_progress(chunk.len());
        let chunk = Bytes::copy_from_slice(chunk);
        self.written += chunk.len();
        Poll::Ready(Some(Ok(chunk)))
    }
}
