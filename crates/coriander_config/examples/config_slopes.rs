//! Measures CPU time and message sizes of the configuration for several fleet sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use coriander_config::{
    AcceptanceTally, ChangeCommand, ConfigRoot, ConfigState, ConfirmVersion, FreshnessGuard,
    Incarnation, KeyVerifier, VersionConfirmed, digest_key, encode_changes,
};
use coriander_core::{
    AccountLimits, ConfigDocument, ConfigVersion, FleetMember, InstanceId, KeyEntry, MonotonicTime,
};

const FLEET_SIZES: [usize; 4] = [50, 200, 800, 2_100];
/// Configuration changes per second that are expected in two years (6,700 a day).
const CHANGES_PER_SECOND: f64 = 6_700.0 / 86_400.0;
/// Time between two rounds of confirmation requests.
const ROUND_INTERVAL_SECONDS: f64 = 0.4;

fn instance(number: usize) -> InstanceId {
    format!("instance-{number:05}.0123abcd")
        .parse()
        .expect("valid name")
}

/// Returns a document with one account, two keys and two databases for each instance.
fn document(size: usize) -> ConfigDocument {
    let mut document = ConfigDocument {
        version: ConfigVersion::new(1),
        author: "operator".to_owned(),
        change_id: "c1".to_owned(),
        ..ConfigDocument::default()
    };
    for number in 0..size {
        let member = FleetMember {
            zone: format!("zone-{}", number % 10).parse().expect("valid name"),
            peer_address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7000).into(),
            draining: false,
        };
        document.fleet.insert(instance(number), member);
        let account: coriander_core::AccountName =
            format!("account-{number:05}").parse().expect("valid name");
        let limits = AccountLimits {
            rate: 100,
            burst: 200,
        };
        document.accounts.insert(account.clone(), limits);
        for key in 0..2 {
            let key_id = format!("key-{number}-{key}");
            let entry = KeyEntry {
                account: account.clone(),
                key_id: key_id.clone(),
            };
            document.keys.insert(digest_key(&key_id), entry);
        }
        for database in 0..2 {
            let name = format!("database-{number:05}-{database}");
            document.databases.push(name.parse().expect("valid name"));
        }
    }
    document
}

fn root(document: &ConfigDocument, base: Option<&ConfigRoot>) -> ConfigRoot {
    let (sections, _) =
        encode_changes(base.map(|root| &root.sections), document).expect("sections fit");
    ConfigRoot {
        version: document.version,
        author: document.author.clone(),
        change_id: document.change_id.clone(),
        fleet_version: 1,
        fleets: vec![sections.fleet.clone()],
        sections,
        recent: Vec::new(),
    }
}

/// Returns the mean time of a call in microseconds.
fn mean_micros(calls: u32, mut call: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..calls {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

struct Measurement {
    apply_micros: f64,
    delta_bytes: usize,
    document_bytes: usize,
    round_micros: f64,
    round_bytes: usize,
    tally_micros: f64,
    verify_micros: f64,
    serve_nanos: f64,
}

fn measure(size: usize) -> Measurement {
    let first = document(size);
    let first_root = root(&first, None);
    let mut second = first.clone();
    let withdraw = ChangeCommand::WithdrawKey {
        key_id: "key-1-0".to_owned(),
    };
    withdraw.apply(&mut second).expect("the key exists");
    second.version = first.version.next();
    let second_root = root(&second, Some(&first_root));

    let mut newest = ConfigState::default();
    newest.apply(first_root.clone(), first.clone());
    let request = newest.fetch_request();
    newest.apply(second_root, second.clone());
    let bundle = newest.reply_to_fetch(&request).expect("reply");
    let delta_bytes = postcard::to_allocvec(&bundle).expect("encodes").len();

    let mut behind = ConfigState::default();
    behind.apply(first_root, first.clone());
    let apply_micros = mean_micros(10, || {
        let mut state = behind.clone();
        black_box(state.apply_bundle(&bundle).expect("applies"));
        black_box(KeyVerifier::new(state.document()));
    });

    let verifier = KeyVerifier::new(&second);
    let verify_micros = mean_micros(10_000, || {
        let _ = black_box(verifier.verify(black_box("key-7-1")));
    });

    let now = MonotonicTime::from_millis(10_000);
    let mut guard = FreshnessGuard::new(instance(0), Incarnation::new(1));
    guard.record_applied(&second);
    guard.record_platform_read(second.version, now);
    let serve_nanos = 1e3
        * mean_micros(100_000, || {
            black_box(guard.may_serve(black_box(now)));
        });
    let request = guard.begin_round(now);
    let replies: Vec<_> = (1..size)
        .map(|number| reply(number, request, second.version))
        .collect();
    let round_bytes: usize = replies
        .iter()
        .map(|reply| postcard::to_allocvec(reply).expect("encodes").len())
        .sum();
    let round_micros = mean_micros(10, || {
        let mut guard = guard.clone();
        for reply in &replies {
            guard.record_reply(reply, now + Duration::from_millis(3));
        }
        black_box(guard.may_serve(now));
    });
    let tally_micros = mean_micros(3, || {
        let fleet = second.fleet.keys().cloned().collect();
        let mut tally = AcceptanceTally::new(second.version, vec![fleet]);
        for reply in &replies {
            tally.record_reply(reply, now);
        }
        black_box(tally.is_accepted());
    });
    Measurement {
        apply_micros,
        delta_bytes,
        document_bytes: serde_json::to_vec(&second).expect("encodes").len(),
        round_micros,
        round_bytes,
        tally_micros,
        verify_micros,
        serve_nanos,
    }
}

fn reply(number: usize, request: ConfirmVersion, version: ConfigVersion) -> VersionConfirmed {
    VersionConfirmed {
        request,
        instance: instance(number),
        incarnation: Incarnation::new(number as u64),
        version,
        loaded: true,
        age: Some(Duration::from_millis(300)),
        has_recent_platform_read: true,
    }
}

fn main() {
    println!(
        "instances  document  delta  apply+verifier  full round      tally  key check  may_serve"
    );
    println!(
        "               KB       B              us   us / KB            us         us         ns"
    );
    let mut last = None;
    for size in FLEET_SIZES {
        let m = measure(size);
        println!(
            "{size:9} {:9.1} {:6} {:15.0} {:6.0} / {:5.1} {:10.0} {:10.2} {:10.1}",
            m.document_bytes as f64 / 1e3,
            m.delta_bytes,
            m.apply_micros,
            m.round_micros,
            m.round_bytes as f64 / 1e3,
            m.tally_micros,
            m.verify_micros,
            m.serve_nanos
        );
        last = Some(m);
    }
    let Some(m) = last else { return };
    println!();
    println!(
        "at 2,100 instances and {CHANGES_PER_SECOND:.3} changes/s: applying takes {:.3} % of a core, \
         deltas {:.3} KB/s for each copy sent",
        m.apply_micros * CHANGES_PER_SECOND / 1e4,
        m.delta_bytes as f64 * CHANGES_PER_SECOND / 1e3
    );
    println!(
        "a full round of confirmation each {ROUND_INTERVAL_SECONDS} s (platform outage, \
         every instance sends requests to all) takes {:.2} % of a core and {:.0} KB/s received",
        m.round_micros / ROUND_INTERVAL_SECONDS / 1e4,
        m.round_bytes as f64 / 1e3 / ROUND_INTERVAL_SECONDS
    );
}
