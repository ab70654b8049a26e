//! TCP connection between two instances, with several requests in flight.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_wire::{DecodeError, EncodeError, FrameCodec, FrameStatus, wire_duration};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot, watch};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::boot_clock::BootClock;
use crate::peer_time::PeerTime;

/// One frame of a connection between instances. Times are those of the accepting side.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerFrame<Q, R> {
    /// The first frame of each side.
    Hello {
        /// Time at which it was sent.
        #[serde(with = "wire_duration")]
        sent_at: Duration,
    },
    /// A request.
    Request {
        /// Number of the request on its connection.
        number: u64,
        /// Time from which the sender no longer waits for the reply.
        #[serde(with = "wire_duration")]
        deadline: Duration,
        /// The request.
        body: Box<Q>,
    },
    /// A reply.
    Reply {
        /// Number of the request.
        number: u64,
        /// Time at which it was sent.
        #[serde(with = "wire_duration")]
        sent_at: Duration,
        /// The reply.
        body: R,
    },
}

/// Failure of a request to another instance.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection could be opened, so nothing was sent.
    #[error("peer not reachable")]
    NotSent,
    /// The deadline passed before the connection was open, so nothing was sent.
    #[error("deadline passed before the request was sent")]
    Expired,
    /// The connection was lost or the request timed out after it was sent.
    #[error("no reply from peer")]
    NoReply,
    /// The request cannot be encoded.
    #[error("request cannot be sent: {0}")]
    Encode(#[from] EncodeError),
}

/// Maximum number of frames queued for writing to one peer.
const WRITE_QUEUE_LENGTH: usize = 1024;

/// Initial size of the receive buffer in bytes, and maximum of what is received from a sender that
/// has not sent a valid frame yet.
const READ_BUFFER_LENGTH: usize = 16 * 1024;

/// Waiting callers by request number; `None` once the connection is closed.
type PendingReplies<R> = Rc<RefCell<Option<HashMap<u64, oneshot::Sender<R>>>>>;

/// Requesting side of a connection.
pub struct PeerConnection<Q, R> {
    codec: FrameCodec,
    next_id: Cell<u64>,
    pending_replies: PendingReplies<R>,
    write_queue: mpsc::Sender<Vec<u8>>,
    peer_time: Rc<PeerTime>,
    /// Set when the connection is given up.
    is_closed: watch::Sender<bool>,
    request: PhantomData<Q>,
}

impl<Q, R> PeerConnection<Q, R>
where
    Q: DeserializeOwned + Serialize + 'static,
    R: DeserializeOwned + Serialize + 'static,
{
    /// Waits for the first frame of the other side and starts the tasks that read and write.
    pub async fn open(stream: TcpStream, codec: FrameCodec) -> Result<Self, PeerError> {
        let (read, write) = stream.into_split();
        let mut reader = FrameReader::new(read, codec.clone());
        let Ok(Some(PeerFrame::Hello { sent_at })) = reader.next::<Q, R>().await else {
            return Err(PeerError::NotSent);
        };
        let peer_time = Rc::new(PeerTime::new(sent_at, BootClock.now()));
        let own_hello = codec.encode(&PeerFrame::<Q, R>::Hello {
            sent_at: BootClock.now().since_start(),
        })?;
        let pending_replies = Rc::new(RefCell::new(Some(HashMap::new())));
        let (is_closed, closed) = watch::channel(false);
        let write_queue = start_writer(write, Some(closed.clone()));
        // The other side receives long frames only after a short one that is valid.
        drop(write_queue.send(own_hello).await);
        let replies = ReplyReader {
            reader,
            peer_time: peer_time.clone(),
            pending_replies: pending_replies.clone(),
        };
        ntex::rt::spawn(replies.run::<Q>(closed));
        Ok(Self {
            codec,
            next_id: Cell::new(1),
            pending_replies,
            write_queue,
            peer_time,
            is_closed,
            request: PhantomData,
        })
    }

    /// Returns whether the connection is open.
    pub fn is_open(&self) -> bool {
        // The writer detects a lost connection only when it writes, the reader immediately.
        !self.write_queue.is_closed() && self.pending_replies.borrow().is_some()
    }

    /// Resets the connection, which discards what has not been delivered; requests in flight fail
    /// with [`PeerError::NoReply`].
    pub fn close(&self) {
        self.pending_replies.borrow_mut().take();
        self.is_closed.send_replace(true);
    }

    /// Sends a request and waits for its reply until `deadline`.
    ///
    /// A reply that arrives after the deadline is dropped. It cannot complete another request,
    /// because request numbers are not reused.
    pub async fn call(&self, request: Q, deadline: MonotonicTime) -> Result<R, PeerError> {
        if BootClock.now() >= deadline {
            return Err(PeerError::Expired);
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let frame = self.codec.encode(&PeerFrame::<Q, R>::Request {
            number: id,
            deadline: self.peer_time.at(deadline),
            body: Box::new(request),
        })?;
        let (sender, receiver) = oneshot::channel();
        match self.pending_replies.borrow_mut().as_mut() {
            Some(pending) => pending.insert(id, sender),
            None => return Err(PeerError::NotSent),
        };
        if self.write_queue.send(frame).await.is_err() {
            self.remove_waiter(id);
            return Err(PeerError::NotSent);
        }
        let remaining = deadline.since(BootClock.now());
        let reply = tokio::time::timeout(remaining, receiver).await;
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

/// Starts a task that writes frames in order until the connection closes or is given up.
pub fn start_writer(
    mut write: OwnedWriteHalf,
    closed: Option<watch::Receiver<bool>>,
) -> mpsc::Sender<Vec<u8>> {
    let (sender, mut receiver) = mpsc::channel::<Vec<u8>>(WRITE_QUEUE_LENGTH);
    ntex::rt::spawn(async move {
        let given_up = tokio::select! {
            biased;
            () = wait_until_closed(closed) => true,
            () = write_frames(&mut write, &mut receiver) => false,
        };
        if given_up {
            reset_on_drop(write);
        }
    });
    sender
}

async fn write_frames(write: &mut OwnedWriteHalf, receiver: &mut mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = receiver.recv().await {
        if write.write_all(&frame).await.is_err() {
            return;
        }
    }
}

/// Waits until the connection is given up; forever if it never is.
async fn wait_until_closed(closed: Option<watch::Receiver<bool>>) {
    if let Some(mut closed) = closed
        && closed.wait_for(|is_closed| *is_closed).await.is_ok()
    {
        return;
    }
    std::future::pending::<()>().await;
}

/// Drops the write half so that the connection is reset once the read half is dropped as well.
fn reset_on_drop(write: OwnedWriteHalf) {
    if let Err(error) = write.as_ref().set_zero_linger() {
        log::debug!(error:% = error; "connection to an instance is closed without a reset");
    }
    // A regular drop would send the end of the stream after what is still queued.
    write.forget();
}

/// Reads the replies of a connection.
struct ReplyReader<R> {
    reader: FrameReader,
    peer_time: Rc<PeerTime>,
    pending_replies: PendingReplies<R>,
}

impl<R: DeserializeOwned> ReplyReader<R> {
    /// Reads until the connection ends or is given up.
    async fn run<Q: DeserializeOwned>(mut self, closed: watch::Receiver<bool>) {
        tokio::select! {
            () = wait_until_closed(Some(closed)) => {}
            () = self.read_replies::<Q>() => {}
        }
        // Dropping the senders ends all waiting requests, and removing the table prevents further
        // requests on this connection.
        self.pending_replies.borrow_mut().take();
    }

    async fn read_replies<Q: DeserializeOwned>(&mut self) {
        while let Ok(Some(frame)) = self.reader.next::<Q, R>().await {
            let PeerFrame::Reply {
                number,
                sent_at,
                body,
            } = frame
            else {
                continue;
            };
            self.peer_time.record(sent_at, BootClock.now());
            if let Some(waiter) = remove_waiter(&self.pending_replies, number) {
                // The waiter may have timed out.
                let _ = waiter.send(body);
            }
        }
    }
}

/// Error of reading the next frame.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The first frame of a peer is longer than a valid one.
    #[error("first frame is too long")]
    FirstFrame,
    /// The peer sent an invalid frame.
    #[error("invalid frame: {0}")]
    Decode(#[from] DecodeError),
}

/// Splits a byte stream into frames.
pub struct FrameReader {
    read: OwnedReadHalf,
    codec: FrameCodec,
    buffer: Vec<u8>,
    /// Whether the peer has sent a valid frame, which proves that it knows the key of the fleet.
    is_authenticated: bool,
    /// Size of the last frame.
    frame_bytes: usize,
}

impl FrameReader {
    /// Creates a reader.
    pub fn new(read: OwnedReadHalf, codec: FrameCodec) -> Self {
        Self {
            read,
            codec,
            buffer: Vec::with_capacity(READ_BUFFER_LENGTH),
            is_authenticated: false,
            frame_bytes: 0,
        }
    }

    /// Returns the size of the last frame in bytes.
    pub const fn frame_bytes(&self) -> usize {
        self.frame_bytes
    }

    /// Returns the next frame, or `None` at the end of the connection.
    pub async fn next<Q: DeserializeOwned, R: DeserializeOwned>(
        &mut self,
    ) -> Result<Option<PeerFrame<Q, R>>, ReadError> {
        loop {
            if let FrameStatus::Complete { message, consumed } = self.codec.decode(&self.buffer)? {
                self.buffer.drain(..consumed);
                self.buffer.shrink_to(READ_BUFFER_LENGTH);
                self.is_authenticated = true;
                self.frame_bytes = consumed;
                return Ok(Some(message));
            }
            if !self.is_authenticated && self.buffer.len() >= READ_BUFFER_LENGTH {
                return Err(ReadError::FirstFrame);
            }
            if self.read.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }
}
