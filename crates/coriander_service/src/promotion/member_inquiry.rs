//! Statements to members outside of client sessions: status, demotion, and pauses of replicas.

use std::rc::Rc;
use std::time::Duration;

use coriander_service_api::{
    MemberConnector, MemberRole, MemberStatement, MemberStatus, MemberTarget,
};

use crate::members::database_group::DatabaseGroup;
use crate::members::member::Member;
use crate::promotion::promotion_cause::PromotionCandidate;

/// Timeout of a status query.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between two status queries of a member whose state is about to change.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(30);

/// Account name of connections for status queries.
const CONTROL_ACCOUNT: &str = "-";

/// A member that has replied, with its status.
pub type MemberReport = (Rc<Member>, MemberStatus);

/// A member that has confirmed that it is no primary any longer.
#[derive(Clone, Debug)]
pub struct Demotion {
    /// The member, if it was primary until now, so that its log contains all acknowledged commits.
    /// Otherwise another promotion may have taken effect, and its log proves nothing.
    demoted: Option<PromotionCandidate>,
}

impl Demotion {
    /// Returns the member as a candidate if it was primary until now.
    pub fn candidate(self) -> Option<PromotionCandidate> {
        self.demoted
    }
}

/// Queries, demotes and pauses members.
#[derive(Clone)]
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

    /// Sends a statement to members at once and returns the status of those that reply, in the same
    /// order.
    pub async fn query_all(
        &self,
        group: &Rc<DatabaseGroup>,
        members: &[Rc<Member>],
        statement: &MemberStatement,
    ) -> Vec<MemberReport> {
        let start = |member: &Rc<Member>| {
            let (inquiry, group, member) = (self.clone(), group.clone(), member.clone());
            let statement = statement.clone();
            ntex::rt::spawn(async move {
                let status = inquiry.query(&group, &member, statement).await;
                status.map(|status| (member, status))
            })
        };
        let queries: Vec<_> = members.iter().map(start).collect();
        let mut reports = Vec::new();
        for query in queries {
            match query.await {
                Ok(report) => reports.extend(report),
                Err(error) => log::error!(
                    group = &*group.name, error:% = error;
                    "query of a member ended without a result"
                ),
            }
        }
        reports
    }

    /// Demotes a primary, so that it refuses writes. Returns `None` if it does not confirm that.
    pub async fn demote_primary(
        &self,
        group: &DatabaseGroup,
        primary: &Member,
    ) -> Option<Demotion> {
        let status = self.status(group, primary).await?;
        if status.role == MemberRole::Replica {
            return Some(Demotion { demoted: None });
        }
        let term = status.term.next();
        let demoted = self
            .query(group, primary, MemberStatement::Demote { term })
            .await;
        let demoted = demoted.filter(|status| status.role == MemberRole::Replica);
        let position = demoted.map_or_else(|| "-".to_owned(), |status| status.received.to_string());
        log::info!(
            group = &*group.name, member = &*primary.id, stopped = demoted.is_some(),
            position = position.as_str();
            "demotion of the former primary requested"
        );
        demoted.map(|status| Demotion {
            demoted: Some(PromotionCandidate::new(primary, &status)),
        })
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
