//! What counts as usage, and the way of the counts of one instance into a report.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_service::{
    BootClock, PeerSocket, RelayServer, ServiceSettings, SessionService, ShutdownTask, UsageMeter,
    UsageTask,
};
use coriander_service_api::{
    DutyLease, FailureCode, InstanceEntry, ReadFreshness, ServiceFeatures, SessionHost, UsageApi,
    UsageReportError,
};
use coriander_usage::{LedgerStep, UsageLedger, UsagePolicy, UsageRecord, WindowUsage, ZoneCounts};
use tokio::net::UdpSocket;

use support::fake_store::FakeStore;
use support::{DATABASE, FakeGroup, Fault, apply, config, open, run, snapshot, start, start_with};

fn settings() -> ServiceSettings {
    let features = ServiceFeatures {
        usage_reports: true,
        ..ServiceFeatures::default()
    };
    let policy = UsagePolicy::default()
        .with_window(Duration::from_millis(500))
        .with_report_delay(Duration::from_millis(6_000));
    ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 9).into())
        .with_features(features)
        .with_usage(policy)
}

async fn start_counting(group: &Rc<FakeGroup>) -> Rc<SessionService> {
    let service = start_with(group, settings()).await;
    apply(&service, config(1, ReadFreshness::Newest), group.entries());
    service
}

fn counting(service: &SessionService) -> &UsageMeter {
    service.usage.as_ref().expect("reports are expected")
}

fn counted(service: &SessionService) -> u64 {
    counting(service).counted()
}

#[ntex::test]
async fn service_without_the_feature_has_no_usage() {
    // A deployment without the duty must not send anything new.
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    assert!(service.usage.is_none());
}

#[ntex::test]
async fn transaction_counts_once() {
    // Each statement would count, and a transaction costs an account as much as its statements.
    let group = FakeGroup::new(&["a"]);
    let service = start_counting(&group).await;
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 7").await;
    assert_eq!(counted(&service), 1);
    run(&mut session, "b", "BEGIN").await;
    assert_eq!(counted(&service), 1, "no member has run anything yet");
    run(&mut session, "w1", "WRITE 1 x").await;
    run(&mut session, "w2", "WRITE 2 x").await;
    run(&mut session, "c", "COMMIT").await;
    assert_eq!(counted(&service), 2);
}

#[ntex::test]
async fn operation_repeated_after_not_run_counts_once() {
    // A busy member would add to the usage of an account for work that it refused.
    let group = FakeGroup::new(&["a"]);
    let service = start_counting(&group).await;
    let mut session = open(&service).await;
    group.add_fault("a", "WRITE", Fault::Refuse(FailureCode::Busy));
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert!(response.result.is_ok());
    assert_eq!(counted(&service), 1);
}

#[ntex::test]
async fn operation_without_a_reply_counts() {
    // The member has run it, though the proxy does not know.
    let group = FakeGroup::new(&["a"]);
    let service = start_counting(&group).await;
    let mut session = open(&service).await;
    group.add_fault("a", "WRITE", Fault::LoseReply);
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert!(response.result.is_err());
    assert_eq!(counted(&service), 1);
}

#[ntex::test]
async fn operation_without_an_account_does_not_count() {
    // The platform would get a report for an account that does not exist.
    let group = FakeGroup::new(&["a"]);
    let service = start_counting(&group).await;
    let mut open_config = config(2, ReadFreshness::Newest);
    for route in open_config.routes.values_mut() {
        Arc::make_mut(route).open_to_all = true;
    }
    apply(&service, open_config, group.entries());
    let session = service.open(DATABASE, "").await;
    let mut session = session.unwrap_or_else(|failure| panic!("{}", failure.message()));
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert!(response.result.is_ok());
    assert_eq!(counted(&service), 0);
    let mut session = open(&service).await;
    run(&mut session, "w2", "WRITE 2 x").await;
    assert_eq!(counted(&service), 1);
}

/// Notes the reports and loses the first answer.
#[derive(Default)]
struct FakeUsageApi {
    reports: RefCell<Vec<WindowUsage>>,
    calls: Cell<u64>,
}

#[async_trait(?Send)]
impl UsageApi for FakeUsageApi {
    async fn report(
        &self,
        usage: &WindowUsage,
        _holder: &str,
        token: u64,
    ) -> Result<(), UsageReportError> {
        assert_eq!(token, 41);
        self.calls.set(self.calls.get() + 1);
        let mut reports = self.reports.borrow_mut();
        match reports.iter().find(|known| known.window == usage.window) {
            Some(known) => assert_eq!(known, usage, "a report is final"),
            None => reports.push(usage.clone()),
        }
        if self.calls.get() == 1 {
            return Err(UsageReportError::NoResponse("lost".to_owned()));
        }
        Ok(())
    }
}

#[ntex::test]
async fn holder_reports_the_operations_of_each_window_once() {
    // Guards the whole way: counted here, collected, summed, recorded, sent, and sent again.
    let group = FakeGroup::new(&["a"]);
    let service = start_with(&group, settings()).await;
    let mut held = snapshot(config(1, ReadFreshness::Newest), group.entries());
    held.instances = vec![InstanceEntry {
        id: "instance-1".into(),
        address: service.settings().peer_address,
        zone: "berrechid".into(),
        created: 1,
    }];
    held.fleet_secret = Some([7; 32].as_slice().into());
    held.usage_lease = Some(DutyLease {
        holder: service.settings().process_id.clone(),
        address: None,
        token: 41,
    });
    service.apply_snapshot(&held, BootClock.now());
    let store = FakeStore::new(41);
    let api = Rc::new(FakeUsageApi::default());
    let task = UsageTask::new(service.clone(), store.clone(), api.clone());
    let task = task.expect("reports are expected");
    let mut session = open(&service).await;
    // Windows in which each operation may have begun: that before and that after it.
    let mut operations = Vec::new();
    for round in 0..60 {
        // Without a recent read of the store the member is not used.
        service.apply_snapshot(&held, BootClock.now());
        service.usage_duty.record_renewal(BootClock.now());
        let before = counting(&service).current_window();
        let response = run(&mut session, &format!("w{round}"), "WRITE 1 x").await;
        assert!(response.result.is_ok());
        operations.push((before, counting(&service).current_window()));
        task.run_round().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let reports = api.reports.borrow();
    assert!(reports.len() >= 5, "{reports:?}");
    for usage in reports.iter() {
        let window = usage.window;
        let certain = operations.iter().filter(|w| **w == (window, window));
        let possible = operations
            .iter()
            .filter(|(before, after)| (*before..=*after).contains(&window));
        let count: u64 = usage.counts.values().sum();
        let bounds = certain.count() as u64..=possible.count() as u64;
        assert!(bounds.contains(&count), "{bounds:?} {usage:?}");
    }
    let windows: Vec<_> = reports.iter().map(|usage| usage.window).collect();
    let following = windows.windows(2).all(|pair| pair[1] == pair[0] + 1);
    assert!(following, "{windows:?}");
    assert_eq!(api.calls.get(), windows.len() as u64 + 1);
    assert_eq!(
        store.usage_record.borrow().last_window,
        *windows.last().expect("reports")
    );
}

#[ntex::test]
async fn rounds_without_duty_and_collectors_remove_old_windows() {
    // The memory of an instance that never holds the duty, or is cut off, would grow for ever.
    let group = FakeGroup::new(&["a"]);
    let service = start_with(&group, settings()).await;
    let usage = counting(&service);
    for window in 1..=1_000 {
        usage.count(&"north".into(), window);
        usage.ledger.borrow_mut().receive(&ZoneCounts {
            collector: 1,
            zone: "berrechid".into(),
            window,
            closed_processes: 1,
            total: 1,
            counts: vec![("north".into(), 1)],
        });
    }
    let api = Rc::new(FakeUsageApi::default());
    let task = UsageTask::new(service.clone(), FakeStore::new(41), api);
    task.expect("reports are expected").run_round().await;
    assert_eq!(usage.counted(), 0);
    assert_eq!(usage.ledger.borrow().window_count(), 0);
}

/// Starts an instance of a zone with two; it receives datagrams.
async fn start_in_fleet(name: &str, group: &Rc<FakeGroup>) -> (Rc<SessionService>, InstanceEntry) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
    let address = socket.local_addr().expect("bound");
    let id = format!("{name}-a").parse().expect("valid name");
    let peers = Rc::new(PeerSocket::new(socket, name.into(), id, 1));
    let settings = ServiceSettings {
        name: name.into(),
        process_id: name.into(),
        peer_address: address,
        ..settings()
    }
    .with_shutdown_timeout(Duration::from_millis(800));
    let service = SessionService::new(settings, group.clone(), peers.clone());
    let handler = service.clone();
    ntex::rt::spawn(peers.receive(move |sender, message| {
        handler.handle_message(sender, &message);
    }));
    let entry = InstanceEntry {
        id: name.into(),
        address,
        zone: "berrechid".into(),
        created: 1,
    };
    (service, entry)
}

#[ntex::test]
async fn stopping_instance_hands_its_counts_over() {
    // The operations since the last round would be missing from the report.
    let group = FakeGroup::new(&["a"]);
    let (stopping, stopping_entry) = start_in_fleet("stopping", &group).await;
    let (holder, holder_entry) = start_in_fleet("holder", &group).await;
    let mut held = snapshot(config(1, ReadFreshness::Newest), group.entries());
    held.instances = vec![stopping_entry, holder_entry.clone()];
    held.fleet_secret = Some([7; 32].as_slice().into());
    held.usage_lease = Some(DutyLease {
        holder: "holder".into(),
        address: Some(holder_entry.address),
        token: 41,
    });
    for service in [&stopping, &holder] {
        service.apply_snapshot(&held, BootClock.now());
    }
    let window = counting(&stopping).current_window();
    for account in ["north", "south"] {
        counting(&stopping).count(&account.into(), window);
    }
    let relay = RelayServer::new(&stopping);
    ShutdownTask::new(stopping.clone(), relay, FakeStore::new(41))
        .run()
        .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    counting(&holder).send_all(&holder);
    let mut ledger = counting(&holder).ledger.borrow_mut();
    ledger.set_record(UsageRecord {
        last_window: window - 1,
        ..UsageRecord::default()
    });
    let later = holder.settings().usage.latest_report(window);
    let step = ledger.next_step(later, 1);
    let LedgerStep::WriteRecord(record) = step else {
        panic!("{step:?}");
    };
    let counts = record.reports[0].counts.values().sum::<u64>();
    assert_eq!(counts, 2, "{record:?}");
}

#[ntex::test]
async fn holder_restarted_at_its_address_gets_all_sums_again() {
    // Its memory is empty, and it would report the windows with almost no operations, finally.
    let group = FakeGroup::new(&["a"]);
    let (collector, collector_entry) = start_in_fleet("collector", &group).await;
    let (holder, holder_entry) = start_in_fleet("holder", &group).await;
    let mut held = snapshot(config(1, ReadFreshness::Newest), group.entries());
    held.instances = vec![collector_entry, holder_entry.clone()];
    held.fleet_secret = Some([7; 32].as_slice().into());
    let lease = DutyLease {
        holder: "holder-1".into(),
        address: Some(holder_entry.address),
        token: 41,
    };
    let restarted = DutyLease {
        holder: "holder-2".into(),
        token: 42,
        ..lease.clone()
    };
    // Old enough that its sum is sent, and young enough that it is kept.
    let window = counting(&collector).current_window() - 5;
    counting(&collector).count(&"north".into(), window);
    for lease in [Some(lease.clone()), Some(restarted), None, Some(lease)] {
        held.revision += 1;
        let is_held = lease.is_some();
        held.usage_lease = lease;
        for service in [&collector, &holder] {
            service.apply_snapshot(&held, BootClock.now());
        }
        // A socket sends nothing before the runtime has polled it.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let empty = UsageLedger::new(holder.settings().usage);
        counting(&holder).ledger.replace(empty);
        for _ in 0..3 {
            counting(&collector).send_due(&collector);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let ledger = counting(&holder).ledger.borrow();
        let closed = ledger.closed_processes(window);
        assert_eq!(closed, u32::from(is_held), "{:?}", held.usage_lease);
    }
}

#[ntex::test]
async fn collector_restarted_at_its_address_gets_all_counts_again() {
    // The totals of its zone would lack this instance if the other collector is lost as well.
    let group = FakeGroup::new(&["a"]);
    let (service, entry) = start_in_fleet("instance-1", &group).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
    let mut held = snapshot(config(1, ReadFreshness::Newest), group.entries());
    held.fleet_secret = Some([7; 32].as_slice().into());
    let window = counting(&service).current_window();
    for age in 1..=8 {
        counting(&service).count(&"north".into(), window - age);
    }
    for created in [1, 2] {
        let collector = InstanceEntry {
            id: "collector".into(),
            address: socket.local_addr().expect("bound"),
            created,
            ..entry.clone()
        };
        held.instances = vec![entry.clone(), collector];
        held.revision += 1;
        service.apply_snapshot(&held, BootClock.now());
        // A socket sends nothing before the runtime has polled it.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut buffer = [0; 2_048];
        while socket.try_recv_from(&mut buffer).is_ok() {}
        for _ in 0..3 {
            counting(&service).send_due(&service);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut received = 0;
        while socket.try_recv_from(&mut buffer).is_ok() {
            received += 1;
        }
        assert!(received >= 8, "created={created} received={received}");
    }
}
