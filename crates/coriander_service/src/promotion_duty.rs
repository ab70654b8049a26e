//! Who may promote members, and what the other instances say about primaries.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::DutyLease;

use crate::peer_messages::OutageReport;

/// How long another instance's observation counts.
const REPORT_LIFETIME: Duration = Duration::from_millis(700);

#[derive(Clone, Debug)]
struct ReceivedReport {
    member: String,
    failing: bool,
    received: MonotonicTime,
}

/// The duty to promote members: its fencing token and the observations of other instances.
#[derive(Debug, Default)]
pub struct PromotionDuty {
    /// Token of this process, if it holds the duty.
    token: Cell<Option<u64>>,
    /// Token in force as far as is known, whoever holds it.
    current_token: Cell<Option<u64>>,
    /// Address of the holder, if another instance holds the duty.
    holder_address: Cell<Option<SocketAddr>>,
    /// Whether the token must be renewed, because a call with it was rejected.
    is_outdated: Cell<bool>,
    /// When the last successful renewal of the lease was sent.
    renewed_at: Cell<MonotonicTime>,
    reports: RefCell<HashMap<(SocketAddr, String), ReceivedReport>>,
}

impl PromotionDuty {
    /// Takes over the lease that a read of the store has shown.
    pub fn apply(&self, lease: Option<&DutyLease>, own_process: &str) {
        let was_held = self.token.get().is_some();
        self.current_token.set(lease.map(|lease| lease.token));
        let own = lease.filter(|lease| &*lease.holder == own_process);
        let other = lease.filter(|_| own.is_none());
        self.holder_address
            .set(other.and_then(|lease| lease.address));
        if let Some(lease) = lease {
            // An older read may still show the token that a renewal has replaced.
            let known = self.token.get().unwrap_or(0);
            let own_token = own.map(|_| lease.token.max(known));
            if own.is_some() || lease.token > known {
                self.token.set(own_token);
            }
        }
        if was_held && self.token.get().is_none() {
            let holder = lease.map_or("-", |lease| &*lease.holder);
            let token = self.current_token.get();
            log::info!(holder = holder, token:? = token; "another instance holds the promotion duty");
        }
    }

    /// Notes that the lease was renewed by a call sent at `sent_at`.
    pub fn record_renewal(&self, sent_at: MonotonicTime) {
        self.renewed_at.set(sent_at);
    }

    /// Returns the fencing token if it may be used now. Where the platform does not check tokens,
    /// the lease must hold for certain; elsewhere the platform rejects an outdated token.
    pub fn usable_token(
        &self,
        platform_fences: bool,
        lease: Duration,
        now: MonotonicTime,
    ) -> Option<u64> {
        let held = now.since(self.renewed_at.get()) < lease;
        self.token().filter(|_| platform_fences || held)
    }

    /// Notes that this process has taken the duty or renewed its token.
    pub fn record_taken(&self, token: u64) {
        log::info!(token = token; "promotion duty taken");
        self.token.set(Some(token));
        self.current_token.set(Some(token));
        self.is_outdated.set(false);
    }

    /// Gives the duty up, for example because its lease has ended.
    pub fn release(&self) {
        if let Some(token) = self.token.take() {
            log::info!(token = token; "promotion duty given up");
        }
    }

    /// Notes that a call with the token was rejected.
    pub fn mark_token_rejected(&self) {
        log::info!(token:? = self.token.get(); "fencing token was rejected; a new one is needed");
        self.is_outdated.set(true);
    }

    /// Returns the token that a renewal must replace, if a renewal is wanted.
    pub fn outdated_token(&self) -> Option<u64> {
        self.token.get().filter(|_| self.is_outdated.get())
    }

    /// Returns the fencing token of this process.
    pub fn token(&self) -> Option<u64> {
        self.token.get().filter(|_| !self.is_outdated.get())
    }

    /// Returns the address of the instance that holds the duty, if it is another one.
    pub fn other_holder(&self) -> Option<SocketAddr> {
        self.holder_address.get()
    }

    /// Tells whether nobody holds the duty, as far as is known.
    pub fn is_free(&self) -> bool {
        self.token.get().is_none() && self.current_token.get().is_none()
    }

    /// Notes what another instance observes.
    pub fn record_outage_report(
        &self,
        sender: SocketAddr,
        report: &OutageReport,
        now: MonotonicTime,
    ) {
        let observed = ReceivedReport {
            member: report.member.clone(),
            failing: report.failing,
            received: now,
        };
        let mut reports = self.reports.borrow_mut();
        reports.insert((sender, report.group.clone()), observed);
    }

    /// Returns how many other instances cannot reach a primary.
    pub fn outage_reports(&self, group: &str, member: &str, now: MonotonicTime) -> usize {
        let reports = self.reports.borrow();
        let counts = |((_, of), report): &(&(SocketAddr, String), &ReceivedReport)| {
            of == group
                && report.member == member
                && report.failing
                && now.since(report.received) < REPORT_LIFETIME
        };
        reports.iter().filter(counts).count()
    }
}
