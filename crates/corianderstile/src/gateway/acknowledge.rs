//! Waits until enough members store a write.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime, WriteCertainty};
use coriander_failover::{AckState, PrimaryView, WriteAcknowledgement};
use tokio::sync::mpsc;

use super::database_gateway::DatabaseGateway;

/// Maximum time that a member waits before it replies to a confirm call.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay before a failed confirm call is repeated.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of waiting for confirmations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AckOutcome {
    /// Enough members store the write.
    Acknowledged,
    /// A later term makes the acknowledgement impossible, or the deadline has passed.
    Uncertain,
}

impl DatabaseGateway {
    /// Requests confirmation from all other members until enough of them store the write.
    ///
    /// Calls run in parallel and are cancelled when the future completes or is dropped.
    pub(super) async fn wait_for_acknowledgement(
        self: &Rc<Self>,
        view: &PrimaryView,
        position: LogPosition,
        certainty: WriteCertainty,
        deadline: MonotonicTime,
    ) -> AckOutcome {
        let members = self.group.members();
        let ids: Vec<MemberId> = members.iter().map(|member| member.id.clone()).collect();
        let mut write = WriteAcknowledgement::new(view, position, &ids, certainty);
        let (sender, mut replies) = mpsc::unbounded_channel();
        let mut calls = tokio::task::JoinSet::new();
        for member in members
            .into_iter()
            .filter(|member| member.id != view.member)
        {
            let gateway = self.clone();
            let sender = sender.clone();
            calls.spawn_local(async move {
                loop {
                    let sent = gateway.context.clock.now();
                    let Ok(reply) = member.client.confirm(position, CONFIRM_TIMEOUT).await else {
                        tokio::time::sleep(CONFIRM_RETRY_DELAY).await;
                        continue;
                    };
                    gateway
                        .read_selector
                        .record_confirm(&member.id, &reply, sent);
                    let is_final = reply.confirmed || reply.term > position.term;
                    if sender.send((member.id.clone(), reply)).is_err() || is_final {
                        return;
                    }
                }
            });
        }
        drop(sender);
        loop {
            match write.state() {
                AckState::Acknowledged => return AckOutcome::Acknowledged,
                AckState::Impossible => return AckOutcome::Uncertain,
                AckState::Waiting => {}
            }
            let remaining = deadline.since(self.context.clock.now());
            match tokio::time::timeout(remaining, replies.recv()).await {
                Ok(Some((member, reply))) => {
                    write.record(&member, &reply);
                }
                _ => return AckOutcome::Uncertain,
            }
        }
    }
}
