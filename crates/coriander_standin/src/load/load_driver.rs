//! Runs the load: sends the arrivals, checks each result and compares the databases with the
//! history of writes at the end.

use std::cell::{Cell, RefCell};
use std::fs;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

use super::arrival_schedule::{ArrivalSchedule, LoadArrival, RequestKind};
use super::driver_settings::DriverSettings;
use super::instance_balancer::InstanceBalancer;
use super::load_metrics::{LoadMetrics, RequestRecord};
use super::load_plot::draw_plot;
use super::load_report::LoadReport;
use super::load_session::{LoadSession, SessionPool};
use super::request_sender::{
    CallFailure, CallReply, CallSpec, FailureKind, RequestSender, execute, first_value, integer,
    statement_failure, text,
};
use super::write_history::{SessionKey, WriteHistory, WriteOutcome};

const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS load_writes \
    (request_id TEXT, session_key INTEGER, sequence INTEGER, payload TEXT)";
const CREATE_INDEX: &str =
    "CREATE INDEX IF NOT EXISTS load_writes_key ON load_writes (session_key, sequence)";
const INSERT: &str = "INSERT INTO load_writes VALUES (?, ?, ?, ?)";
const SELECT_KEY: &str = "SELECT max(sequence) FROM load_writes WHERE session_key = ?";
const SELECT_PAGE: &str =
    "SELECT rowid, request_id FROM load_writes WHERE rowid > ? ORDER BY rowid LIMIT 500";
/// Delay before the databases are read back, so that writes whose response was lost can complete.
const SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Timeout for reading back one page of rows.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(30);

struct DriverState {
    settings: DriverSettings,
    sender: RequestSender,
    /// Sends the setup and read-back requests, which the report does not count.
    uncounted_sender: RequestSender,
    sessions: RefCell<SessionPool>,
    history: RefCell<WriteHistory>,
    metrics: RefCell<LoadMetrics>,
    start: Instant,
    open_requests: Cell<usize>,
    run_id: u32,
}

/// Result of a write.
struct WriteResult {
    result: Result<CallReply, CallFailure>,
    outcome: WriteOutcome,
    is_within_rate: bool,
}

/// Runs the load and returns its report.
pub async fn run_driver(settings: DriverSettings) -> eyre::Result<LoadReport> {
    if settings.instance.is_empty() {
        return Err(eyre!("no --instance given"));
    }
    let balancer = InstanceBalancer::new(settings.instance.clone());
    ntex::rt::spawn(balancer.clone().run_checks());
    let schedule = draw_schedule(&settings);
    let uncounted_sender =
        RequestSender::create(settings.clone(), balancer.clone(), Instant::now()).await;
    create_tables(&uncounted_sender, &settings).await?;
    let start = Instant::now();
    let state = Rc::new(DriverState {
        sender: RequestSender::create(settings.clone(), balancer.clone(), start).await,
        uncounted_sender,
        sessions: RefCell::default(),
        history: RefCell::default(),
        metrics: RefCell::default(),
        start,
        open_requests: Cell::new(0),
        run_id: rand::random(),
        settings,
    });
    state.send_arrivals(&schedule).await;
    let length = Duration::from_secs(u64::from(state.settings.seconds));
    state.metrics.borrow_mut().finish(length);
    sleep(SETTLE_DELAY).await;
    let read_back = state.read_back().await;
    if let Err(error) = &read_back {
        log::error!("driver: reading back failed, so the writes are not verified: {error}");
    }
    balancer.stop();
    let history = state.history.borrow().compare(read_back.is_ok());
    let sessions = state.sessions.borrow().created();
    let metrics = state.metrics.borrow();
    let report = LoadReport::new(&state.settings, &metrics, &state.sender, history, sessions);
    write_files(&state.settings, &report)?;
    Ok(report)
}

fn draw_schedule(settings: &DriverSettings) -> ArrivalSchedule {
    let length = Duration::from_secs(u64::from(settings.seconds));
    let greedy = (settings.seed, settings.greedy.as_deref());
    ArrivalSchedule::draw_greedy(&settings.deployment, length, settings.load_percent, greedy)
        .with_transactions(settings.transaction_percent, settings.seed)
}

fn write_files(settings: &DriverSettings, report: &LoadReport) -> eyre::Result<()> {
    if let Some(path) = &settings.json {
        fs::write(path, serde_json::to_string_pretty(report)?)
            .wrap_err("failed to write the JSON report")?;
    }
    if let Some(path) = &settings.svg {
        draw_plot(report, path).map_err(|error| eyre!("failed to draw the plot: {error}"))?;
    }
    Ok(())
}

/// Returns a class that accepts no stale data.
fn strict_class(settings: &DriverSettings) -> String {
    let classes = &settings.deployment.classes;
    let strict = classes.iter().find(|class| class.freshness_ms == 0);
    strict.unwrap_or(&classes[0]).name.to_owned()
}

async fn create_tables(sender: &RequestSender, settings: &DriverSettings) -> eyre::Result<()> {
    for &database in &settings.deployment.databases {
        for sql in [CREATE_TABLE, CREATE_INDEX] {
            let call = CallSpec {
                class: strict_class(settings),
                database: database.to_owned(),
                request_id: Some(format!("setup-{:016x}", rand::random::<u64>())),
                body: json!({"requests": [execute(sql, &[]), {"type": "close"}]}),
                ..CallSpec::default()
            };
            let (result, _) = sender.send(&call).await;
            let reply = result.map_err(|failure| {
                eyre!("failed to create the table in {database}: {failure:?}")
            })?;
            if let Some(code) = statement_failure(&reply) {
                return Err(eyre!("failed to create the table in {database}: {code}"));
            }
        }
    }
    Ok(())
}

impl DriverState {
    /// Sends each request at its scheduled time and waits until all requests have completed.
    async fn send_arrivals(self: &Rc<Self>, schedule: &ArrivalSchedule) {
        for arrival in schedule.arrivals() {
            sleep_until((self.start + arrival.at).into()).await;
            self.open_requests.set(self.open_requests.get() + 1);
            let (state, arrival) = (self.clone(), *arrival);
            ntex::rt::spawn(async move {
                state.run_arrival(arrival).await;
                state.open_requests.set(state.open_requests.get() - 1);
            });
        }
        while self.open_requests.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn run_arrival(&self, arrival: LoadArrival) {
        let (account, database) = (arrival.account, arrival.database);
        let mut session = self.sessions.borrow_mut().take(account, database);
        if arrival.kind.is_read() {
            self.send_read(arrival, &mut session).await;
        } else {
            self.send_write(arrival, &mut session).await;
        }
        let mut sessions = self.sessions.borrow_mut();
        sessions.put_back(account, database, session);
    }

    fn build_call(
        &self,
        arrival: LoadArrival,
        session: &LoadSession,
        requests: &Value,
    ) -> CallSpec {
        let profile = &self.settings.deployment;
        CallSpec {
            account: arrival.account,
            class: profile.classes[arrival.class].name.to_owned(),
            database: profile.databases[arrival.database].to_owned(),
            token: session.token.clone(),
            request_id: None,
            in_transaction: false,
            body: json!({"requests": requests}),
        }
    }

    fn build_record(
        &self,
        arrival: LoadArrival,
        is_within_rate: bool,
        error: Option<String>,
    ) -> RequestRecord {
        let profile = &self.settings.deployment;
        RequestRecord {
            account: profile.accounts[arrival.account].name.to_owned(),
            class: profile.classes[arrival.class].name.to_owned(),
            database: arrival.database,
            is_read: arrival.kind.is_read(),
            is_within_rate,
            intended: arrival.at,
            finished: self.start.elapsed(),
            error,
            served_by: None,
            staleness: None,
            is_too_old: false,
        }
    }

    async fn send_read(&self, arrival: LoadArrival, session: &mut LoadSession) {
        let own: SessionKey = (arrival.database, session.key);
        let other = || {
            let history = self.history.borrow();
            history.choose_key(arrival.database, &mut rand::rng())
        };
        let key = match arrival.kind {
            RequestKind::ReadOther => other().unwrap_or(own),
            _ => own,
        };
        let select = execute(SELECT_KEY, &[integer(key.1)]);
        let call = self.build_call(arrival, session, &json!([select, {"type": "close"}]));
        let sent = self.start.elapsed();
        let (result, is_within_rate) = self.sender.send(&call).await;
        let error = match &result {
            Ok(reply) => statement_failure(reply),
            Err(failure) => Some(failure.code.clone()),
        };
        let mut record = self.build_record(arrival, is_within_rate, error);
        if let Ok(reply) = result {
            let found = first_value(&reply).and_then(Value::as_str);
            let sequence = found.and_then(|text| text.parse().ok()).unwrap_or(0);
            let freshness = self.settings.deployment.classes[arrival.class].freshness_ms;
            let staleness = self.history.borrow().staleness(key, sequence, sent);
            let is_successful = record.error.is_none();
            record.staleness = Some(staleness);
            record.is_too_old = is_successful && staleness > Duration::from_millis(freshness);
            if is_successful && key == own && sequence < session.acknowledged_sequence {
                log::error!(
                    "driver: session {} in {} wrote {} but read {sequence} from {:?}",
                    key.1,
                    call.database,
                    session.acknowledged_sequence,
                    reply.served_by
                );
                self.metrics.borrow_mut().own_write_misses += 1;
            }
            record.served_by = reply.served_by;
            session.token = reply.token.or(session.token.take());
        }
        self.metrics.borrow_mut().add(&record);
    }

    async fn send_write(&self, arrival: LoadArrival, session: &mut LoadSession) {
        session.sent_sequence += 1;
        let (key, sequence) = (session.key, session.sent_sequence);
        let request_id = format!("{:08x}-{}-{key}-{sequence}", self.run_id, arrival.database);
        let payload = self.settings.deployment.classes[arrival.class].payload_bytes;
        let args = [
            text(&request_id),
            integer(key),
            integer(sequence),
            text(&"x".repeat(payload)),
        ];
        let insert = execute(INSERT, &args);
        let write = match arrival.kind {
            RequestKind::Transaction => {
                self.send_transaction(arrival, session, insert, &request_id)
                    .await
            }
            _ => {
                let mut call =
                    self.build_call(arrival, session, &json!([insert, {"type": "close"}]));
                call.request_id = Some(request_id.clone());
                let (result, is_within_rate) = self.sender.send(&call).await;
                let outcome = write_outcome(&result);
                WriteResult {
                    result,
                    outcome,
                    is_within_rate,
                }
            }
        };
        self.history.borrow_mut().record(&request_id, write.outcome);
        let error = match &write.result {
            Ok(reply) => statement_failure(reply),
            Err(failure) => Some(failure.code.clone()),
        };
        let record = self.build_record(arrival, write.is_within_rate, error);
        if write.outcome == WriteOutcome::Acknowledged {
            session.acknowledged_sequence = sequence;
            let mut history = self.history.borrow_mut();
            history.record_acknowledged((arrival.database, key), sequence, record.finished);
        }
        if let Ok(reply) = write.result {
            session.token = reply.token.or(session.token.take());
        }
        self.metrics.borrow_mut().add(&record);
    }

    /// Sends BEGIN with the statement, and COMMIT in a second request that may reach another
    /// instance.
    async fn send_transaction(
        &self,
        arrival: LoadArrival,
        session: &LoadSession,
        insert: Value,
        request_id: &str,
    ) -> WriteResult {
        let requests = json!([execute("BEGIN", &[]), insert]);
        let begin = self.build_call(arrival, session, &requests);
        let (result, is_within_rate) = self.sender.send(&begin).await;
        // Without COMMIT no row may remain, whatever the outcome of the first request.
        let not_run = |result| WriteResult {
            result,
            outcome: WriteOutcome::NotRun,
            is_within_rate,
        };
        let reply = match result {
            Ok(reply) => reply,
            Err(failure) => return not_run(Err(failure)),
        };
        let end = if statement_failure(&reply).is_some() {
            "ROLLBACK"
        } else {
            "COMMIT"
        };
        let requests = json!([execute(end, &[]), {"type": "close"}]);
        let mut call = self.build_call(arrival, session, &requests);
        call.body["baton"] = json!(reply.baton);
        call.in_transaction = true;
        call.request_id = Some(request_id.to_owned());
        let (result, _) = self.sender.send(&call).await;
        if end == "ROLLBACK" {
            return not_run(Ok(reply));
        }
        let outcome = write_outcome(&result);
        WriteResult {
            result,
            outcome,
            is_within_rate,
        }
    }

    /// Reads all rows of the run back from every database.
    async fn read_back(&self) -> eyre::Result<()> {
        for (index, database) in self.settings.deployment.databases.iter().enumerate() {
            let prefix = format!("{:08x}-{index}-", self.run_id);
            let mut after = 0;
            loop {
                let select = execute(SELECT_PAGE, &[integer(after)]);
                let call = CallSpec {
                    class: strict_class(&self.settings),
                    database: (*database).to_owned(),
                    body: json!({"requests": [select, {"type": "close"}]}),
                    ..CallSpec::default()
                };
                let reply = self.send_with_retries(&call).await?;
                let rows = &reply.results[0]["response"]["result"]["rows"];
                let rows = rows
                    .as_array()
                    .ok_or_else(|| eyre!("response without rows: {reply:?}"))?;
                for row in rows {
                    let rowid = row[0]["value"].as_str().and_then(|text| text.parse().ok());
                    after = rowid.ok_or_else(|| eyre!("row without rowid"))?;
                    let id = row[1]["value"].as_str().unwrap_or_default();
                    if id.starts_with(&prefix) {
                        self.history.borrow_mut().record_found(id);
                    }
                }
                if rows.is_empty() {
                    break;
                }
            }
        }
        Ok(())
    }

    /// Repeats a read until it succeeds or times out, because reading back may exceed the account's
    /// rate.
    async fn send_with_retries(&self, call: &CallSpec) -> eyre::Result<CallReply> {
        let start = Instant::now();
        while start.elapsed() < READ_BACK_TIMEOUT {
            match self.uncounted_sender.send(call).await.0 {
                Ok(reply) => return Ok(reply),
                Err(failure) => log::warn!("driver: read-back request failed: {}", failure.code),
            }
            sleep(Duration::from_millis(200)).await;
        }
        Err(eyre!("timed out reading back {}", call.database))
    }
}

fn write_outcome(result: &Result<CallReply, CallFailure>) -> WriteOutcome {
    match result {
        Ok(reply) if statement_failure(reply).is_none() => WriteOutcome::Acknowledged,
        // A statement that failed has been rolled back.
        Ok(_) => WriteOutcome::NotRun,
        Err(failure) if failure.kind == FailureKind::NotRun => WriteOutcome::NotRun,
        Err(_) => WriteOutcome::Unknown,
    }
}
