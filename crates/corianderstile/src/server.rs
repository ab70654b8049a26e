//! The HTTP servers of one process, on a single worker thread.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use coriander_memory::MemoryLimits;
use ntex::http::HttpService;
use ntex::io::Io;
use ntex::service::{chain_factory, fn_service};
use ntex::time::Seconds;
use ntex::web::App;
use tokio::signal::unix::{SignalKind, signal};

use crate::admin::admin_routes;
use crate::caller::{CallerConnections, MAX_ADMIN_CONNECTIONS, caller_routes};
use crate::proxy::{Proxy, StartError};
use crate::settings::InstanceSettings;

thread_local! {
    // The worker builds both HTTP services from the same process state.
    static PROXY: RefCell<Option<Rc<Proxy>>> = const { RefCell::new(None) };
}

/// Runs the process until SIGTERM or SIGINT.
pub async fn run_server(settings: InstanceSettings) -> Result<(), StartError> {
    let (caller, admin) = (settings.caller_address, settings.admin_address);
    let listen_error = |address: SocketAddr| move |source| StartError::Listen { address, source };
    let caller_listener = std::net::TcpListener::bind(caller).map_err(listen_error(caller))?;
    let admin_listener = std::net::TcpListener::bind(admin).map_err(listen_error(admin))?;
    let (event_sender, mut event_receiver) = tokio::sync::mpsc::unbounded_channel();
    // Connections over the limits are accepted and closed. This limit only bounds how many of them
    // wait to be closed.
    let limits = MemoryLimits::new(&settings.machine);
    let max_connections = limits.max_connections + 2 * MAX_ADMIN_CONNECTIONS;
    let (stop_sender, _) = tokio::sync::broadcast::channel::<()>(1);
    let worker_stop = stop_sender.clone();
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .maxconn(max_connections)
        .shutdown_timeout(Seconds(1))
        .on_worker_start(move || {
            let settings = settings.clone();
            let events = event_sender.clone();
            let stop = worker_stop.subscribe();
            async move {
                let proxy = Proxy::start(settings).await;
                match proxy {
                    Ok(proxy) => {
                        PROXY.set(Some(proxy.clone()));
                        ntex::rt::spawn(wait_for_stop(proxy, stop, events.clone()));
                        let _ = events.send(WorkerEvent::Started);
                        Ok::<_, std::io::Error>(())
                    }
                    Err(error) => {
                        let _ = events.send(WorkerEvent::Failed(error));
                        Err(std::io::Error::other("process not started"))
                    }
                }
            }
        })
        .listen("callers", caller_listener, async |_| {
            let entry = current_proxy().entry.clone();
            let connections = entry.connections().clone();
            let admit = fn_service(async move |io: Io| connections.admit(io));
            chain_factory(admit).and_then(HttpService::h1(
                App::new().state(entry).configure(caller_routes),
            ))
        })
        .and_then(|builder| {
            builder.listen("admin", admin_listener, async |_| {
                let proxy = current_proxy();
                let connections = CallerConnections::for_admin(&proxy.memory_limits());
                let admit = fn_service(async move |io: Io| connections.admit(io));
                chain_factory(admit).and_then(HttpService::h1(
                    App::new().state(proxy).configure(admin_routes),
                ))
            })
        })
        .map_err(listen_error(caller))?
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
    server.stop(true).await;
    Ok(())
}

enum WorkerEvent {
    Started,
    Failed(StartError),
    Drained,
}

async fn wait_for_stop(
    proxy: Rc<Proxy>,
    mut stop: tokio::sync::broadcast::Receiver<()>,
    events: tokio::sync::mpsc::UnboundedSender<WorkerEvent>,
) {
    let _ = stop.recv().await;
    proxy.shut_down().await;
    let _ = events.send(WorkerEvent::Drained);
}

fn current_proxy() -> Rc<Proxy> {
    PROXY
        .with_borrow(Clone::clone)
        .expect("the worker has started the proxy")
}

pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("proxy: signals cannot be received");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
