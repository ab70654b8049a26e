//! G13: a graceful shutdown interrupts no request.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use common::fleet::{CallerRequest, Fleet, FleetClient, insert_sql};
use coriander_standin::process::{HttpClient, ProcessError};
use tokio::time::sleep;

/// Longer than the shutdown timeout of an instance (30 s).
const EXIT_TIMEOUT: Duration = Duration::from_secs(45);
const PHASE_DURATION: Duration = Duration::from_secs(1);
const SENDERS: usize = 12;

/// Failures of requests that were sent to instances that reported ready.
type Failures = Rc<RefCell<Vec<String>>>;

struct WriteClient {
    client: FleetClient,
    readiness_client: HttpClient,
    ready_urls: Vec<String>,
    failures: Failures,
    stop_requested: Rc<Cell<bool>>,
    sent: Rc<Cell<usize>>,
}

impl WriteClient {
    /// Sends writes to ready instances only, as a load balancer does.
    async fn run(self, number: usize) {
        for count in 0.. {
            if self.stop_requested.get() {
                return;
            }
            let instance = (number + count) % 3;
            let ready = self.readiness_client.get(&self.ready_urls[instance]).await;
            if !ready.is_ok_and(|reply| reply.status == 200) {
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            let value = format!("shutdown-{number}-{count}");
            let failure = match self
                .client
                .try_send(instance, &CallerRequest::insert(&value))
                .await
            {
                Ok(reply) if reply.is_ok() => None,
                Ok(reply) => Some(format!("{reply:?}")),
                Err(ProcessError::NotSent(_)) => None,
                Err(error) => Some(error.to_string()),
            };
            let failure = failure.map(|text| format!("{value} on {instance}: {text}"));
            self.failures.borrow_mut().extend(failure);
            self.sent.set(self.sent.get() + 1);
        }
    }
}

/// Guards against requests that are interrupted or fail while instances, among them the gateway,
/// shut down one after another, and against an exit code other than 0.
#[ntex::test]
async fn shutdown_interrupts_no_request() {
    let mut fleet = Fleet::start().await;
    let (failures, stop_requested) = (Failures::default(), Rc::new(Cell::new(false)));
    let sent = Rc::new(Cell::new(0));
    let urls = fleet.run.instances.iter();
    let urls: Vec<_> = urls
        .map(|spec| format!("http://{}/ready", spec.callers))
        .collect();
    let readiness_client = HttpClient::create(Duration::from_secs(5)).await;
    let start = |number| {
        let client = WriteClient {
            client: fleet.client.clone(),
            readiness_client: readiness_client.clone(),
            ready_urls: urls.clone(),
            failures: failures.clone(),
            stop_requested: stop_requested.clone(),
            sent: sent.clone(),
        };
        ntex::rt::spawn(client.run(number))
    };
    let tasks: Vec<_> = (0..SENDERS).map(start).collect();
    let gateway = fleet.gateway().await;
    for instance in [gateway, (gateway + 1) % 3] {
        sleep(PHASE_DURATION).await;
        let name = fleet.run.instances[instance].name.clone();
        fleet.run.group.terminate(&name).unwrap();
        let code = fleet.run.group.wait_for_exit(&name, EXIT_TIMEOUT).await;
        assert_eq!(code.unwrap(), Some(0), "{name}");
        sleep(PHASE_DURATION).await;
        fleet.run.group.restart(&name).unwrap();
        fleet.run.wait_until_ready().await.unwrap();
    }
    stop_requested.set(true);
    for task in tasks {
        task.await.unwrap();
    }
    println!("{} requests sent", sent.get());
    assert_eq!(*failures.borrow(), Vec::<String>::new());
}

/// Guards against a transaction that is interrupted because its instance shuts down.
#[ntex::test]
async fn shutdown_waits_for_open_transaction() {
    let mut fleet = Fleet::start().await;
    let gateway = fleet.gateway().await;
    let other = (gateway + 1) % 3;
    let begin = CallerRequest::open(&["BEGIN IMMEDIATE", &insert_sql("one")]);
    let opened = fleet.send(other, &begin).await.expect_ok();
    let name = fleet.run.instances[gateway].name.clone();
    fleet.run.group.terminate(&name).unwrap();
    fleet.wait_until_not_ready(gateway).await;
    let next = CallerRequest::open(&[&insert_sql("two")]).baton(&opened.baton());
    let next = fleet.send(other, &next).await.expect_ok();
    let commit = CallerRequest::new(&["COMMIT"]).baton(&next.baton());
    fleet.send(other, &commit).await.expect_ok();
    let code = fleet.run.group.wait_for_exit(&name, EXIT_TIMEOUT).await;
    assert_eq!(code.unwrap(), Some(0));
    let read = CallerRequest::new(&["SELECT value FROM items ORDER BY id"]);
    let stored = fleet.send_until_ok(other, &read).await.values(0);
    assert_eq!(stored, ["one", "two"]);
}
