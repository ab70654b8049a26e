//! A small deployment: store, members, tenants, routes and six front processes.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Ports, find_ports, kill_started, member_ip, platform_ip};
use crate::group::{Group, GroupPlan, wait_until};
use crate::record::Record;
use crate::store::Store;

/// Interval of the members' check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Step in which changed entries are written at once.
const CHECK_IN_STEP: Duration = Duration::from_millis(50);

/// Zones of the members of a service.
const MEMBER_ZONES: [&str; 3] = ["berrechid", "ain-sebaa", "mohammedia"];

/// Number of tenants; the key of tenant 2 is `key-2`.
pub const TENANTS: usize = 8;

pub struct Setup {
    pub record: Arc<Record>,
    pub store: Store,
    pub groups: Vec<Arc<Group>>,
    pub fleet: Fleet,
    pub ports: Ports,
    version: AtomicU64,
    /// Time and contents of the last entry of each member.
    written: Mutex<HashMap<String, (Instant, String)>>,
}

impl Setup {
    /// Starts everything; the record goes into `folder`.
    pub fn start(folder: &Path, services: usize, plan: GroupPlan) -> Result<Arc<Self>, Box<dyn std::error::Error>> {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        let ports = find_ports().ok_or("no free ports")?;
        let temporary = temporary_folder();
        fs::create_dir_all(&temporary)?;
        let mut groups = Vec::new();
        for service in 0..services {
            let members: Vec<_> = (0..MEMBER_ZONES.len())
                .map(|number| {
                    let address = (member_ip(service, number), ports.members).into();
                    (format!("i-{service}{number}"), MEMBER_ZONES[number].to_owned(), address)
                })
                .collect();
            groups.push(Group::start(&format!("db{service}"), plan, &members, &record)?);
        }
        let (promoted, noted) = (groups.clone(), record.clone());
        let store = Store::new(Arc::new(move |service: &str, id: &str, holder: &str, token: u64| {
            let group = promoted.iter().find(|group| group.name == service);
            let status = group.map_or(404, |group| group.promote(id));
            noted.note(&format!("POST /promote {service} {id} from {holder} token {token}: {status}"));
            status
        }));
        store.serve((platform_ip(), ports.store).into())?;
        let fleet = Fleet::prepare(&temporary, &ports)?;
        let setup = Arc::new(Self {
            record,
            store,
            groups,
            fleet,
            ports,
            version: AtomicU64::new(1),
            written: Mutex::default(),
        });
        setup.write_config(plan);
        let weak = Arc::downgrade(&setup);
        setup.check_in(1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(CHECK_IN_STEP);
                let Some(setup) = weak.upgrade() else { return };
                setup.check_in(sequence);
            }
        });
        setup.fleet.start_all()?;
        if !wait_until(Duration::from_secs(20), || setup.all_ready()) {
            return Err("the fronts are not ready".into());
        }
        // The limits of the tenants have been divided and the duty has been taken.
        thread::sleep(Duration::from_secs(2));
        Ok(setup)
    }

    pub fn all_ready(&self) -> bool {
        (0..self.fleet.fronts.len()).all(|number| self.fleet.is_ready(number))
    }

    fn write_config(&self, plan: GroupPlan) {
        let mut routes = Vec::new();
        for group in &self.groups {
            let name = &group.name;
            let kinds = [
                ("orders", "primary", 800, 150, 1, ""),
                ("views", "bounded_staleness", 2_000, 500, 2, ",\"maxStalenessMs\":1500"),
                ("scales", "read_your_writes", 800, 250, 2, ",\"maxStalenessMs\":2500"),
            ];
            for (host, kind, timeout, target, priority, age) in kinds {
                routes.push(format!(
                    "{{\"name\":\"r-{host}-{name}\",\"host\":\"{host}-{name}\",\"prefix\":\"/\",\
                     \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\
                     \"priority\":{priority},\"service\":\"{name}\",\"maxAttempts\":2{age},\"public\":false}}"
                ));
            }
        }
        let services: Vec<String> = self
            .groups
            .iter()
            .map(|group| {
                format!(
                    "{{\"name\":\"{}\",\"maxConns\":{},\"warmupPerS\":0.0,\"syncReplicas\":{}}}",
                    group.name, plan.max_connections, plan.sync_replicas
                )
            })
            .collect();
        let tenants: Vec<String> = (0..TENANTS)
            .map(|number| {
                format!("{{\"name\":\"tenant{number}\",\"apiKeys\":[\"key-{number}\"],\"ratePerS\":115,\"burst\":115}}")
            })
            .collect();
        let version = self.version.fetch_add(3, Ordering::Relaxed);
        let document = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"txIdleMs\":3000}},\"tenants\":[{}]}}",
            routes.join(","),
            services.join(","),
            tenants.join(",")
        );
        self.store.put("op/config", &document);
    }

    /// Writes the entries that are due: each after a heartbeat, and a changed one at once.
    fn check_in(&self, sequence: u64) {
        let mut written = self.written.lock().expect("entries");
        if self.store.is_down() {
            return;
        }
        for group in &self.groups {
            for member in group.lock().iter() {
                let key = format!("servers/{}", member.id);
                if written.get(&key).is_some_and(|(at, _)| at.elapsed() > HEARTBEAT * 3) {
                    written.remove(&key);
                    self.store.remove(&key);
                }
                if !member.reaches_store || Instant::now() < member.checks_in_after {
                    continue;
                }
                let document = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":3,\
                     \"state\":\"{}\",\"warmupLeftMs\":0,\"dbRole\":\"{}\",\"sequence\":{sequence},\"born\":{}}}",
                    group.name,
                    member.address,
                    member.zone,
                    if member.is_draining { "draining" } else { "ready" },
                    if member.is_primary { "primary" } else { "replica" },
                    member.born
                );
                let contents = document.replace(&format!("\"sequence\":{sequence},"), "");
                let is_due = written.get(&key).is_none_or(|(at, last): &(Instant, String)| at.elapsed() >= HEARTBEAT || *last != contents);
                if is_due {
                    written.insert(key.clone(), (Instant::now(), contents));
                    self.store.put(&key, &document);
                }
            }
        }
    }

    /// Ends the entries of the members of a service, as after three check-ins of silence. Each member
    /// writes its entry again after the delay of its number.
    pub fn lapse_entries(&self, group: &Group, delays: [Duration; 3]) {
        let mut written = self.written.lock().expect("entries");
        for (number, member) in group.lock().iter_mut().enumerate() {
            let key = format!("servers/{}", member.id);
            member.checks_in_after = Instant::now() + delays[number];
            written.remove(&key);
            self.store.remove(&key);
        }
    }
}

/// Returns the folder of the settings and logs of this case.
fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("coriander-review-{}", std::process::id()))
}

/// Ends all processes that the case has started, and removes its temporary folder.
pub fn clean_up() {
    kill_started();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(temporary_folder());
    }
}
