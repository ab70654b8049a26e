//! Questions and orders to members about their role and log, outside of client sessions.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::TermNumber;
use coriander_service_api::{MemberConnector, MemberStatement, MemberStatus, MemberTarget};

use crate::database_group::DatabaseGroup;
use crate::member::Member;
use crate::promotion_cause::PromotionCandidate;

/// Longest time for the state of a member.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// Account name for connections that only read the state of members.
const CONTROL_ACCOUNT: &str = "-";

/// Asks members for their state.
pub struct MemberInquiry {
    connector: Rc<dyn MemberConnector>,
}

impl MemberInquiry {
    /// Creates an inquiry over a connector.
    pub fn new(connector: Rc<dyn MemberConnector>) -> Self {
        Self { connector }
    }

    /// Returns the state of a member; `None` if it does not tell.
    pub async fn status(&self, group: &DatabaseGroup, member: &Member) -> Option<MemberStatus> {
        self.query(group, member, MemberStatement::Status).await
    }

    /// Returns the logs of all members but the leader that answer.
    pub async fn candidates(
        &self,
        group: &DatabaseGroup,
        primary: Option<&Rc<Member>>,
    ) -> Vec<PromotionCandidate> {
        let mut candidates = Vec::new();
        for member in group.members() {
            let is_primary = primary.is_some_and(|primary| primary.id == member.id);
            if is_primary || member.is_missing() {
                continue;
            }
            if let Some(status) = self.status(group, &member).await {
                candidates.push(PromotionCandidate {
                    member: member.id.clone(),
                    received: status.received,
                    leaving: member.is_leaving(),
                });
            }
        }
        candidates
    }

    /// Makes a primary refuse writes. Returns whether it has confirmed that.
    pub async fn demote_primary(&self, group: &DatabaseGroup, primary: &Member) -> bool {
        let Some(status) = self.status(group, primary).await else {
            return false;
        };
        let term = TermNumber::new(status.term.get() + 1);
        let stopped = self
            .query(group, primary, MemberStatement::Demote { term })
            .await;
        let position = stopped.map_or_else(|| "-".to_owned(), |status| status.received.to_string());
        log::info!(
            group = &*group.name, member = &*primary.id, stopped = stopped.is_some(),
            position = position.as_str();
            "former primary asked to stop writing"
        );
        stopped.is_some()
    }

    async fn query(
        &self,
        group: &DatabaseGroup,
        member: &Member,
        statement: MemberStatement,
    ) -> Option<MemberStatus> {
        let target = MemberTarget {
            member: member.id.clone(),
            group: group.name.clone(),
            address: member.entry().address,
            account: CONTROL_ACCOUNT.into(),
        };
        let result = self.connector.connect(&target, STATUS_TIMEOUT).await;
        let result = match result {
            Ok(mut link) => link.run(&[statement], STATUS_TIMEOUT).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(replies) => self.connector.parse_status(replies.first()?),
            Err(error) => {
                log::info!(
                    group = &*group.name, member = &*member.id, error:% = error;
                    "state of a member is unknown"
                );
                None
            }
        }
    }
}
