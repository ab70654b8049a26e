//! Replication of the primary's log and replacement of a diverged log.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coriander_core::{LogPosition, MemberRole, TermNumber};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use super::group_log::{LogEntry, TermRun};
use super::member_node::MemberNode;
use super::sql_database::{SqlDatabase, is_busy};

const RETRY_DELAY: Duration = Duration::from_millis(10);
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
const REQUEST_TIMEOUT: ntex::time::Millis = ntex::time::Millis(2_000);
/// Longer than [`REQUEST_TIMEOUT`], which therefore ends a pull first.
const PULL_TIMEOUT: Duration = Duration::from_secs(10);
const ENTRIES_PER_REQUEST: usize = 200;
/// Number of entries that are replayed before the task yields to requests.
const REPLAY_CHUNK_ENTRIES: usize = 100;

/// Reply with entries of the primary's log.
#[derive(Deserialize, Serialize)]
pub struct EntriesReply {
    /// Entries after the position in the request.
    pub entries: Vec<LogEntry>,
}

/// Reply with the terms of the primary's log.
#[derive(Deserialize, Serialize)]
pub struct RunsReply {
    /// First index of each term.
    pub runs: Vec<TermRun>,
    /// Index of the last entry.
    pub last_index: u64,
}

#[derive(Debug, Error)]
enum PullError {
    #[error("request to the primary failed: {0}")]
    Request(String),
    #[error("the primary refused the request with status {0}")]
    Refused(u16),
    #[error("invalid reply: {0}")]
    Body(#[from] serde_json::Error),
    #[error("replay failed: {0}")]
    Replay(#[from] rusqlite::Error),
}

/// Primary from which entries are copied during one epoch of the member.
struct PullSource {
    epoch: u64,
    term: TermNumber,
    primary: String,
    is_log_matched: bool,
}

/// Starts the tasks that copy and apply entries.
pub fn start_replication(node: &Rc<MemberNode>) {
    ntex::rt::spawn(pull_entries(node.clone()));
    ntex::rt::spawn(apply_entries(node.clone()));
}

fn current_source(node: &MemberNode) -> Option<PullSource> {
    let group = node.group.borrow();
    let primary = group.primary.clone()?;
    let faults = node.faults.borrow();
    let is_cut = faults.is_cut(&[&primary, "members"]);
    if group.role != MemberRole::Replica || faults.replication_paused || is_cut {
        return None;
    }
    Some(PullSource {
        epoch: node.epoch(),
        term: group.term,
        primary,
        is_log_matched: group.is_log_matched,
    })
}

async fn pull_entries(node: Rc<MemberNode>) {
    loop {
        let Some(source) = current_source(&node) else {
            let limit = Duration::from_millis(50);
            node.wait_until(limit, |node| current_source(node).is_some())
                .await;
            continue;
        };
        let epoch = source.epoch;
        let pull = async {
            if source.is_log_matched {
                queue_entries(&node, &source).await
            } else {
                match_log(&node, &source).await
            }
        };
        // A pending request to a paused primary must not delay replication from the next one.
        let result = tokio::select! {
            result = pull => result,
            _ = node.wait_until(PULL_TIMEOUT, |node| node.epoch() != epoch) => continue,
        };
        if let Err(error) = result {
            log::debug!("replication: {error}");
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn fetch<T: DeserializeOwned>(node: &MemberNode, url: String) -> Result<T, PullError> {
    let request_error = |error: &dyn std::fmt::Display| PullError::Request(error.to_string());
    let response = node
        .client
        .get(url)
        .header("x-member", node.settings.member.as_str())
        .timeout(REQUEST_TIMEOUT)
        .send()
        .await
        .map_err(|error| request_error(&error))?;
    if !response.status().is_success() {
        return Err(PullError::Refused(response.status().as_u16()));
    }
    let body = response.body().limit(1 << 28).await;
    Ok(serde_json::from_slice(
        &body.map_err(|error| request_error(&error))?,
    )?)
}

/// Requests the next entries and queues them until the lag has elapsed.
async fn queue_entries(node: &MemberNode, source: &PullSource) -> Result<(), PullError> {
    let last_queued = node
        .queued_entries
        .borrow()
        .back()
        .map(|(_, entry)| entry.position);
    let after: LogPosition = last_queued.unwrap_or_else(|| node.position());
    let (primary, term, wait) = (&source.primary, source.term, POLL_TIMEOUT.as_millis());
    let url = format!(
        "http://{primary}/group/entries?term={term}&after={after}&wait_ms={wait}&limit={ENTRIES_PER_REQUEST}"
    );
    let reply: EntriesReply = fetch(node, url).await?;
    let faults = node.faults.borrow();
    if source.epoch == node.epoch() && !faults.replication_paused {
        let due = Instant::now() + Duration::from_millis(faults.lag_ms);
        let mut queued_entries = node.queued_entries.borrow_mut();
        queued_entries.extend(reply.entries.into_iter().map(|entry| (due, entry)));
        drop(queued_entries);
        node.notify();
    }
    Ok(())
}

/// Finds the common prefix of this log and the log of the primary; if this log is longer than the
/// prefix, truncates it and rebuilds the database.
async fn match_log(node: &MemberNode, source: &PullSource) -> Result<(), PullError> {
    let (primary, term) = (&source.primary, source.term);
    let url = format!("http://{primary}/group/runs?term={term}");
    let reply: RunsReply = fetch(node, url).await?;
    if source.epoch != node.epoch() {
        return Ok(());
    }
    let (length, prefix) = {
        let log = &node.group.borrow().log;
        let length = log.common_prefix_length(&reply.runs, reply.last_index);
        let is_diverged = length < log.last_position().index;
        (
            length,
            is_diverged.then(|| log.entries()[..length as usize].to_vec()),
        )
    };
    if let Some(prefix) = prefix {
        let database = SqlDatabase::create()?;
        for chunk in prefix.chunks(REPLAY_CHUNK_ENTRIES) {
            for entry in chunk {
                database.replay_entry(&entry.statements)?;
            }
            tokio::task::yield_now().await;
        }
        if source.epoch != node.epoch() {
            return Ok(());
        }
        log::info!("replication: replaced a diverged log, kept {length} entries");
        node.replace_database(database, length);
    }
    node.group.borrow_mut().is_log_matched = true;
    node.notify();
    Ok(())
}

/// Applies queued entries whose lag has elapsed.
async fn apply_entries(node: Rc<MemberNode>) {
    loop {
        let due = node.queued_entries.borrow().front().map(|(due, _)| *due);
        match due {
            None => {
                let limit = Duration::from_secs(1);
                node.wait_until(limit, |node| !node.queued_entries.borrow().is_empty())
                    .await;
            }
            Some(due) if due > Instant::now() => {
                let limit = due - Instant::now();
                let epoch = node.epoch();
                node.wait_until(limit, |node| node.epoch() != epoch).await;
            }
            Some(_) => apply_next_entry(&node).await,
        }
    }
}

async fn apply_next_entry(node: &MemberNode) {
    let Some((_, entry)) = node.queued_entries.borrow().front().cloned() else {
        return;
    };
    match node.database().replay_entry(&entry.statements) {
        Ok(()) => {
            node.queued_entries.borrow_mut().pop_front();
            if !node.append_replicated(entry) {
                log::error!("replication: an applied entry does not follow the last log entry");
            }
        }
        // A read transaction holds a lock; the entry is retried until the lock is released.
        Err(error) if is_busy(&error) => sleep(Duration::from_millis(1)).await,
        Err(error) => {
            log::error!("replication: entry {} failed: {error}", entry.position);
            sleep(RETRY_DELAY).await;
        }
    }
}
