//! Starts the project's program as on the machines of a small deployment.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/corianderstile";

/// Variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "CORIANDERSTILE_BOOT";

/// Bound of the site within which a withdrawn key must stop working.
pub const REVOKE_MS: u64 = 5_000;

/// Bound of the site from SIGTERM to SIGKILL.
pub const GRACE_S: u64 = 6;

/// How long a machine must be calm to count as in touch.
pub const CONTACT: Duration = Duration::from_millis(4_000);

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

/// A process of the program.
pub struct Instance {
    pub name: String,
    pub sessions: SocketAddr,
    readiness: SocketAddr,
    process: i32,
    child: Arc<Mutex<Child>>,
}

/// All processes; they are killed when it is dropped.
pub struct Fleet {
    pub instances: Vec<Instance>,
    record: Record,
}

fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        // Instances use the same port for both protocols.
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Fills the fields of `deploy/settings.ini`.
fn settings_text(
    name: &str,
    zone: &str,
    addresses: &[SocketAddr; 4],
    platform: SocketAddr,
) -> String {
    let [sessions, readiness, metrics, peers] = addresses;
    format!(
        "[instance]\nname = {name}\nzone = {zone}\n\n[listen]\nsessions = {sessions}\n\
         readiness = {readiness}\nmetrics = {metrics}\npeers = {peers}\n\n[store]\n\
         address = {platform}\n\n[promotion]\naddress = {platform}\n\n[bounds]\n\
         key_lifetime_ms = {REVOKE_MS}\nshutdown_ms = {GRACE_S}000\nplatform_fences = 1\n"
    )
}

impl Fleet {
    /// Starts one instance in each zone.
    pub fn start(
        zones: &[&str],
        platform: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Option<Self> {
        let mut fleet = Self {
            instances: Vec::new(),
            record: record.clone(),
        };
        for zone in zones {
            let name = format!("frontend-{zone}-1");
            let addresses = [
                free_address(),
                free_address(),
                free_address(),
                free_address(),
            ];
            let path: PathBuf = folder.join(format!("{name}.ini"));
            let text = settings_text(&name, zone, &addresses, platform);
            std::fs::write(&path, text).ok()?;
            let log = File::create(folder.join(format!("{name}.log"))).ok()?;
            let mut command = Command::new(PROGRAM);
            // SAFETY: prctl may be called between fork and exec. It ends the process with this one.
            unsafe {
                command.pre_exec(|| {
                    prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                    Ok(())
                });
            }
            let child = command
                .env_clear()
                .envs(std::env::vars().filter(|(key, _)| key == "PATH" || key == "HOME"))
                .env(SETTINGS_VARIABLE, &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone().ok()?)
                .stderr(log)
                .spawn()
                .ok()?;
            fleet.instances.push(Instance {
                name,
                sessions: addresses[0],
                readiness: addresses[1],
                process: i32::try_from(child.id()).ok()?,
                child: Arc::new(Mutex::new(child)),
            });
        }
        record.write("all instances are started");
        Some(fleet)
    }

    /// Waits until all instances are ready and in touch. Returns false if one is not in 20 s.
    pub fn wait_until_in_touch(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !self.instances.iter().all(Instance::is_ready) {
            if Instant::now() > deadline {
                self.record.write("instances are not ready");
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.write("all instances are ready");
        std::thread::sleep(CONTACT + Duration::from_millis(500));
        true
    }

    /// Stops an instance as the platform does, and returns when SIGTERM was sent.
    pub fn stop(&self, number: usize) -> Duration {
        let instance = &self.instances[number];
        let at = self
            .record
            .write(&format!("platform  SIGTERM to {}", instance.name));
        // SAFETY: the process is a child that has not been waited for, so its identifier is valid.
        unsafe { kill(instance.process, SIGTERM) };
        let (child, record, name) = (
            instance.child.clone(),
            self.record.clone(),
            instance.name.clone(),
        );
        std::thread::spawn(move || {
            let deadline = Instant::now() + Duration::from_secs(GRACE_S);
            loop {
                let mut child = child.lock().unwrap();
                if let Ok(Some(status)) = child.try_wait() {
                    record.write(&format!("process   {name} ended by itself: {status}"));
                    return;
                }
                if Instant::now() > deadline {
                    record.write(&format!("platform  SIGKILL to {name}"));
                    let _ = child.kill();
                    let _ = child.wait();
                    return;
                }
                drop(child);
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        at
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &self.instances {
            let mut child = instance.child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Instance {
    /// Returns whether the instance answers the platform's probe with 200.
    pub fn is_ready(&self) -> bool {
        let probe = || -> std::io::Result<bool> {
            let mut stream =
                TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer)?;
            Ok(answer.ends_with(b" 200"))
        };
        probe().unwrap_or(false)
    }

    /// Returns whether the process runs.
    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }
}
