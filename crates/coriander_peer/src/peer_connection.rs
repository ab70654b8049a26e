//! TCP connection between two instances, with several requests in flight.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use coriander_wire::{DecodeError, EncodeError, FrameCodec, FrameStatus};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// One frame of a connection between instances.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerFrame<Q, R> {
    /// A request; its reply has the same number.
    Request(u64, Box<Q>),
    /// The reply to the request with the same number.
    Reply(u64, R),
}

/// Failure of a request to another instance.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection could be opened, so nothing was sent.
    #[error("peer not reachable")]
    NotSent,
    /// The connection was lost or the request timed out after it was sent.
    #[error("no reply from peer")]
    NoReply,
    /// The request cannot be encoded.
    #[error("request cannot be sent: {0}")]
    Encode(#[from] EncodeError),
}

/// Maximum number of frames queued for writing to one peer.
const WRITE_QUEUE_LENGTH: usize = 1024;

/// Initial size of the receive buffer in bytes.
const READ_BUFFER_LENGTH: usize = 16 * 1024;

/// Waiting callers by request number; `None` once the connection is closed.
type PendingReplies<R> = Rc<RefCell<Option<HashMap<u64, oneshot::Sender<R>>>>>;

/// Requesting side of a connection.
pub struct PeerConnection<Q, R> {
    codec: FrameCodec,
    next_id: Cell<u64>,
    pending_replies: PendingReplies<R>,
    write_queue: mpsc::Sender<Vec<u8>>,
    request: PhantomData<Q>,
}

impl<Q, R> PeerConnection<Q, R>
where
    Q: DeserializeOwned + Serialize + 'static,
    R: DeserializeOwned + Serialize + 'static,
{
    /// Starts the tasks that read from and write to an open connection.
    pub fn start(stream: TcpStream, codec: FrameCodec) -> Self {
        let (read, write) = stream.into_split();
        let pending_replies = Rc::new(RefCell::new(Some(HashMap::new())));
        let write_queue = start_writer(write);
        ntex::rt::spawn(read_replies::<Q, R>(
            read,
            codec.clone(),
            pending_replies.clone(),
        ));
        Self {
            codec,
            next_id: Cell::new(1),
            pending_replies,
            write_queue,
            request: PhantomData,
        }
    }

    /// Returns whether the connection is open.
    pub fn is_open(&self) -> bool {
        // The writer detects a lost connection only when it writes, the reader immediately.
        !self.write_queue.is_closed() && self.pending_replies.borrow().is_some()
    }

    /// Marks the connection as closed; requests in flight fail with [`PeerError::NoReply`].
    pub fn close(&self) {
        self.pending_replies.borrow_mut().take();
    }

    /// Sends a request and waits for its reply.
    ///
    /// A reply that arrives after the timeout is dropped. It cannot complete another request,
    /// because request numbers are not reused.
    pub async fn call(&self, request: Q, timeout: Duration) -> Result<R, PeerError> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let frame = self
            .codec
            .encode(&PeerFrame::<Q, R>::Request(id, Box::new(request)))?;
        let (sender, receiver) = oneshot::channel();
        match self.pending_replies.borrow_mut().as_mut() {
            Some(pending) => pending.insert(id, sender),
            None => return Err(PeerError::NotSent),
        };
        if self.write_queue.send(frame).await.is_err() {
            self.remove_waiter(id);
            return Err(PeerError::NotSent);
        }
        let reply = tokio::time::timeout(timeout, receiver).await;
        self.remove_waiter(id);
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(PeerError::NoReply),
        }
    }

    fn remove_waiter(&self, id: u64) {
        remove_waiter(&self.pending_replies, id);
    }
}

fn remove_waiter<R>(pending_replies: &PendingReplies<R>, id: u64) -> Option<oneshot::Sender<R>> {
    pending_replies.borrow_mut().as_mut()?.remove(&id)
}

/// Starts a task that writes frames in order until the connection closes.
pub fn start_writer(mut write: OwnedWriteHalf) -> mpsc::Sender<Vec<u8>> {
    let (sender, mut receiver) = mpsc::channel::<Vec<u8>>(WRITE_QUEUE_LENGTH);
    ntex::rt::spawn(async move {
        while let Some(frame) = receiver.recv().await {
            if write.write_all(&frame).await.is_err() {
                return;
            }
        }
    });
    sender
}

async fn read_replies<Q: DeserializeOwned, R: DeserializeOwned>(
    read: OwnedReadHalf,
    codec: FrameCodec,
    pending_replies: PendingReplies<R>,
) {
    let mut reader = FrameReader::new(read, codec);
    while let Ok(Some(frame)) = reader.next::<Q, R>().await {
        if pending_replies.borrow().is_none() {
            return;
        }
        if let PeerFrame::Reply(id, reply) = frame
            && let Some(waiter) = remove_waiter(&pending_replies, id)
        {
            // The waiter may have timed out.
            let _ = waiter.send(reply);
        }
    }
    // Dropping the senders ends all waiting requests, and removing the table prevents further
    // requests on this connection.
    pending_replies.borrow_mut().take();
}

/// Error of reading the next frame.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The peer sent an invalid frame.
    #[error("invalid frame: {0}")]
    Decode(#[from] DecodeError),
}

/// Splits a byte stream into frames.
pub struct FrameReader {
    read: OwnedReadHalf,
    codec: FrameCodec,
    buffer: Vec<u8>,
}

impl FrameReader {
    /// Creates a reader.
    pub fn new(read: OwnedReadHalf, codec: FrameCodec) -> Self {
        Self {
            read,
            codec,
            buffer: Vec::with_capacity(READ_BUFFER_LENGTH),
        }
    }

    /// Returns the next frame, or `None` at the end of the connection.
    pub async fn next<Q: DeserializeOwned, R: DeserializeOwned>(
        &mut self,
    ) -> Result<Option<PeerFrame<Q, R>>, ReadError> {
        loop {
            if let FrameStatus::Complete { message, consumed } = self.codec.decode(&self.buffer)? {
                self.buffer.drain(..consumed);
                return Ok(Some(message));
            }
            if self.read.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }
}
