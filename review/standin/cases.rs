//! The cases.

use std::path::PathBuf;
use std::time::Duration;

use crate::client::{Outcome, Sent, Session};
use crate::fleet::{Fleet, GRACE_S, REVOKE_MS};
use crate::member::{Group, MAX_CONNECTIONS};
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["berrechid", "ain-sebaa", "mohammedia"];
const SERVICE: &str = "huvo11a";

/// Bounds of the site.
const EVACUATE_MS: u64 = 5_000;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, and how.
    Broken(String),
    /// The case could not run, and why.
    NotRun(String),
}

impl Verdict {
    /// Returns the result as one line.
    pub fn text(&self) -> String {
        match self {
            Self::Held => "held".to_owned(),
            Self::Broken(how) => format!("broken: {how}"),
            Self::NotRun(why) => format!("not run: {why}"),
        }
    }
}

/// A small deployment with its stand-ins.
struct Deployment {
    store: Store,
    fleet: Fleet,
    record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A config of the operator.
struct Config {
    version: u64,
    /// Whether the route of the database `depot` is there.
    has_depot: bool,
    /// Whether the second key of the tenant is there.
    has_second_key: bool,
}

/// Key that stays in all configs.
const FIRST_KEY: &str = "u6wsjnbanfqasnmgkcuy";
/// Key that a config takes away.
const SECOND_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

impl Config {
    fn render(&self) -> String {
        let route = |host: &str, kind: &str, timeout: u32, staleness: u32| {
            format!(
                r#"{{"name":"r-{host}","host":"{host}","prefix":"/","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":500,"priority":2,"service":"{SERVICE}","maxAttempts":2,"maxStalenessMs":{staleness},"public":false}}"#
            )
        };
        let mut routes = vec![
            route("orders", "primary", 800, 0),
            route("views", "bounded_staleness", 2_000, 1_500),
            route("weights", "read_your_writes", 800, 2_500),
        ];
        if self.has_depot {
            routes.push(route("depot", "read_your_writes", 800, 2_500));
        }
        let mut keys = vec![format!("\"{FIRST_KEY}\"")];
        if self.has_second_key {
            keys.push(format!("\"{SECOND_KEY}\""));
        }
        format!(
            r#"{{"version":{},"routes":[{}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":{MAX_CONNECTIONS},"protocol":"h1","tls":false,"warmupS":0.0,"warmupPerS":0.0,"syncReplicas":0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}},"tenants":[{{"name":"nypu920","apiKeys":[{}],"priority":1,"ratePerS":115,"burst":115}}]}}"#,
            self.version,
            routes.join(","),
            keys.join(",")
        )
    }
}

const FIRST_CONFIG: Config = Config {
    version: 7,
    has_depot: true,
    has_second_key: true,
};

impl Deployment {
    /// Starts stand-ins and instances and waits until the instances are in touch. Each statement
    /// takes a member `work`.
    fn start(work: Duration, record: &Record) -> Option<Self> {
        let deployment = Self::start_with_entry(work, None, record)?;
        deployment.fleet.wait_until_in_touch().then_some(deployment)
    }

    /// Starts stand-ins and instances, after another writer has written `entry` among the members.
    fn start_with_entry(work: Duration, entry: Option<&str>, record: &Record) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let group = Group::start(SERVICE, "i-7f3a", &ZONES, work, record);
        let (store, platform) = Store::start(vec![group.clone()], record.clone());
        store.put_as_operator("op/config", &FIRST_CONFIG.render());
        if let Some(entry) = entry {
            record.write(&format!("store     put servers/i-foreign: {entry}"));
            store.put("servers/i-foreign", entry);
        }
        group.check_in(&store);
        let fleet = Fleet::start(&ZONES, platform, &folder, record)?;
        Some(Self {
            store,
            fleet,
            record: record.clone(),
            folder,
        })
    }

    fn open(&self, name: &str, instance: usize, database: &str, key: &str) -> Option<Session> {
        let address = self.fleet.instances[instance].sessions;
        Session::open(name, address, database, key, &self.record)
    }
}

/// Plays a case.
pub fn play(case: &str, trouble: bool, record: &Record) -> Verdict {
    record.write(&format!("case {case}, disruption: {trouble}"));
    let verdict = match case {
        "revoked-key" => revoked_key(trouble, record),
        "stopped-instance" => stopped_instance(trouble, record),
        "evacuated-zone" => evacuated_zone(trouble, record),
        "line-feed" => line_feed(trouble, record),
        "foreign-member" => foreign_member(trouble, record),
        "foreign-values" => foreign_values(trouble, record),
        "foreign-entry" => foreign_entry(trouble, record),
        _ => return Verdict::NotRun(format!("unknown case {case}")),
    };
    verdict.unwrap_or_else(|| Verdict::NotRun("the deployment did not start".to_owned()))
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Sleeps until a time of the record.
fn sleep_until(time: Duration, record: &Record) {
    std::thread::sleep(time.saturating_sub(record.now()));
}

/// A key is withdrawn together with a route on which the key's owner has an open transaction.
fn revoked_key(trouble: bool, record: &Record) -> Option<Verdict> {
    let deployment = Deployment::start(millis(10), record)?;
    let mut session = deployment.open("depot-client", 0, "depot", SECOND_KEY)?;
    let mut other = deployment.open("other-client", 1, "weights", SECOND_KEY)?;
    let mut sent = vec![session.query("BEGIN"), session.query("WRITE 1a4 weight0")];
    other.query("READ 1a4");
    let config = Config {
        version: 12,
        has_depot: !trouble,
        has_second_key: !trouble,
    };
    let confirmed_at = deployment
        .store
        .put_as_operator("op/config", &config.render());
    for number in 1..=5 {
        sleep_until(confirmed_at + millis(900 * number), record);
        sent.push(session.query(&format!("WRITE 1a4 weight{number}")));
    }
    sleep_until(confirmed_at + millis(REVOKE_MS + 500), record);
    other.query("READ 1a4");
    sleep_until(confirmed_at + millis(REVOKE_MS + 1_000), record);
    sent.push(session.query("WRITE 1a4 weight6"));
    sent.push(session.query("COMMIT"));
    if sent[..2].iter().any(|statement| !statement.is_complete()) {
        return Some(Verdict::NotRun("the transaction did not open".to_owned()));
    }
    if !trouble {
        let held = sent.iter().all(Sent::is_complete);
        return Some(if held {
            Verdict::Held
        } else {
            Verdict::NotRun("the transaction failed without a disruption".to_owned())
        });
    }
    let limit = confirmed_at + millis(REVOKE_MS);
    let late = sent.iter().filter(|statement| statement.sent_at > limit);
    let run: Vec<_> = late
        .filter(|statement| record.run_of(&statement.id).is_some())
        .collect();
    Some(if run.is_empty() {
        Verdict::Held
    } else {
        let texts: Vec<_> = run.iter().map(|statement| &statement.text).collect();
        Verdict::Broken(format!(
            "CONFIG: run after the key was withdrawn: {texts:?}"
        ))
    })
}

/// An instance gets SIGTERM while clients have open transactions.
fn stopped_instance(trouble: bool, record: &Record) -> Option<Verdict> {
    const CLIENTS: u64 = 8;
    let deployment = Deployment::start(millis(200), record)?;
    let start = record.now() + millis(500);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let session = deployment.open(&format!("client-{number}"), 0, "views", FIRST_KEY);
            let record = record.clone();
            std::thread::spawn(move || {
                transaction_of_reads(session?, start + millis(75 * number), &record)
            })
        })
        .collect();
    sleep_until(start + millis(600), record);
    let stopped_at = trouble.then(|| deployment.fleet.stop(0));
    let mut sent: Vec<Sent> = Vec::new();
    for client in clients {
        sent.extend(client.join().ok()??);
    }
    let Some(stopped_at) = stopped_at else {
        let held = sent.iter().all(Sent::is_complete);
        return Some(if held {
            Verdict::Held
        } else {
            Verdict::NotRun("a transaction failed without a disruption".to_owned())
        });
    };
    // Not counted: requests sent up to 3 s after SIGTERM, and connections that end between requests.
    let end = stopped_at + millis(1_000 * GRACE_S + 1_000);
    let lost: Vec<_> = sent
        .iter()
        .filter(|statement| matches!(statement.outcome, Outcome::Cut(_)))
        .filter(|statement| {
            statement.sent_at > stopped_at + millis(3_000) && statement.ended_at < end
        })
        .filter(|statement| record.run_of(&statement.id).is_some())
        .map(|statement| (statement.sent_at - stopped_at, &statement.id))
        .collect();
    Some(if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "LOST: {} statements passed on to a member and cut; sent after SIGTERM: {lost:?}",
            lost.len()
        ))
    })
}

/// Runs a transaction of 12 statements, BEGIN and COMMIT included, with pauses until one fails.
fn transaction_of_reads(
    mut session: Session,
    start: Duration,
    record: &Record,
) -> Option<Vec<Sent>> {
    sleep_until(start, record);
    let mut sent = vec![session.query("BEGIN READ")];
    for number in 0..10 {
        let statement = session.query(&format!("READ {number}a4"));
        let failed = !statement.is_complete();
        sent.push(statement);
        if failed {
            return Some(sent);
        }
        std::thread::sleep(millis(430));
    }
    sent.push(session.query("COMMIT"));
    Some(sent)
}

/// A zone is evacuated while a client has an open transaction on a member there.
fn evacuated_zone(trouble: bool, record: &Record) -> Option<Verdict> {
    let deployment = Deployment::start(millis(30), record)?;
    let mut orders = deployment.open("orders-client", 0, "orders", FIRST_KEY)?;
    let mut session = deployment.open("views-client", 0, "views", FIRST_KEY)?;
    // Ordinary work, from which the instance knows the newest position of the primary.
    for number in 0..10 {
        orders.query(&format!("WRITE 1a4 order{number}"));
        session.query("READ 1a4");
        std::thread::sleep(millis(100));
    }
    let begin = session.query("BEGIN READ");
    let first = session.query("READ 1a4");
    let Some(run) = record.run_of(&first.id).filter(|_| begin.is_complete()) else {
        return Some(Verdict::NotRun("the transaction did not open".to_owned()));
    };
    let confirmed_at = if trouble {
        let key = format!("op/evacuate/{}", run.zone);
        deployment.store.put_as_operator(&key, "{}")
    } else {
        record.now()
    };
    let mut other = deployment.open("other-client", 1, "views", FIRST_KEY)?;
    let mut sent = Vec::new();
    for number in 1..=10 {
        sleep_until(confirmed_at + millis(700 * number), record);
        let statement = session.query("READ 1a4");
        other.query("READ 1a4");
        let failed = !statement.is_complete();
        sent.push(statement);
        if failed {
            break;
        }
    }
    if !trouble {
        let held = sent.iter().all(Sent::is_complete);
        return Some(if held {
            Verdict::Held
        } else {
            Verdict::NotRun("the transaction failed without a disruption".to_owned())
        });
    }
    let limit = confirmed_at + millis(EVACUATE_MS);
    let late: Vec<_> = record
        .runs()
        .into_iter()
        .filter(|late| late.zone == run.zone && late.at > limit && late.id != "-")
        .map(|late| (late.at - confirmed_at, late.member))
        .collect();
    Some(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("EVAC: reached a member of {}: {late:?}", run.zone))
    })
}

/// A primary is replaced while a session with values and many prepared statements has an open
/// transaction.
fn foreign_values(trouble: bool, record: &Record) -> Option<Verdict> {
    const SHAPES: usize = 256;
    let deployment = Deployment::start(millis(1), record)?;
    let mut session = deployment.open("orders-client", 0, "orders", FIRST_KEY)?;
    let mut sent = vec![session.query("SET tz utc")];
    for number in 0..SHAPES {
        sent.push(session.query(&format!("PREPARE s{number} READ q{number:x}")));
        sent.push(session.query(&format!("EXECUTE s{number} 1a4")));
        std::thread::sleep(millis(20));
    }
    sent.push(session.query("BEGIN"));
    let first = session.query("READ 1a4");
    let run = record.run_of(&first.id);
    sent.push(first);
    if sent.iter().any(|statement| !statement.is_complete()) {
        return Some(Verdict::NotRun("the transaction did not open".to_owned()));
    }
    let key = format!("op/evacuate/{}", run?.zone);
    if trouble {
        deployment.store.put_as_operator(&key, "{}");
    }
    std::thread::sleep(millis(2_500));
    session.query(&format!("PREPARE s{SHAPES} READ q{SHAPES:x}"));
    session.query(&format!("EXECUTE s{SHAPES} 1a4"));
    session.query("ROLLBACK");
    if trouble {
        deployment.store.delete_as_operator(&key);
    }
    std::thread::sleep(millis(3_000));
    let mut other = deployment.open("views-client", 0, "views", FIRST_KEY)?;
    let reads: Vec<_> = (0..20).map(|_| other.query("READ 1a4").id).collect();
    let runs = record
        .runs()
        .into_iter()
        .filter(|run| reads.contains(&run.id));
    let wrong: Vec<_> = runs.filter(|run| !run.values.is_empty()).collect();
    Some(match wrong.first() {
        None => Verdict::Held,
        Some(run) => Verdict::Broken(format!(
            "PINNED: {} of {} reads of a session without values ran with {} at {}",
            wrong.len(),
            reads.len(),
            run.values,
            run.member
        )),
    })
}

/// A client writes data that contain a line feed.
fn line_feed(trouble: bool, record: &Record) -> Option<Verdict> {
    let deployment = Deployment::start(millis(10), record)?;
    let mut session = deployment.open("writer", 0, "weights", FIRST_KEY)?;
    let separator = if trouble { "\n" } else { " " };
    let text =
        format!("WRITE 1a4 first line{separator}QUERY 00000000000000aa WRITE 9f9 second line");
    let sent = session.query(&text);
    std::thread::sleep(millis(1_000));
    let runs: Vec<_> = record
        .runs()
        .into_iter()
        .filter(|run| run.id != "-")
        .collect();
    if runs.is_empty() {
        return Some(match sent.outcome {
            Outcome::Error(_) if trouble => Verdict::Held,
            outcome => Verdict::NotRun(format!("the write did not run: {outcome:?}")),
        });
    }
    let wrong: Vec<_> = runs
        .iter()
        .filter(|run| run.id != sent.id || run.text != text)
        .map(|run| (&run.id, &run.text))
        .collect();
    Some(if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("UNASKED: run but not sent: {wrong:?}"))
    })
}

/// Another writer puts an entry without all fields, whose address leads to a server of its own.
fn foreign_member(trouble: bool, record: &Record) -> Option<Verdict> {
    let deployment = Deployment::start(millis(10), record)?;
    let other = Group::start(SERVICE, "i-rehearsal", &ZONES[..1], millis(10), record);
    let (id, zone, address) = &other.members[0];
    let mut orders = deployment.open("orders-client", 0, "orders", FIRST_KEY)?;
    let first = orders.query("WRITE 1a4 first");
    let row = orders.read("READ 1a4");
    if !first.is_complete() || row.as_deref() != Some("first") {
        return Some(Verdict::NotRun(
            "the first write or its read failed".to_owned(),
        ));
    }
    if trouble {
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{address}","zone":"{zone}","version":"v1","state":"ready","warmupLeftMs":0,"dbRole":"primary","sequence":"1"}}"#
        );
        record.write(&format!("store     put servers/{id}: {entry}"));
        deployment.store.put(&format!("servers/{id}"), &entry);
    }
    for number in 0..10 {
        std::thread::sleep(millis(500));
        orders.read("READ 1a4");
        orders.query(&format!("WRITE 9f9 later{number}"));
    }
    let reads = record
        .runs()
        .into_iter()
        .filter(|run| run.text.starts_with("READ"));
    let stale: Vec<_> = reads
        .filter(|run| run.member == *id)
        .map(|run| run.id)
        .collect();
    let writes = record
        .runs()
        .into_iter()
        .filter(|run| run.text.starts_with("WRITE"));
    let lost = writes.filter(|run| run.member == *id).count();
    Some(if stale.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "STALE: {} reads ran on {id}, whose log lacks the first commit; {lost} writes went there",
            stale.len()
        ))
    })
}

/// Another writer has put an entry among those of the members.
fn foreign_entry(trouble: bool, record: &Record) -> Option<Verdict> {
    let entry = format!(
        r#"{{"service":"{SERVICE}","address":"127.0.0.1:9","zone":"berrechid","version":"v1","capacity":3,"state":"ready","warmupLeftMs":1e300,"dbRole":"replica","sequence":1,"born":1780000000000}}"#
    );
    let entry = trouble.then_some(entry.as_str());
    let deployment = Deployment::start_with_entry(millis(10), entry, record)?;
    let mut served = 0;
    let mut sent = 0;
    for _ in 0..25 {
        std::thread::sleep(millis(1_000));
        for instance in 0..ZONES.len() {
            sent += 1;
            let session = deployment.open("client", instance, "views", FIRST_KEY);
            if session.is_some_and(|mut session| session.query("READ 1a4").is_complete()) {
                served += 1;
            }
        }
    }
    let running = deployment
        .fleet
        .instances
        .iter()
        .filter(|instance| instance.is_running());
    let ready = deployment
        .fleet
        .instances
        .iter()
        .filter(|instance| instance.is_ready());
    let (running, ready) = (running.count(), ready.count());
    record.write(&format!(
        "{running} processes run, {ready} are ready, {served} of {sent} requests were served"
    ));
    Some(if served == 0 {
        Verdict::Broken(format!(
            "Fault: none of {sent} requests was served; {running} processes run"
        ))
    } else if trouble || served * 10 >= sent * 9 {
        Verdict::Held
    } else {
        Verdict::NotRun(format!(
            "{served} of {sent} requests served without a disruption"
        ))
    })
}
