//! Queries the role and log of members and demotes them, outside of client sessions.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::TermNumber;
use coriander_service_api::{MemberConnector, MemberStatement, MemberStatus, MemberTarget};

use crate::members::database_group::DatabaseGroup;
use crate::members::member::Member;
use crate::promotion::promotion_cause::PromotionCandidate;

/// Timeout of a status query.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// Account name of connections for status queries.
const CONTROL_ACCOUNT: &str = "-";

/// Queries and demotes members.
pub struct MemberInquiry {
    connector: Rc<dyn MemberConnector>,
}

impl MemberInquiry {
    /// Creates an inquiry that uses a connector.
    pub fn new(connector: Rc<dyn MemberConnector>) -> Self {
        Self { connector }
    }

    /// Returns the status of a member; `None` if it sends no valid reply.
    pub async fn status(&self, group: &DatabaseGroup, member: &Member) -> Option<MemberStatus> {
        self.query(group, member, MemberStatement::Status).await
    }

    /// Returns the log positions of the members that reply, except the primary.
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
                    term: status.term,
                    leaving: member.is_leaving(),
                });
            }
        }
        candidates
    }

    /// Demotes a primary, so that it refuses writes. Returns whether it has confirmed that.
    pub async fn demote_primary(&self, group: &DatabaseGroup, primary: &Member) -> bool {
        let Some(status) = self.status(group, primary).await else {
            return false;
        };
        let term = TermNumber::new(status.term.get() + 1);
        let demoted_status = self
            .query(group, primary, MemberStatement::Demote { term })
            .await;
        let position =
            demoted_status.map_or_else(|| "-".to_owned(), |status| status.received.to_string());
        log::info!(
            group = &*group.name, member = &*primary.id, stopped = demoted_status.is_some(),
            position = position.as_str();
            "demotion of the former primary requested"
        );
        demoted_status.is_some()
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
                    "status query of a member failed"
                );
                None
            }
        }
    }
}
