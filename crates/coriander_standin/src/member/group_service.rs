//! Handlers of group control and replication requests.

use std::time::Duration;

use coriander_core::{ConfirmReply, GroupStatus, LogPosition, MemberRole, TermNumber};
use ntex::web::HttpResponse;
use serde::Deserialize;

use super::group_state::ControlRequest;
use super::member_node::MemberNode;
use super::member_refusal::MemberRefusal;
use super::replication::{EntriesReply, RunsReply};

/// Maximum wait of a confirm or entries request.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Parameters of a confirm request.
#[derive(Deserialize)]
pub struct ConfirmQuery {
    term: TermNumber,
    index: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Parameters of a request for entries.
#[derive(Deserialize)]
pub struct EntriesQuery {
    term: TermNumber,
    after: String,
    #[serde(default)]
    wait_ms: u64,
    limit: usize,
}

/// Parameters of a request for the terms of the log.
#[derive(Deserialize)]
pub struct RunsQuery {
    term: TermNumber,
}

/// Returns the status of the member.
pub fn serve_status(node: &MemberNode) -> HttpResponse {
    let group = node.group.borrow();
    HttpResponse::Ok().json(&GroupStatus {
        member: node.settings.member.clone(),
        term: group.term,
        role: group.role,
        log: group.log.last_position(),
        primary: group.primary.clone(),
    })
}

/// Executes a fence, promote or follow request; the reply to a refused one has `accepted: false`.
pub fn serve_control(node: &MemberNode, action: &str, request: &ControlRequest) -> HttpResponse {
    let snapshot = |node: &MemberNode| {
        let group = node.group.borrow();
        (group.term, group.role, group.primary.clone())
    };
    let before = snapshot(node);
    let accepted = {
        let mut group = node.group.borrow_mut();
        match action {
            "fence" => group.fence(request),
            "promote" => group.promote(request, &node.settings.listen.to_string()),
            _ => group.follow(request),
        }
    };
    let after = snapshot(node);
    if before != after {
        log::info!(
            "group: {action} by {} set term={} role={:?}",
            request.proposer,
            after.0,
            after.1
        );
        if after.1 == MemberRole::Primary {
            node.journal_last_entry();
        }
        node.record_term_change();
    }
    let reply = node.group.borrow().control_reply(accepted);
    HttpResponse::Ok().json(&reply)
}

/// Returns whether the member has an entry; waits until it has it, a newer term starts or the time
/// limit is reached.
pub async fn serve_confirm(node: &MemberNode, query: ConfirmQuery) -> HttpResponse {
    let limit = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    node.wait_until(limit, |node| {
        let group = node.group.borrow();
        group.has_confirmed(query.term, query.index) || group.term > query.term
    })
    .await;
    let group = node.group.borrow();
    HttpResponse::Ok().json(&ConfirmReply {
        confirmed: group.has_confirmed(query.term, query.index),
        term: group.term,
        log: group.log.last_position(),
    })
}

fn check_primary(node: &MemberNode, term: TermNumber) -> Result<(), MemberRefusal> {
    let group = node.group.borrow();
    if group.term != term || group.role != MemberRole::Primary {
        let message = format!("the member is not the primary of term {term}");
        return Err(MemberRefusal::conflict("TERM_CHANGED", message));
    }
    Ok(())
}

/// Returns the entries after a position; waits for the next entry if there is none.
pub async fn serve_entries(
    node: &MemberNode,
    query: EntriesQuery,
) -> Result<HttpResponse, MemberRefusal> {
    let after: LogPosition = query
        .after
        .parse()
        .map_err(|error| MemberRefusal::malformed(format!("after: {error}")))?;
    let limit = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    node.wait_until(limit, |node| {
        node.position().index > after.index || check_primary(node, query.term).is_err()
    })
    .await;
    check_primary(node, query.term)?;
    let group = node.group.borrow();
    let Some(entries) = group.log.entries_after(after, query.limit) else {
        let message = format!("the log has no entry {after}");
        return Err(MemberRefusal::conflict("LOG_MISMATCH", message));
    };
    Ok(HttpResponse::Ok().json(&EntriesReply {
        entries: entries.to_vec(),
    }))
}

/// Returns the first index of each term of the log.
pub fn serve_runs(node: &MemberNode, query: &RunsQuery) -> Result<HttpResponse, MemberRefusal> {
    check_primary(node, query.term)?;
    let group = node.group.borrow();
    Ok(HttpResponse::Ok().json(&RunsReply {
        runs: group.log.term_runs(),
        last_index: group.log.last_position().index,
    }))
}
