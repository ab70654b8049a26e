//! State of a running member that its request handlers share.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fs::OpenOptions;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coriander_core::LogPosition;
use ntex::client::Client;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use super::fault_controls::FaultSettings;
use super::group_log::{LogEntry, LoggedStatement};
use super::group_state::GroupState;
use super::member_journal::{JournalRecord, MemberJournal};
use super::member_refusal::MemberRefusal;
use super::member_settings::MemberSettings;
use super::request_record::RequestRecord;
use super::sql_database::SqlDatabase;
use super::stream_table::StreamTable;

/// State of a member; used by a single thread.
pub struct MemberNode {
    pub settings: MemberSettings,
    pub group: RefCell<GroupState>,
    pub streams: RefCell<StreamTable>,
    pub faults: RefCell<FaultSettings>,
    pub request_record: RefCell<RequestRecord>,
    /// Entries received from the primary, with the time at which each is applied.
    pub queued_entries: RefCell<VecDeque<(Instant, LogEntry)>>,
    pub client: Client,
    database: RefCell<Rc<SqlDatabase>>,
    journal: RefCell<MemberJournal>,
    change_sender: watch::Sender<u64>,
    epoch: Cell<u64>,
    slots: Arc<Semaphore>,
    waiting_requests: Cell<usize>,
}

impl MemberNode {
    /// Creates the state and restores it from the journal if one is configured.
    pub fn create(settings: MemberSettings, client: Client) -> eyre::Result<Rc<Self>> {
        let (journal, state) = match &settings.journal {
            Some(path) => MemberJournal::open(path)?,
            None => Default::default(),
        };
        let database = SqlDatabase::create()?;
        for entry in state.log.entries() {
            database.replay_entry(&entry.statements)?;
        }
        let open_append = |path| OpenOptions::new().create(true).append(true).open(path);
        let record_file = settings.record_file.as_ref().map(open_append).transpose()?;
        let faults = FaultSettings {
            lag_ms: settings.lag_ms,
            ..FaultSettings::default()
        };
        Ok(Rc::new(Self {
            group: RefCell::new(state),
            streams: RefCell::default(),
            faults: RefCell::new(faults),
            request_record: RefCell::new(RequestRecord::new(settings.record_limit, record_file)),
            queued_entries: RefCell::default(),
            client,
            database: RefCell::new(Rc::new(database)),
            journal: RefCell::new(journal),
            change_sender: watch::Sender::new(0),
            epoch: Cell::new(0),
            slots: Arc::new(Semaphore::new(settings.slots)),
            waiting_requests: Cell::new(0),
            settings,
        }))
    }

    /// Returns the position of the last log entry.
    pub fn position(&self) -> LogPosition {
        self.group.borrow().log.last_position()
    }

    /// Returns the epoch, which is incremented when open streams and queued entries become invalid.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Returns the database.
    pub fn database(&self) -> Rc<SqlDatabase> {
        self.database.borrow().clone()
    }

    /// Appends a transaction that was committed on this member to the log.
    pub fn commit(&self, statements: Vec<LoggedStatement>) -> LogPosition {
        let position = self.group.borrow_mut().commit(statements);
        self.journal_last_entry();
        self.notify();
        position
    }

    /// Appends an entry of the primary to the log after it was applied to the database.
    pub fn append_replicated(&self, entry: LogEntry) -> bool {
        let is_appended = self.group.borrow_mut().log.append_replicated(entry);
        if is_appended {
            self.journal_last_entry();
            self.notify();
        }
        is_appended
    }

    /// Replaces the database and truncates the log to the `length` entries that it contains.
    pub fn replace_database(&self, database: SqlDatabase, length: u64) {
        *self.database.borrow_mut() = Rc::new(database);
        self.group.borrow_mut().log.truncate(length);
        self.journal
            .borrow_mut()
            .write(&JournalRecord::Truncate(length));
        self.start_epoch();
    }

    /// Writes the term to the journal and starts a new epoch.
    pub fn record_term_change(&self) {
        let (term, proposer) = {
            let group = self.group.borrow();
            (group.term, group.proposer.clone())
        };
        self.journal
            .borrow_mut()
            .write(&JournalRecord::Term { term, proposer });
        self.start_epoch();
    }

    /// Writes the last entry of the log to the journal.
    pub fn journal_last_entry(&self) {
        if let Some(entry) = self.group.borrow().log.entries().last() {
            let record = JournalRecord::Entry(entry.clone());
            self.journal.borrow_mut().write(&record);
        }
    }

    /// Wakes all tasks that wait for a change of the state.
    pub fn notify(&self) {
        self.change_sender.send_modify(|version| *version += 1);
    }

    /// Waits until a condition on the state holds; returns `false` if the time limit is reached.
    pub async fn wait_until(&self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let mut changes = self.change_sender.subscribe();
        let waiting = async {
            while !condition(self) {
                let _ = changes.changed().await;
            }
        };
        timeout(limit, waiting).await.is_ok()
    }

    /// Waits for a slot to execute a request.
    pub async fn acquire_slot(&self) -> Result<OwnedSemaphorePermit, MemberRefusal> {
        if let Ok(permit) = self.slots.clone().try_acquire_owned() {
            return Ok(permit);
        }
        if self.waiting_requests.get() >= self.settings.queue_length {
            return Err(MemberRefusal::overload("OVERLOADED", "the queue is full"));
        }
        let limit = Duration::from_millis(self.settings.queue_wait_ms);
        self.waiting_requests.set(self.waiting_requests.get() + 1);
        let result = timeout(limit, self.slots.clone().acquire_owned()).await;
        self.waiting_requests.set(self.waiting_requests.get() - 1);
        match result {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(MemberRefusal::overload("OVERLOADED", "no slot became free")),
        }
    }

    /// Waits without a limit for a slot, after the previous one was released during a lock wait.
    pub fn reacquire_slot(&self) -> impl Future<Output = Option<OwnedSemaphorePermit>> + use<> {
        let slots = self.slots.clone();
        async move { slots.acquire_owned().await.ok() }
    }

    fn start_epoch(&self) {
        self.epoch.set(self.epoch.get() + 1);
        self.streams.borrow_mut().close_idle();
        self.queued_entries.borrow_mut().clear();
        self.notify();
    }
}
