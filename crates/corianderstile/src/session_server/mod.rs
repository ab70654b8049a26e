//! The process that serves sessions on the users' platform.

mod settings_watch;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_memory::MemoryLimits;
use coriander_service::{
    PeerSocket, PromotionTask, RelayClient, RelayServer, SessionService, ShutdownTask, UsageTask,
    run_duty, run_registration, run_store_sync,
};
use coriander_service_api::{ControlStore, Duty, MemberConnector};
use ntex::http::HttpService;
use ntex::time::Seconds;
use ntex::web::types::State;
use ntex::web::{self, App, HttpResponse};
use platform_adapter::{
    BoundedConnector, KvStore, MemoryGate, PromotionClient, UsageClient, serve_clients,
    serve_readiness,
};
use rand::Rng;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use settings_watch::watch_settings;

use crate::proxy::StartError;
use crate::server::wait_for_signal;
use crate::settings::{SessionSettings, SettingsFile};

/// Maximum duration of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum duration of one promotion call.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum duration of one usage report; a report is repeated each second.
const USAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of connections for metrics; further ones wait to be accepted.
const MAX_HTTP_CONNECTIONS: usize = 32;

thread_local! {
    // The worker builds its HTTP service from the same process state.
    static SERVICE: RefCell<Option<Rc<SessionService>>> = const { RefCell::new(None) };
    static GATE: RefCell<Option<Rc<MemoryGate>>> = const { RefCell::new(None) };
}

enum WorkerEvent {
    Started,
    Failed(StartError),
    Drained,
}

/// Runs the process until SIGTERM or SIGINT.
pub async fn run_session_server(
    file: SettingsFile,
    settings: SessionSettings,
) -> Result<(), StartError> {
    let metrics = bind_http(settings.metrics_address)?;
    let (events, mut event_receiver) = tokio::sync::mpsc::unbounded_channel();
    let (stop_sender, _) = tokio::sync::broadcast::channel::<()>(1);
    let worker_stop = stop_sender.clone();
    let address = settings.metrics_address;
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .maxconn(MAX_HTTP_CONNECTIONS)
        .shutdown_timeout(Seconds(1))
        .on_worker_start(move || {
            let (file, settings) = (file.clone(), settings.clone());
            let events = events.clone();
            let mut stop = worker_stop.subscribe();
            async move {
                match start_service(file, settings).await {
                    Ok((service, shutdown)) => {
                        SERVICE.set(Some(service));
                        let _ = events.send(WorkerEvent::Started);
                        ntex::rt::spawn(async move {
                            let _ = stop.recv().await;
                            shutdown.run().await;
                            let _ = events.send(WorkerEvent::Drained);
                        });
                        Ok::<_, std::io::Error>(())
                    }
                    Err(error) => {
                        let _ = events.send(WorkerEvent::Failed(error));
                        Err(std::io::Error::other("process not started"))
                    }
                }
            }
        })
        .listen("metrics", metrics, async |_| {
            HttpService::new(
                App::new()
                    .state(current_service())
                    .route("/metrics", web::get().to(show_metrics))
                    .route("/state", web::get().to(show_state)),
            )
        })
        .map_err(|source| StartError::Listen { address, source })?
        .run();
    if let Some(WorkerEvent::Failed(error)) = event_receiver.recv().await {
        return Err(error);
    }
    wait_for_signal().await;
    let _ = stop_sender.send(());
    while let Some(event) = event_receiver.recv().await {
        if matches!(event, WorkerEvent::Drained) {
            break;
        }
    }
    drop(server);
    Ok(())
}

async fn show_metrics(service: State<Rc<SessionService>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(join_metrics(&service.encode_metrics()))
}

/// Adds the metrics of the limits before the last line, which ends the text.
fn join_metrics(text: &str) -> String {
    let limits = GATE.with_borrow(|gate| gate.as_ref().map(|gate| gate.encode_metrics()));
    let body = text.strip_suffix("# EOF\n").unwrap_or(text);
    format!("{body}{}# EOF\n", limits.unwrap_or_default())
}

async fn show_state(service: State<Rc<SessionService>>) -> HttpResponse {
    HttpResponse::Ok().body(service.describe())
}

fn current_service() -> Rc<SessionService> {
    SERVICE
        .with_borrow(Clone::clone)
        .expect("the worker has started the service")
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listen = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    listen().map_err(listen_error(address))
}

/// Binds an address for HTTP. With a short queue, the limit of connections takes effect before the
/// server has accepted many more.
fn bind_http(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let listen = || {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(MAX_HTTP_CONNECTIONS as u32)?.into_std()
    };
    listen().map_err(listen_error(address))
}

async fn start_service(
    file: SettingsFile,
    mut settings: SessionSettings,
) -> Result<(Rc<SessionService>, ShutdownTask), StartError> {
    let epoch: u64 = rand::rng().random();
    let name = settings.service.name.clone();
    let process = settings.process_id(epoch)?;
    settings.service = settings.service.with_process_id(process.as_str());
    let listener = bind(settings.session_address)?;
    let readiness = bind(settings.readiness_address)?;
    let socket = UdpSocket::bind(settings.service.peer_address)
        .await
        .map_err(listen_error(settings.service.peer_address))?;
    let peers = Rc::new(PeerSocket::new(socket, name, process, epoch));
    let store = KvStore::new(settings.store_address, STORE_TIMEOUT).await?;
    let store = store.with_min_lease(settings.min_lease);
    let store: Rc<dyn ControlStore> = Rc::new(store);
    let promotion_client = match settings.promotion_address {
        Some(address) => Some(PromotionClient::new(address, PROMOTION_TIMEOUT).await?),
        None => None,
    };
    let limits = MemoryLimits::new(&settings.machine);
    let gate = MemoryGate::new(&limits);
    GATE.set(Some(gate.clone()));
    let connector = Rc::new(BoundedConnector::new(gate.clone()));
    let service = SessionService::new(settings.service, connector.clone(), peers.clone());
    let peer_listener = TcpListener::bind(service.settings().peer_address)
        .await
        .map_err(listen_error(service.settings().peer_address))?;
    let relay = RelayServer::new(&service);
    ntex::rt::spawn(relay.clone().run(peer_listener, service.clone()));
    ntex::rt::spawn(RelayClient::monitor(service.clone()));
    let handler = service.clone();
    ntex::rt::spawn(peers.receive(move |sender, message| {
        handler.handle_message(sender, &message);
    }));
    ntex::rt::spawn(run_store_sync(service.clone(), store.clone()));
    ntex::rt::spawn(run_registration(service.clone(), store.clone()));
    match promotion_client {
        Some(client) => start_promotions(&service, &store, connector, client),
        None => log::warn!("no address for promotions: a failed primary is not replaced"),
    }
    if let Some(address) = settings.usage_address {
        let client = UsageClient::new(address, USAGE_TIMEOUT).await?;
        start_usage_reports(&service, &store, client);
    }
    ntex::rt::spawn(serve_clients(listener, service.clone(), gate));
    let state = service.clone();
    ntex::rt::spawn(serve_readiness(readiness, move || state.is_ready()));
    ntex::rt::spawn(watch_settings(file, service.clone()));
    let settings = service.settings();
    log::info!(
        version = env!("CARGO_PKG_VERSION"), name = &*settings.name, id = &*settings.process_id,
        zone = &*settings.zone, peers:% = settings.peer_address,
        key_lifetime:? = settings.key_lifetime, shutdown:? = settings.shutdown_timeout,
        platform_fences = settings.platform_fences,
        max_connections = limits.max_connections, share_bytes:? = limits.share_bytes;
        "process started"
    );
    let shutdown = ShutdownTask::new(service.clone(), relay, store);
    Ok((service, shutdown))
}

/// Starts the tasks that promote members.
fn start_promotions(
    service: &Rc<SessionService>,
    store: &Rc<dyn ControlStore>,
    connector: Rc<dyn MemberConnector>,
    client: PromotionClient,
) {
    let client = Rc::new(client);
    let promotions = PromotionTask::new(service.clone(), connector, store.clone(), client);
    ntex::rt::spawn(run_duty(service.clone(), store.clone(), Duty::Promotion));
    ntex::rt::spawn(promotions.run());
}

/// Starts the tasks that report usage, if the settings name the duty.
fn start_usage_reports(
    service: &Rc<SessionService>,
    store: &Rc<dyn ControlStore>,
    client: UsageClient,
) {
    let usage = UsageTask::new(service.clone(), store.clone(), Rc::new(client));
    let Some(usage) = usage else {
        return;
    };
    ntex::rt::spawn(run_duty(service.clone(), store.clone(), Duty::UsageReport));
    ntex::rt::spawn(usage.run());
}

fn listen_error(address: SocketAddr) -> impl Fn(std::io::Error) -> StartError {
    move |source| StartError::Listen { address, source }
}
