//! Accepts connections of other instances.

use std::rc::Rc;

use async_trait::async_trait;
use coriander_wire::FrameCodec;
use tokio::net::{TcpListener, TcpStream};

use super::connection::{FrameReader, start_writer};
use super::messages::{PeerFrame, PeerReply, PeerRequest};

/// Answers requests of other instances.
#[async_trait(?Send)]
pub trait PeerService {
    /// Handles one request.
    async fn handle(&self, request: PeerRequest) -> PeerReply;

    /// Counts a connection that was closed because of an invalid frame.
    fn count_invalid_frame(&self);
}

/// Serves connections until the listener fails.
pub async fn serve_peers(listener: TcpListener, codec: FrameCodec, service: Rc<dyn PeerService>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                ntex::rt::spawn(serve_connection(stream, codec.clone(), service.clone()));
            }
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                // Running out of file descriptors must not turn into a busy loop.
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, codec: FrameCodec, service: Rc<dyn PeerService>) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let outgoing = start_writer(write);
    let mut reader = FrameReader::new(read, codec.clone());
    loop {
        match reader.next().await {
            Ok(Some(PeerFrame::Request(id, request))) => {
                let service = service.clone();
                let outgoing = outgoing.clone();
                let codec = codec.clone();
                ntex::rt::spawn(async move {
                    let reply = service.handle(*request).await;
                    match codec.encode(&PeerFrame::Reply(id, reply)) {
                        // A closed connection has no waiter any more.
                        Ok(frame) => drop(outgoing.send(frame).await),
                        Err(error) => log::warn!("peer: reply not sent: {error}"),
                    }
                });
            }
            Ok(Some(PeerFrame::Reply(..))) => {}
            Ok(None) => return,
            Err(error) => {
                log::warn!("peer: connection closed: {error}");
                service.count_invalid_frame();
                return;
            }
        }
    }
}
