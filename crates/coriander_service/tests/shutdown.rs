//! Planned stops: every statement that was accepted has an answer before the process ends.

mod support;

use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service::{BootClock, RelayServer, ServicePhase, ServiceSettings, ShutdownTask};
use coriander_service_api::{
    ClientSession, FailureCode, FailureReason, FleetConfig, LeaseId, ReadFreshness, SessionFailure,
    SessionHost, SessionResponse, TransactionStatus,
};
use tokio::time::{sleep, timeout};

use support::fake_store::FakeStore;
use support::{DATABASE, FakeGroup, KEY, apply, code, config, open, run, start_with};

/// Time from the stop signal until the platform kills the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause of a client between two statements.
const STATEMENT_PAUSE: Duration = Duration::from_millis(20);

/// Time of a member for a statement that is still running when the process exits.
const ENDLESS: Duration = Duration::from_secs(20);

struct StoppingService {
    group: Rc<FakeGroup>,
    service: Rc<coriander_service::SessionService>,
}

impl StoppingService {
    async fn start() -> Self {
        let group = FakeGroup::new(&["a"]);
        let settings = ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into())
            .with_platform_fences(true)
            .with_shutdown_timeout(SHUTDOWN_TIMEOUT);
        let service = start_with(&group, settings).await;
        apply(&service, config_with_long_statements(), group.entries());
        Self { group, service }
    }

    /// Sends the stop signal; the returned task ends when the process exits.
    fn stop(&self) -> (MonotonicTime, tokio::sync::oneshot::Receiver<MonotonicTime>) {
        let started = BootClock.now();
        let relay = RelayServer::new(&self.service);
        let shutdown = ShutdownTask::new(self.service.clone(), relay, FakeStore::new(1));
        let (sender, exit) = tokio::sync::oneshot::channel();
        ntex::rt::spawn(async move {
            shutdown.run().await;
            let _ = sender.send(BootClock.now());
        });
        (started, exit)
    }
}

/// Returns a configuration in which a statement may outlast the shutdown.
fn config_with_long_statements() -> FleetConfig {
    let mut config = config(1, ReadFreshness::Newest);
    let route = config.routes.get_mut(DATABASE).expect("route exists");
    std::sync::Arc::make_mut(route).statement_timeout = Duration::from_secs(12);
    config.idle_transaction_timeout = Some(ENDLESS);
    config
}

fn failure(response: &SessionResponse) -> &SessionFailure {
    response.result.as_ref().expect_err("statement failed")
}

/// Runs a statement that a member does not complete and returns its response, which must be there
/// before the process exits.
async fn run_during_stop(
    stopping: &StoppingService,
    session: &mut Box<dyn ClientSession>,
    text: &str,
) -> SessionResponse {
    stopping.group.member("a").statement_time.set(ENDLESS);
    let (_, exit) = stopping.stop();
    tokio::select! {
        biased;
        response = run(session, "slow", text) => response,
        _ = exit => panic!("{text} had no answer when the process exited"),
    }
}

#[ntex::test]
async fn run_ends_open_transactions_after_half_of_the_shutdown_timeout() {
    // Guards against statements that are accepted until the process exits and then cut.
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    run(&mut session, "b", "BEGIN READ").await;
    run(&mut session, "q1", "READ 1").await;
    let (started, _exit) = stopping.stop();
    let response = loop {
        let response = run(&mut session, "q2", "READ 2").await;
        if response.result.is_err() {
            break response;
        }
        sleep(STATEMENT_PAUSE).await;
    };
    let refused_after = BootClock.now().since(started);
    assert!(
        refused_after >= SHUTDOWN_TIMEOUT / 2,
        "the first half is for the client"
    );
    // Refused from the phase that begins then, not only shortly before the exit.
    assert_eq!(stopping.service.phase(), ServicePhase::Finishing);
    let ran = stopping.group.ran_texts().len();
    let failure = failure(&response);
    assert_eq!(failure.code, FailureCode::Aborted);
    assert_eq!(failure.reason, FailureReason::ShuttingDown);
    assert_eq!(response.transaction, TransactionStatus::Failed);
    run(&mut session, "q3", "READ 3").await;
    assert_eq!(stopping.group.ran_texts().len(), ran);
}

#[ntex::test]
async fn run_lets_an_open_transaction_commit_in_the_second_half() {
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    let (_, _exit) = stopping.stop();
    sleep(SHUTDOWN_TIMEOUT * 11 / 20).await;
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), None);
    assert_eq!(stopping.group.member("a").applied_index.get(), 11);
}

#[ntex::test]
async fn run_answers_a_running_statement_of_a_transaction_before_the_exit() {
    // Guards against a connection that ends while its statement runs at a member.
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w1", "WRITE 1 x").await;
    let response = run_during_stop(&stopping, &mut session, "WRITE 2 y").await;
    assert_eq!(failure(&response).code, FailureCode::Aborted);
    assert_eq!(failure(&response).reason, FailureReason::ShuttingDown);
    assert_eq!(response.transaction, TransactionStatus::Failed);
}

#[ntex::test]
async fn run_answers_a_running_commit_as_in_doubt() {
    // Guards against a promise for writes that the member may still keep.
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w1", "WRITE 1 x").await;
    let response = run_during_stop(&stopping, &mut session, "COMMIT").await;
    assert_eq!(failure(&response).code, FailureCode::InDoubt);
    assert_eq!(response.transaction, TransactionStatus::Idle);
}

#[ntex::test]
async fn run_answers_a_running_write_as_in_doubt() {
    // Guards against a promise for a write that the member may still keep.
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    let response = run_during_stop(&stopping, &mut session, "WRITE 1 x").await;
    assert_eq!(failure(&response).code, FailureCode::InDoubt);
}

#[ntex::test]
async fn run_answers_a_running_read_as_not_kept() {
    // Guards against a connection that ends while its read runs at a member.
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    let response = run_during_stop(&stopping, &mut session, "READ 1").await;
    assert_eq!(failure(&response).code, FailureCode::Aborted);
    assert_eq!(response.transaction, TransactionStatus::Idle);
}

#[ntex::test]
async fn run_exits_before_the_platform_kills_the_process() {
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    run(&mut session, "b", "BEGIN").await;
    let (started, exit) = stopping.stop();
    let exited = timeout(SHUTDOWN_TIMEOUT, exit).await;
    let exited = exited.expect("exit in time").expect("shutdown has run");
    assert!(exited.since(started) < SHUTDOWN_TIMEOUT);
}

#[ntex::test]
async fn execute_refuses_single_statements_while_transactions_end() {
    // Guards against a client that keeps its session open by sending without a pause.
    let stopping = StoppingService::start().await;
    let mut session = open(&stopping.service).await;
    let (_, _exit) = stopping.stop();
    let lifecycle = &stopping.service.lifecycle;
    lifecycle.wait_for_phase(ServicePhase::Finishing).await;
    assert_eq!(lifecycle.phase(), ServicePhase::Finishing);
    for text in ["READ 1", "WRITE 1 x", "BEGIN"] {
        let response = run(&mut session, "q", text).await;
        assert_eq!(failure(&response).code, FailureCode::Busy, "{text}");
        assert_eq!(failure(&response).reason, FailureReason::ShuttingDown);
    }
    assert!(stopping.group.ran_texts().is_empty());
}

#[ntex::test]
async fn open_refuses_sessions_once_idle_ones_are_closed() {
    // Guards against a session that is closed while its first statement is on the way.
    let stopping = StoppingService::start().await;
    stopping.service.set_phase(ServicePhase::Closing);
    let refused = stopping.service.open(DATABASE, KEY).await.err();
    let failure = refused.expect("the process is closing its sessions");
    assert_eq!(failure.code, FailureCode::Busy);
    assert_eq!(failure.reason, FailureReason::ShuttingDown);
}

/// Guards against a process that is killed in the middle of its stop, because it waits longer for
/// the store than the platform waits for it.
#[ntex::test]
async fn run_ends_within_a_short_shutdown_timeout_while_the_store_is_slow() {
    for shutdown_timeout in [200, 750] {
        let stopping = StoppingService::start().await;
        let shutdown_timeout = Duration::from_millis(shutdown_timeout);
        let settings = (*stopping.service.settings()).clone();
        let settings = settings.with_shutdown_timeout(shutdown_timeout);
        stopping.service.apply_settings(&settings);
        stopping.service.set_registration_lease(Some(LeaseId(7)));
        let _session = open(&stopping.service).await;
        let store = FakeStore::new(1);
        store.lease_end_delay.set(Duration::from_secs(20));
        let relay = RelayServer::new(&stopping.service);
        let shutdown = ShutdownTask::new(stopping.service.clone(), relay, store);
        let ended = timeout(shutdown_timeout, shutdown.run()).await;
        assert!(ended.is_ok(), "not ended within {shutdown_timeout:?}");
    }
}
