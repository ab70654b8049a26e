//! Interface of one member of a database group.

use std::time::Duration;

use async_trait::async_trait;
use coriander_core::{
    ConfirmReply, ControlReply, GroupStatus, InstanceId, LogPosition, TermNumber,
};

use crate::{PipelineReply, PipelineRequest, UpstreamError};

/// One member of a database group.
///
/// Futures are bound to the thread that created them. Dropping a future cancels the wait for the
/// reply, but not the execution at the member.
#[async_trait(?Send)]
pub trait UpstreamMember {
    /// Queries term, role and log position.
    async fn status(&self) -> Result<GroupStatus, UpstreamError>;

    /// Makes the member refuse all terms lower than `term`.
    async fn fence(
        &self,
        term: TermNumber,
        proposer: &InstanceId,
    ) -> Result<ControlReply, UpstreamError>;

    /// Makes the member the primary of `term`.
    async fn promote(
        &self,
        term: TermNumber,
        proposer: &InstanceId,
    ) -> Result<ControlReply, UpstreamError>;

    /// Makes the member replicate from the primary of `term`.
    async fn follow(
        &self,
        term: TermNumber,
        proposer: &InstanceId,
        primary_address: &str,
    ) -> Result<ControlReply, UpstreamError>;

    /// Waits up to `wait` until the member stores the entry at `position`, in the term that wrote
    /// the entry.
    async fn confirm(
        &self,
        position: LogPosition,
        wait: Duration,
    ) -> Result<ConfirmReply, UpstreamError>;

    /// Runs a Hrana pipeline.
    async fn pipeline(&self, request: PipelineRequest) -> Result<PipelineReply, UpstreamError>;

    /// Returns the address under which other members reach this member.
    fn address(&self) -> &str;
}
