//! Decides which operations count as usage, at the connection that carries them.

use std::rc::Rc;
use std::sync::Arc;

use coriander_core::RequestOutcome;

use crate::fleet::peer_traffic::ZoneRelation;
use crate::members::held_connection::HeldConnection;
use crate::service::SessionService;
use crate::sessions::exchange::{ExchangeError, ExchangeOutcome, ExchangePlan};
use crate::usage::usage_meter::UsageMeter;

/// Executes a plan on a connection of this instance, and counts the operation if the member began
/// to run it. A relayed operation counts here on its home instance, and nowhere else.
pub async fn exchange_counted(
    service: &SessionService,
    held: &mut HeldConnection,
    plan: &ExchangePlan,
) -> ExchangeOutcome {
    // Callers without an account are not billed.
    let has_account = *plan.account != *service.anonymous_account;
    let is_counted = has_account && starts_operation(plan);
    let usage = service.usage.as_ref().filter(|_| is_counted);
    let begun = usage.map(|usage| BegunOperation::new(usage, &plan.account));
    let outcome = held.exchange(plan).await;
    let zone = ZoneRelation::new(&service.settings().zone, &held.zone());
    let traffic = &service.peers.traffic;
    traffic.count_member(zone, plan.statement_bytes(), outcome.reply_bytes());
    if let Some(begun) = begun {
        begun.finish(&outcome);
    }
    outcome
}

/// Returns whether the statement of a plan is the first that its operation sends to a member.
const fn starts_operation(plan: &ExchangePlan) -> bool {
    plan.begin.is_some() || !plan.keep_reserved
}

/// Returns whether the member began to run the operation. Without a reply it may have, because the
/// statement was sent.
fn began_to_run(outcome: &ExchangeOutcome) -> bool {
    match &outcome.result {
        Ok(reply) => match &reply.result {
            Ok(_) => true,
            Err(refusal) => refusal.code.member_outcome() != RequestOutcome::NotRun,
        },
        Err(ExchangeError::NotSent(_) | ExchangeError::Declined(..)) => false,
        Err(ExchangeError::NoReply(_)) => true,
    }
}

/// An operation that was sent to a member and belongs to the window of that moment. If it is
/// dropped without an outcome, it counts like one without a reply.
struct BegunOperation {
    usage: Rc<UsageMeter>,
    account: Arc<str>,
    window: u64,
    counts: bool,
}

impl BegunOperation {
    fn new(usage: &Rc<UsageMeter>, account: &Arc<str>) -> Self {
        Self {
            usage: usage.clone(),
            account: account.clone(),
            window: usage.current_window(),
            counts: true,
        }
    }

    fn finish(mut self, outcome: &ExchangeOutcome) {
        self.counts = began_to_run(outcome);
    }
}

impl Drop for BegunOperation {
    fn drop(&mut self) {
        if self.counts {
            self.usage.count(&self.account, self.window);
        }
    }
}
