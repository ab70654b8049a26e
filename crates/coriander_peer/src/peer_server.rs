//! Server for the connections of other instances.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::MonotonicTime;
use coriander_wire::FrameCodec;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::boot_clock::BootClock;
use crate::peer_connection::{FrameReader, PeerFrame, ReadError, start_writer};

/// Maximum number of connections that have not sent a valid frame. An instance sends one as soon as
/// it is connected.
const MAX_UNKNOWN_CONNECTIONS: usize = 32;

/// Time limit for the first frame of a connection. Longer than any round trip between instances,
/// and short enough that silent connections do not keep instances away.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifier of an accepted connection, unique within the process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConnectionId(u64);

/// Handles requests of other instances.
#[async_trait(?Send)]
pub trait PeerService<Q, R> {
    /// Handles one request that arrived on a connection. Its sender waits for the reply no longer
    /// than until `deadline`, a lower bound of the time at which it stops waiting. It is absolute, so
    /// that a delay before the request is handled does not move it.
    async fn handle(&self, connection: ConnectionId, request: Q, deadline: MonotonicTime) -> R;

    /// Counts a request, the address of its sender and its size on the connection.
    fn record_request(&self, _sender: IpAddr, _request: &Q, _bytes: usize) {}

    /// Counts a reply, the address of its receiver and its size on the connection.
    fn record_reply(&self, _receiver: IpAddr, _reply: &R, _bytes: usize) {}

    /// Returns whether bytes to an instance are dear, so that replies to it are compressed.
    fn shortens_replies(&self, _receiver: IpAddr) -> bool {
        false
    }

    /// Called when a connection is accepted, before its first request.
    fn connection_started(&self, _connection: ConnectionId) {}

    /// Called after a connection has ended. Handlers of requests that arrived with its end may start
    /// after this call.
    fn connection_ended(&self, _connection: ConnectionId) {}

    /// Counts a connection that was closed because of an invalid frame.
    fn count_invalid_frame(&self);
}

/// Serves connections until the listener fails.
pub async fn serve_peers<Q, R>(
    listener: TcpListener,
    codec: FrameCodec,
    service: Rc<dyn PeerService<Q, R>>,
) where
    Q: DeserializeOwned + Serialize + 'static,
    R: DeserializeOwned + Serialize + 'static,
{
    let mut accepted = 0;
    let unknown = Arc::new(Semaphore::new(MAX_UNKNOWN_CONNECTIONS));
    loop {
        // Further connections wait to be accepted. The timeout of the first frame ends the wait.
        let Ok(permit) = unknown.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                accepted += 1;
                let id = ConnectionId(accepted);
                let peer = address.ip();
                let (codec, service) = (codec.clone(), service.clone());
                ntex::rt::spawn(async move {
                    service.connection_started(id);
                    serve_connection((id, peer), stream, codec, service.clone(), permit).await;
                    service.connection_ended(id);
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection from an instance");
                // Prevents a busy loop while no file descriptors are available.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<Q, R>(
    (id, peer): (ConnectionId, IpAddr),
    stream: TcpStream,
    codec: FrameCodec,
    service: Rc<dyn PeerService<Q, R>>,
    unknown_permit: OwnedSemaphorePermit,
) where
    Q: DeserializeOwned + Serialize + 'static,
    R: DeserializeOwned + Serialize + 'static,
{
    let mut unknown_permit = Some(unknown_permit);
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let write_queue = start_writer(write, None);
    let hello = PeerFrame::<Q, R>::Hello {
        sent_at: BootClock.now().since_start(),
    };
    let Ok(hello) = codec.encode(&hello) else {
        return;
    };
    // Sending fails only if the connection is closed, which the reader finds out.
    drop(write_queue.send(hello).await);
    let mut reader = FrameReader::new(read, codec.clone());
    loop {
        let received = if unknown_permit.is_some() {
            let first = timeout(FIRST_FRAME_TIMEOUT, reader.next::<Q, R>()).await;
            let Ok(first) = first else {
                return;
            };
            if matches!(first, Ok(Some(_))) {
                unknown_permit = None;
            }
            first
        } else {
            reader.next::<Q, R>().await
        };
        match received {
            Ok(Some(PeerFrame::Request {
                number,
                deadline,
                body,
            })) => {
                service.record_request(peer, &body, reader.frame_bytes());
                let arrived_at = BootClock.now();
                let deadline = MonotonicTime::new(deadline);
                if arrived_at >= deadline {
                    let late = arrived_at.since(deadline);
                    log::warn!(late:? = late; "late request of an instance not handled");
                    continue;
                }
                let service = service.clone();
                let write_queue = write_queue.clone();
                let codec = codec.clone();
                ntex::rt::spawn(async move {
                    let reply = PeerFrame::<Q, R>::Reply {
                        number,
                        body: service.handle(id, *body, deadline).await,
                        sent_at: BootClock.now().since_start(),
                    };
                    let encoded = if service.shortens_replies(peer) {
                        codec.encode_short(&reply)
                    } else {
                        codec.encode(&reply)
                    };
                    match encoded {
                        Ok(frame) => {
                            if let PeerFrame::Reply { body, .. } = &reply {
                                service.record_reply(peer, body, frame.len());
                            }
                            // Sending fails only if the connection is closed, so no caller waits.
                            drop(write_queue.send(frame).await);
                        }
                        Err(error) => log::warn!(error:% = error; "reply dropped: encoding failed"),
                    }
                });
            }
            Ok(Some(PeerFrame::Hello { .. } | PeerFrame::Reply { .. })) => {}
            Ok(None) => return,
            Err(error) => {
                log::warn!(error:% = error; "connection from an instance closed");
                if matches!(error, ReadError::Decode(_)) {
                    service.count_invalid_frame();
                }
                return;
            }
        }
    }
}
