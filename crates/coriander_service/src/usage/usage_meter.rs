//! Counts of this instance, sums of its zone as a collector, and their way to the holder.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coriander_core::stable_hash;
use coriander_usage::{
    AccountCounter, ClockEstimate, InstanceCounts, UsageLedger, UsagePolicy, ZoneCollector,
};

use crate::fleet::peer_messages::{PeerMessage, UsageMessage};
use crate::service::SessionService;
use crate::{BootClock, ServiceSettings};

/// Number of collectors of a zone. The second one has the counts if the first is lost.
const COLLECTORS: usize = 2;

/// Time after the end of a window from which its sums are sent, so that the counts of most processes
/// have arrived and a sum is sent once.
const SUM_DELAY: Duration = Duration::from_millis(1_400);

/// The holder of the duty to which sums are sent. A holder that restarts at the same address has
/// lost what it received, so the address alone does not identify it.
#[derive(Clone, Debug, Eq, PartialEq)]
struct SumReceiver {
    address: SocketAddr,
    process_id: Arc<str>,
    token: u64,
}

/// Usage of client accounts at this instance.
pub struct UsageMeter {
    policy: UsagePolicy,
    process: u64,
    zone: Arc<str>,
    peer_address: SocketAddr,
    clock: RefCell<ClockEstimate>,
    counter: RefCell<AccountCounter>,
    collector: RefCell<ZoneCollector>,
    /// The windows of the fleet, while this process holds the duty.
    pub ledger: RefCell<UsageLedger>,
    /// Collectors to which the last counts were sent: address and revision of the entry, which
    /// changes when an instance restarts at the same address.
    collectors: RefCell<Vec<(SocketAddr, u64)>>,
    /// Holder to which the last sums were sent; `None` while there is none.
    receiver: RefCell<Option<SumReceiver>>,
}

impl UsageMeter {
    /// Creates the meter.
    pub fn new(settings: &ServiceSettings) -> Self {
        let meter = Self {
            policy: settings.usage,
            process: stable_hash(&*settings.process_id),
            zone: settings.zone.clone(),
            peer_address: settings.peer_address,
            clock: RefCell::default(),
            counter: RefCell::default(),
            collector: RefCell::default(),
            ledger: RefCell::new(UsageLedger::new(settings.usage)),
            collectors: RefCell::default(),
            receiver: RefCell::default(),
        };
        meter.update_clock();
        meter
    }

    /// Returns the estimated true time since the Unix epoch.
    pub fn wall_time(&self) -> Duration {
        self.clock.borrow().wall_time(BootClock.now())
    }

    /// Returns the window of the present time.
    pub fn current_window(&self) -> u64 {
        self.policy.window_at(self.wall_time())
    }

    /// Counts an operation that began in a window.
    pub fn count(&self, account: &Arc<str>, window: u64) {
        self.counter.borrow_mut().count(account, window);
    }

    /// Returns the operations that this process has counted in the windows that it keeps.
    pub fn counted(&self) -> u64 {
        self.counter.borrow().total()
    }

    /// Compares the clock of the machine with those of other instances.
    pub fn update_clock(&self) {
        let mut clock = self.clock.borrow_mut();
        clock.record_own(machine_time(), BootClock.now());
    }

    /// Removes windows that are too old from the counts and sums of this instance.
    fn remove_old(&self, open_window: u64) {
        self.counter.borrow_mut().remove_old(open_window);
        self.collector.borrow_mut().remove_old(open_window);
    }

    /// Sends the counts and sums that are due.
    pub fn send_due(&self, service: &SessionService) {
        let now = self.wall_time();
        let open_window = self.policy.window_at(now);
        let settled_window = self.policy.window_at(now.saturating_sub(SUM_DELAY));
        self.remove_old(open_window);
        self.send_counts(service, open_window);
        self.send_sums(service, settled_window);
    }

    /// Sends all counts and sums, because the process is about to stop.
    pub fn send_all(&self, service: &SessionService) {
        self.counter.borrow_mut().resend_all();
        self.collector.borrow_mut().resend_all();
        let open_window = self.current_window();
        self.send_counts(service, open_window);
        // The open window is not complete, but no other message of this process follows.
        self.send_sums(service, open_window + 1);
    }

    fn send_counts(&self, service: &SessionService, open_window: u64) {
        let entries = service.usage_collectors(COLLECTORS);
        let collectors = entries.iter().map(|entry| (entry.address, entry.created));
        let collectors: Vec<_> = collectors.collect();
        if collectors.is_empty() {
            // Before the instances are known, or while none replies, the counts stay due.
            return;
        }
        if *self.collectors.borrow() != collectors {
            self.counter.borrow_mut().resend_all();
            (*self.collectors.borrow_mut()).clone_from(&collectors);
        }
        let mut counter = self.counter.borrow_mut();
        let due = counter.take_due(open_window, collectors.len());
        drop(counter);
        for counts in due {
            let (window, is_closed) = (counts.window, counts.is_closed);
            for part in InstanceCounts::parts(self.process, &self.zone, counts) {
                let message = PeerMessage::Usage(UsageMessage::Counts(part, machine_time()));
                for (address, _) in &collectors {
                    self.deliver(service, *address, &message);
                }
            }
            if is_closed {
                self.confirm_own(window);
            }
        }
    }

    /// Returns whether counts are sent to an instance now. A confirmation of a former collector must
    /// not stand for one of its successor.
    fn is_collector(&self, sender: SocketAddr) -> bool {
        let collectors = self.collectors.borrow();
        collectors.iter().any(|(address, _)| *address == sender)
    }

    /// Confirms the counts of a window that this instance has sent to itself as a collector.
    fn confirm_own(&self, window: u64) {
        let collector = self.collector.borrow();
        let received = collector.received(self.process, &self.zone, window);
        if let Some(received) = received {
            let mut counter = self.counter.borrow_mut();
            counter.confirm(window, self.process, received);
        }
    }

    fn send_sums(&self, service: &SessionService, settled_window: u64) {
        let receiver = self.sum_receiver(service);
        let is_new = *self.receiver.borrow() != receiver;
        self.receiver.replace(receiver.clone());
        let Some(receiver) = receiver else {
            return;
        };
        let mut collector = self.collector.borrow_mut();
        if is_new {
            collector.resend_all();
        }
        let due = collector.take_due(self.process, settled_window);
        drop(collector);
        for sums in due {
            for part in sums.into_parts() {
                let message = PeerMessage::Usage(UsageMessage::Zone(part));
                self.deliver(service, receiver.address, &message);
            }
        }
    }

    /// Returns the holder of the duty; `None` if there is none or its address is unknown.
    fn sum_receiver(&self, service: &SessionService) -> Option<SumReceiver> {
        let duty = &service.usage_duty;
        if let Some(token) = duty.held_token() {
            return Some(SumReceiver {
                address: self.peer_address,
                process_id: service.settings().process_id.clone(),
                token,
            });
        }
        let lease = duty.other_lease()?;
        Some(SumReceiver {
            address: lease.address?,
            process_id: lease.holder,
            token: lease.token,
        })
    }

    fn deliver(&self, service: &SessionService, address: SocketAddr, message: &PeerMessage) {
        if address != self.peer_address {
            service.peers.send(address, message);
        } else if let PeerMessage::Usage(message) = message {
            self.record(message);
        }
    }

    fn record(&self, message: &UsageMessage) {
        match message {
            UsageMessage::Counts(counts, _) => self.collector.borrow_mut().record(counts),
            UsageMessage::Zone(sums) => self.ledger.borrow_mut().receive(sums),
            UsageMessage::Received { .. } => {}
        }
    }

    /// Handles a message of another instance.
    pub fn handle(&self, sender: SocketAddr, message: &UsageMessage, service: &SessionService) {
        let now = BootClock.now();
        self.record(message);
        match message {
            UsageMessage::Counts(counts, wall_time) => {
                let mut clock = self.clock.borrow_mut();
                clock.record_peer(counts.process, *wall_time, now);
                let collector = self.collector.borrow();
                let received = collector.received(counts.process, &counts.zone, counts.window);
                if let Some(operations) = received.filter(|_| counts.is_closed) {
                    let reply = UsageMessage::Received {
                        collector: self.process,
                        window: counts.window,
                        operations,
                        wall_time: clock.wall_time(now),
                    };
                    service.peers.send(sender, &PeerMessage::Usage(reply));
                }
            }
            UsageMessage::Received {
                collector,
                window,
                operations,
                wall_time,
            } => {
                if self.is_collector(sender) {
                    let mut counter = self.counter.borrow_mut();
                    counter.confirm(*window, *collector, *operations);
                }
                let mut clock = self.clock.borrow_mut();
                clock.record_peer(*collector, *wall_time, now);
            }
            UsageMessage::Zone(_) => {}
        }
    }
}

/// Returns the time of the machine's clock since the Unix epoch.
fn machine_time() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}
