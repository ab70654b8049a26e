//! Stops the commits of a group before the last comparison of its logs.

use std::rc::Rc;

use coriander_service_api::MemberStatement;

use crate::members::database_group::DatabaseGroup;
use crate::members::member::Member;
use crate::promotion::log_comparison::LogComparison;
use crate::promotion::member_inquiry::MemberInquiry;
use crate::promotion::promotion_cause::PromotionCandidate;

/// Stops the commits of a group.
///
/// With synchronous commits the logs that decide a promotion must not become outdated between their
/// comparison and its effect: a primary that still runs would acknowledge commits that another
/// replica receives. Either the primary confirms that it is none any longer, or so many replicas
/// receive nothing more that it cannot acknowledge a commit.
pub struct CommitStop {
    inquiry: MemberInquiry,
}

impl CommitStop {
    /// Creates a stop that uses an inquiry.
    pub const fn new(inquiry: MemberInquiry) -> Self {
        Self { inquiry }
    }

    /// Demotes a primary. Returns it as a candidate if it was primary until now.
    pub async fn demote(
        &self,
        group: &DatabaseGroup,
        primary: &Member,
    ) -> Option<PromotionCandidate> {
        let demotion = self.inquiry.demote_primary(group, primary).await?;
        demotion.candidate()
    }

    /// Stops the replicas of a comparison from receiving commits. Returns their final logs, or `None`
    /// if so few have confirmed it that commits can still be acknowledged.
    pub async fn pause(
        &self,
        group: &Rc<DatabaseGroup>,
        comparison: &LogComparison,
    ) -> Option<LogComparison> {
        let known = &comparison.candidates;
        let members = known
            .iter()
            .filter_map(|candidate| group.member(&candidate.member));
        let members: Vec<_> = members.collect();
        let recorded_term = comparison.rule.lineage.newest_term();
        let term = comparison.newest_term().max(recorded_term).next();
        let statement = MemberStatement::Pause { term };
        let reports = self.inquiry.query_all(group, &members, &statement).await;
        let replies = reports
            .iter()
            .map(|(member, status)| PromotionCandidate::new(member, status));
        let paused: Vec<_> = replies.filter(|candidate| candidate.is_paused).collect();
        log::info!(
            group = &*group.name, term:% = term, asked = members.len(), paused = paused.len(),
            replicas = comparison.rule.replicas, synchronous = comparison.rule.sync_replicas;
            "replicas stopped from receiving commits"
        );
        comparison
            .rule
            .is_met_by(paused.len())
            .then(|| LogComparison {
                candidates: paused,
                rule: comparison.rule.clone(),
                demoted_primary: None,
            })
    }

    /// Lets the paused replicas of a comparison receive commits again. Returns whether all have
    /// confirmed it.
    pub async fn resume(&self, group: &Rc<DatabaseGroup>, comparison: &LogComparison) -> bool {
        let candidates = comparison.candidates.iter();
        let paused = candidates.filter(|candidate| candidate.is_paused);
        let members: Vec<_> = paused
            .filter_map(|candidate| group.member(&candidate.member))
            .collect();
        let statement = MemberStatement::Resume;
        let reports = self.inquiry.query_all(group, &members, &statement).await;
        log::info!(
            group = &*group.name, asked = members.len(), resumed = reports.len();
            "replicas receive commits again"
        );
        reports.len() == members.len()
    }
}
