//! Starts the front processes as the deploy file says, and plays the platform towards them.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Zones of the front machines, as in the small site.
pub const ZONES: [&str; 6] =
    ["berrechid", "berrechid", "berrechid", "ain-sebaa", "ain-sebaa", "mohammedia"];

/// Memory of a front machine.
const MEMORY_MB: u64 = 260;

const CONTRACTS: &str = "base,drain,config,cost,recover,sql,tenants,quota,places,platform";

/// Ports that are free on all addresses of a case.
pub struct Ports {
    pub store: u16,
    pub frontend: u16,
    pub readiness: u16,
    pub metrics: u16,
    pub peers: u16,
    pub members: u16,
}

pub fn front_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 10, 1, number as u8 + 1)
}

pub fn member_ip(service: usize, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 10, 2 + service as u8, number as u8 + 1)
}

pub fn platform_ip() -> Ipv4Addr {
    Ipv4Addr::new(127, 10, 0, 1)
}

/// Finds free ports.
pub fn find_ports() -> Option<Ports> {
    for attempt in 0..200u16 {
        let base = 21_000 + (std::process::id() as u16 % 200) * 100 + attempt * 7 % 90;
        let ips: Vec<Ipv4Addr> = (0..ZONES.len())
            .map(front_ip)
            .chain((0..3).flat_map(|service| (0..3).map(move |number| member_ip(service, number))))
            .chain([platform_ip()])
            .collect();
        let is_free = |port: u16| {
            ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok())
        };
        if (0..6).all(|offset| is_free(base + offset)) {
            return Some(Ports {
                store: base,
                frontend: base + 1,
                readiness: base + 2,
                metrics: base + 3,
                peers: base + 4,
                members: base + 5,
            });
        }
    }
    None
}

pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    /// Fields of the platform's settings of the machine.
    fields: HashMap<String, String>,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct Fleet {
    pub fronts: Vec<Front>,
    program: PathBuf,
    template: String,
}

impl Fleet {
    /// Writes the settings of all fronts into a folder, from the template of the deploy file.
    pub fn prepare(folder: &Path, ports: &Ports) -> std::io::Result<Self> {
        let mut fronts = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            let ip = front_ip(number);
            let name = format!("frontend-{zone}-{}", number + 1);
            fronts.push(Front {
                address: SocketAddr::from((ip, ports.frontend)),
                readiness: SocketAddr::from((ip, ports.readiness)),
                log: folder.join(format!("{name}.log")),
                settings: folder.join(format!("{name}.ini")),
                fields: settings_fields(&name, zone, ip, ports),
                child: Mutex::new(None),
                name,
            });
        }
        let program = fs::canonicalize("target/release/corianderstile")?;
        let fleet = Self { fronts, program, template: fs::read_to_string("deploy/settings.ini")? };
        fleet.write_settings(&[])?;
        Ok(fleet)
    }

    /// Writes the settings of all fronts, with other values of some fields.
    pub fn write_settings(&self, changed: &[(&str, &str)]) -> std::io::Result<()> {
        (0..self.fronts.len()).try_for_each(|number| self.write_front_settings(number, changed))
    }

    /// Writes the settings of one front, with other values of some fields.
    pub fn write_front_settings(&self, number: usize, changed: &[(&str, &str)]) -> std::io::Result<()> {
        let front = &self.fronts[number];
        {
            let mut fields = front.fields.clone();
            for (name, value) in changed {
                fields.insert((*name).to_owned(), (*value).to_owned());
            }
            fs::write(&front.settings, render(&self.template, &fields))
        }
    }

    /// Starts a front, or starts it again.
    pub fn start(&self, number: usize) -> std::io::Result<()> {
        let front = &self.fronts[number];
        let log = File::options().create(true).append(true).open(&front.log)?;
        let mut started = STARTED.lock().expect("started");
        if IS_OVER.load(Ordering::SeqCst) {
            return Ok(());
        }
        let child = Command::new(&self.program)
            .env_clear()
            .env("CORIANDERSTILE_BOOT", &front.settings)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        started.push(child.id());
        drop(started);
        *front.child.lock().expect("front") = Some(child);
        Ok(())
    }

    pub fn start_all(&self) -> std::io::Result<()> {
        (0..self.fronts.len()).try_for_each(|number| self.start(number))
    }

    /// Sends a signal to a front.
    pub fn signal(&self, number: usize, signal: &str) {
        let child = self.fronts[number].child.lock().expect("front");
        if let Some(child) = &*child {
            send_signal(child.id(), signal);
        }
    }

    /// Kills a front and waits for its end.
    pub fn kill(&self, number: usize) {
        let mut child = self.fronts[number].child.lock().expect("front");
        if let Some(mut child) = child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().expect("started").retain(|id| *id != child.id());
        }
    }

    /// Returns the exit code of a front whose process has ended, and forgets the process.
    pub fn take_end(&self, number: usize) -> Option<Option<i32>> {
        let mut child = self.fronts[number].child.lock().expect("front");
        let status = child.as_mut()?.try_wait().ok()??;
        let id = child.take()?.id();
        STARTED.lock().expect("started").retain(|started| *started != id);
        Some(status.code())
    }

    /// Returns whether a front has a process, which may have ended.
    pub fn has_process(&self, number: usize) -> bool {
        self.fronts[number].child.lock().expect("front").is_some()
    }

    /// Asks whether a front is ready.
    pub fn is_ready(&self, number: usize) -> bool {
        let ask = || -> Option<bool> {
            let address = self.fronts[number].readiness;
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            let mut text = [0; 32];
            let count = stream.read(&mut text).ok()?;
            Some(String::from_utf8_lossy(&text[..count]).contains(" 200 "))
        };
        ask().unwrap_or(false)
    }
}

/// Ids of the processes that this one has started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Whether no further process may be started.
static IS_OVER: AtomicBool = AtomicBool::new(false);

/// Kills the processes that this one has started and not ended, also those that still stand still.
pub fn kill_started() {
    IS_OVER.store(true, Ordering::SeqCst);
    for id in STARTED.lock().expect("started").iter() {
        send_signal(*id, "KILL");
    }
}

/// Sends a signal through the shell, which needs no program for it.
fn send_signal(id: u32, signal: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {id}")]).status();
}

/// Returns the fields of the platform's settings that the template uses, with the bounds of the site.
fn settings_fields(name: &str, zone: &str, ip: Ipv4Addr, ports: &Ports) -> HashMap<String, String> {
    let platform = format!("{}:{}", platform_ip(), ports.store);
    let fields = [
        ("nodeName", name.to_owned()),
        ("zone", zone.to_owned()),
        ("ip", ip.to_string()),
        ("listen.frontend", format!("{ip}:{}", ports.frontend)),
        ("listen.readiness", format!("{ip}:{}", ports.readiness)),
        ("portRange.0", ports.peers.to_string()),
        ("portRange.1", ports.metrics.to_string()),
        ("platform.address", platform.clone()),
        ("cloudApi.address", platform),
        ("cloudApi.duties", "failover".to_owned()),
        ("contracts", CONTRACTS.to_owned()),
        ("bounds.revokeStrict", "true".to_owned()),
        ("bounds.revokeMs", "5000".to_owned()),
        ("bounds.graceS", "6".to_owned()),
        ("bounds.fencing", "true".to_owned()),
        ("limits.memoryMb", MEMORY_MB.to_string()),
        ("limits.maxFds", "4300".to_owned()),
    ];
    fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// Fills in a template as DEPLOY.md says, as far as the project's template needs it: values, and
/// sections that are rendered if a value is there and not false, or if it isn't.
fn render(template: &str, fields: &HashMap<String, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let Some((name, after)) = after.split_once("}}") else { break };
        let is_set = |name: &str| fields.get(name).is_some_and(|value| value != "false");
        match name.split_at(1) {
            ("#", section) | ("^", section) => {
                let end = format!("{{{{/{section}}}}}");
                let (body, after) = after.split_once(end.as_str()).unwrap_or((after, ""));
                if is_set(section) == name.starts_with('#') {
                    out.push_str(&render(body, fields));
                }
                rest = after;
            }
            _ => {
                out.push_str(fields.get(name).map_or("", |value| value));
                rest = after;
            }
        }
    }
    out.push_str(rest);
    out
}
