//! Requests that are held up between two instances.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::MonotonicTime;
use coriander_peer::{BootClock, ConnectionId, PeerClient, PeerError, PeerService, serve_peers};
use coriander_wire::FrameCodec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_millis(100);

/// How long a held-up link delays what the client sends; well above [`TIMEOUT`].
const DELAY: Duration = Duration::from_millis(400);

/// How long a peer delays its first frame; below the timeout of opening a connection.
const SLOW_CONNECT: Duration = Duration::from_millis(250);

fn codec() -> FrameCodec {
    FrameCodec::new(&[7; 32])
}

fn client() -> PeerClient<u32, u32> {
    PeerClient::new(codec())
}

/// Returns what it is asked, and keeps the requests with their deadlines.
#[derive(Default)]
struct EchoService {
    handled: RefCell<Vec<(u32, MonotonicTime)>>,
    /// How long a task blocks the thread after a request has arrived and before it is handled.
    stall: Cell<Duration>,
    invalid_frames: Cell<u32>,
}

#[async_trait(?Send)]
impl PeerService<u32, u32> for EchoService {
    async fn handle(
        &self,
        _connection: ConnectionId,
        request: u32,
        deadline: MonotonicTime,
    ) -> u32 {
        self.handled.borrow_mut().push((request, deadline));
        request
    }

    fn record_request(&self, _sender: IpAddr, _request: &u32, _bytes: usize) {
        // Tasks run in the order in which they are spawned, and the handler is spawned next.
        let stall = self.stall.get();
        ntex::rt::spawn(async move { std::thread::sleep(stall) });
    }

    fn count_invalid_frame(&self) {
        self.invalid_frames.set(self.invalid_frames.get() + 1);
    }
}

async fn start_service() -> (SocketAddr, Rc<EchoService>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let service = Rc::new(EchoService::default());
    ntex::rt::spawn(serve_peers(listener, codec(), service.clone()));
    (address, service)
}

/// A link to an instance that passes replies on at once and holds up requests while `is_held`.
struct HeldLink {
    address: SocketAddr,
    is_held: Rc<Cell<bool>>,
    /// Result of the last read from the client.
    last_read: Rc<RefCell<Option<std::io::Result<usize>>>>,
}

async fn start_link(target: SocketAddr) -> HeldLink {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let link = HeldLink {
        address: listener.local_addr().expect("bound"),
        is_held: Rc::default(),
        last_read: Rc::default(),
    };
    let (is_held, last_read) = (link.is_held.clone(), link.last_read.clone());
    ntex::rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let target = TcpStream::connect(target).await.expect("instance listens");
            let (mut from_client, mut to_client) = stream.into_split();
            let (mut from_target, mut to_target) = target.into_split();
            ntex::rt::spawn(async move {
                let _ = tokio::io::copy(&mut from_target, &mut to_client).await;
            });
            let (is_held, last_read) = (is_held.clone(), last_read.clone());
            ntex::rt::spawn(async move {
                let mut bytes = [0; 4096];
                loop {
                    let read = from_client.read(&mut bytes).await;
                    let count = read.as_ref().copied().unwrap_or(0);
                    *last_read.borrow_mut() = Some(read);
                    if count == 0 {
                        return;
                    }
                    if is_held.get() {
                        sleep(DELAY).await;
                    }
                    if to_target.write_all(&bytes[..count]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    link
}

#[ntex::test]
async fn call_passes_the_deadline_on() {
    let (address, service) = start_service().await;
    let sent_at = BootClock.now();
    let reply = client().call(address, 5, TIMEOUT).await;
    assert_eq!(reply.expect("handled in time"), 5);
    let (request, deadline) = service.handled.borrow()[0];
    assert_eq!(request, 5);
    assert!(deadline > sent_at && deadline <= BootClock.now() + TIMEOUT);
}

#[ntex::test]
async fn deadline_counts_from_before_the_connection_is_opened() {
    // Guards against a deadline, and ages counted from it, that are too late by the time of the
    // connect: the peer sends its first frame only after a while.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let service = Rc::new(EchoService::default());
    let served = service.clone();
    ntex::rt::spawn(async move {
        sleep(SLOW_CONNECT).await;
        serve_peers(listener, codec(), served).await;
    });
    let deadline = BootClock.now() + SLOW_CONNECT * 3;
    let reply = client().call_until(address, 1, deadline).await;
    assert_eq!(reply.expect("handled in time"), 1);
    assert!(service.handled.borrow()[0].1 <= deadline);

    let (target, _service) = start_service().await;
    let reply = client().call_until(target, 1, BootClock.now()).await;
    assert!(matches!(reply, Err(PeerError::Expired)), "{reply:?}");
}

#[ntex::test]
async fn deadline_is_not_moved_by_a_stall_before_the_handler() {
    // Guards against a remaining time that is measured on arrival and applied later.
    let (address, service) = start_service().await;
    service.stall.set(TIMEOUT);
    let deadline = BootClock.now() + TIMEOUT * 3;
    let reply = client().call_until(address, 1, deadline).await;
    assert_eq!(reply.expect("handled in time"), 1);
    let handled_at = BootClock.now();
    let (_, received) = service.handled.borrow()[0];
    assert!(received <= deadline);
    assert!(received.since(handled_at) <= TIMEOUT * 2);
}

#[ntex::test]
async fn call_is_not_handled_after_its_deadline() {
    // Guards against a request that is delivered after a partition and runs although its sender has
    // long given it up.
    let (target, service) = start_service().await;
    let link = start_link(target).await;
    let client = client();
    let reply = client.call(link.address, 1, TIMEOUT).await;
    assert_eq!(reply.expect("the link passes requests on"), 1);
    link.is_held.set(true);
    let reply = client.call(link.address, 2, TIMEOUT).await;
    assert!(matches!(reply, Err(PeerError::NoReply)), "{reply:?}");
    sleep(DELAY * 2).await;
    assert_eq!(service.handled.borrow().len(), 1);
    link.is_held.set(false);
    let reply = client.call(link.address, 3, TIMEOUT).await;
    assert_eq!(reply.expect("the link passes requests on again"), 3);
}

#[ntex::test]
async fn disconnect_resets_the_connection() {
    // Guards against bytes that are delivered after a partition, on a connection that was given up.
    let (target, _service) = start_service().await;
    let link = start_link(target).await;
    let client = client();
    let reply = client.call(link.address, 1, TIMEOUT).await;
    assert_eq!(reply.expect("the link passes requests on"), 1);
    client.disconnect(link.address);
    sleep(TIMEOUT).await;
    let last_read = link.last_read.borrow_mut().take();
    let error = last_read.expect("a read").expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[ntex::test]
async fn reset_connection_is_no_invalid_frame() {
    // Guards against a counter of invalid frames that grows with every lost instance.
    let (address, service) = start_service().await;
    let client = client();
    let reply = client.call(address, 1, TIMEOUT).await;
    assert_eq!(reply.expect("handled"), 1);
    client.disconnect(address);
    sleep(TIMEOUT).await;
    assert_eq!(service.invalid_frames.get(), 0);
}
