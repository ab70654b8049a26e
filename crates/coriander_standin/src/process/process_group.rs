//! Processes that are stopped together.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::http_client::HttpClient;
use super::instance_spec::InstanceSpec;
use super::process_error::ProcessError;
use super::program_paths::{example_path, program_path};
use super::unused_address::{lock_returned_ports, unused_address};
use super::wait_until::{CONDITION_TIMEOUT, wait_until};
use crate::platform::ServiceEntry;

/// Environment variable with the log filter of the processes. It is not `RUST_LOG`, because
/// `ntex::test` sets that to `trace`, which slows the processes down.
const LOG_FILTER_VARIABLE: &str = "CORIANDER_PROCESS_LOG";

struct GroupProcess {
    name: String,
    program: PathBuf,
    args: Vec<String>,
    child: Option<Child>,
}

/// Processes of a test or a run; dropping the group kills all of them, also on a panic.
pub struct ProcessGroup {
    directory: PathBuf,
    processes: Vec<GroupProcess>,
    http_client: HttpClient,
    keeps_directory: bool,
}

impl ProcessGroup {
    /// Creates an empty group with a new directory for logs and settings.
    pub async fn create(label: &str) -> Result<Self, ProcessError> {
        let suffix: u32 = rand::random();
        let directory = std::env::temp_dir().join(format!("{label}-{suffix:08x}"));
        fs::create_dir_all(&directory)
            .map_err(ProcessError::system("failed to create the directory"))?;
        Ok(Self {
            directory,
            processes: Vec::new(),
            http_client: HttpClient::create(Duration::from_secs(5)).await,
            keeps_directory: false,
        })
    }

    /// Returns the directory with the logs and settings of the processes.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Keeps the directory with logs and settings when the group is dropped.
    pub fn keep_directory(&mut self) {
        self.keeps_directory = true;
    }

    /// Returns the HTTP client with which the group waits for its processes.
    pub fn http_client(&self) -> &HttpClient {
        &self.http_client
    }

    /// Starts a process whose output goes to the file `NAME.log`.
    pub fn start(
        &mut self,
        name: &str,
        program: &Path,
        args: Vec<String>,
    ) -> Result<(), ProcessError> {
        let mut process = GroupProcess {
            name: name.to_owned(),
            program: program.to_owned(),
            args,
            child: None,
        };
        self.spawn(&mut process)?;
        self.processes.push(process);
        Ok(())
    }

    /// Starts a stand-in member and waits until it responds.
    pub async fn start_member(
        &mut self,
        name: &str,
        database: &str,
        zone: &str,
        extra_args: &[&str],
    ) -> Result<SocketAddr, ProcessError> {
        let address = unused_address()?;
        let listen = address.to_string();
        let base_args = [
            "--listen",
            &listen,
            "--member",
            name,
            "--database",
            database,
            "--zone",
            zone,
        ];
        let args = base_args.iter().chain(extra_args);
        let args = args.map(|&arg| arg.to_owned()).collect();
        let program = example_path("standin_member")?;
        self.start(&format!("{database}-{name}"), &program, args)?;
        self.wait_for_url(&format!("http://{address}/group/status"))
            .await?;
        Ok(address)
    }

    /// Starts the stand-in platform and waits until it responds.
    pub async fn start_platform(
        &mut self,
        extra_args: &[&str],
    ) -> Result<SocketAddr, ProcessError> {
        let address = unused_address()?;
        let listen = address.to_string();
        let args = ["--listen", &listen];
        let args = args.iter().chain(extra_args);
        let args = args.map(|&arg| arg.to_owned()).collect();
        self.start("platform", &example_path("standin_platform")?, args)?;
        self.wait_for_url(&format!("http://{address}/debug/counters"))
            .await?;
        Ok(address)
    }

    /// Starts a proxy instance and waits until its caller address responds.
    ///
    /// The instance may not be ready then, because readiness depends on the whole fleet.
    pub async fn start_instance(&mut self, spec: &InstanceSpec) -> Result<(), ProcessError> {
        let path = self.directory.join(format!("{}.ini", spec.name));
        fs::write(&path, spec.to_ini())
            .map_err(ProcessError::system("failed to write the settings"))?;
        let args = vec!["--config".to_owned(), path.display().to_string()];
        self.start(&spec.name, &program_path("corianderstile")?, args)?;
        let url = format!("http://{}/health", spec.callers);
        let result = self.wait_for_url(&url).await;
        if result.is_err() {
            // The cause is only in the log of the instance.
            self.keep_directory();
        }
        result
    }

    /// Registers a service in the platform's catalog.
    pub async fn register_service(
        &self,
        platform: SocketAddr,
        entry: &ServiceEntry,
    ) -> Result<(), ProcessError> {
        let body = serde_json::json!({
            "Node": format!("{}-{}", entry.service, entry.id),
            "Address": entry.address,
            "Service": entry,
        });
        let url = format!("http://{platform}/v1/catalog/register");
        self.http_client.put(&url, &body.to_string()).await?;
        Ok(())
    }

    /// Kills a process with SIGKILL and waits until it has exited.
    pub fn kill(&mut self, name: &str) -> Result<(), ProcessError> {
        let process = self.find(name)?;
        let Some(mut child) = process.child.take() else {
            return Err(ProcessError::NotRunning(name.to_owned()));
        };
        kill_child(&mut child);
        Ok(())
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&mut self, name: &str) -> Result<(), ProcessError> {
        self.signal(name, Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&mut self, name: &str) -> Result<(), ProcessError> {
        self.signal(name, Signal::CONT)
    }

    /// Tells a process with SIGHUP that its settings have changed.
    pub fn hang_up(&mut self, name: &str) -> Result<(), ProcessError> {
        self.signal(name, Signal::HUP)
    }

    /// Requests the shutdown of a process with SIGTERM.
    pub fn terminate(&mut self, name: &str) -> Result<(), ProcessError> {
        self.signal(name, Signal::TERM)
    }

    /// Restarts a process that has exited, with the same arguments.
    pub fn restart(&mut self, name: &str) -> Result<(), ProcessError> {
        let position = self.processes.iter().position(|found| found.name == name);
        let position = position.ok_or_else(|| ProcessError::NotRunning(name.to_owned()))?;
        let mut process = self.processes.remove(position);
        let result = self.spawn(&mut process);
        self.processes.push(process);
        result
    }

    /// Returns the process id of a running process.
    pub fn process_id(&mut self, name: &str) -> Result<u32, ProcessError> {
        let child = self.find(name)?.child.as_ref();
        let child = child.ok_or_else(|| ProcessError::NotRunning(name.to_owned()))?;
        Ok(child.id())
    }

    /// Returns whether a process is running; a paused process counts as running.
    pub fn is_running(&mut self, name: &str) -> bool {
        let found = self.find(name).ok();
        let child = found.and_then(|process| process.child.as_mut());
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until a process exits and returns its exit code.
    pub async fn wait_for_exit(
        &mut self,
        name: &str,
        timeout: Duration,
    ) -> Result<Option<i32>, ProcessError> {
        let description = format!("exit of {name}");
        let process = self.find(name)?;
        let Some(child) = process.child.as_mut() else {
            return Err(ProcessError::NotRunning(name.to_owned()));
        };
        let mut status = None;
        wait_until(&description, timeout, async || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        })
        .await?;
        process.child = None;
        Ok(status.and_then(|status| status.code()))
    }

    /// Waits until a URL responds with any status.
    pub async fn wait_for_url(&self, url: &str) -> Result<(), ProcessError> {
        let responds = async || self.http_client.get(url).await.is_ok();
        wait_until(
            &format!("a response from {url}"),
            CONDITION_TIMEOUT,
            responds,
        )
        .await
    }

    fn spawn(&self, process: &mut GroupProcess) -> Result<(), ProcessError> {
        let name = &process.name;
        let path = self.directory.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path);
        let log = log.map_err(ProcessError::system("failed to open the log"))?;
        let output = log
            .try_clone()
            .map_err(ProcessError::system("failed to open the log"))?;
        let _ports = lock_returned_ports();
        let child = Command::new(&process.program)
            .args(&process.args)
            .env(
                "RUST_LOG",
                std::env::var(LOG_FILTER_VARIABLE).unwrap_or("info".to_owned()),
            )
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .map_err(ProcessError::system(format!("failed to start {name}")))?;
        process.child = Some(child);
        Ok(())
    }

    fn find(&mut self, name: &str) -> Result<&mut GroupProcess, ProcessError> {
        let mut processes = self.processes.iter_mut();
        let found = processes.find(|process| process.name == name);
        found.ok_or_else(|| ProcessError::NotRunning(name.to_owned()))
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Result<(), ProcessError> {
        let child = self.find(name)?.child.as_mut();
        // A running child has not been reaped, so its id cannot belong to another process.
        let child = child.and_then(|child| matches!(child.try_wait(), Ok(None)).then_some(child));
        let pid = child.and_then(|child| Pid::from_raw(child.id().cast_signed()));
        let pid = pid.ok_or_else(|| ProcessError::NotRunning(name.to_owned()))?;
        kill_process(pid, signal)
            .map_err(|error| ProcessError::system(format!("failed to signal {name}"))(error.into()))
    }
}

/// Kills a process with SIGKILL, which also ends a paused process.
fn kill_child(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                kill_child(child);
            }
        }
        // The logs are kept after a failed test.
        if !std::thread::panicking() && !self.keeps_directory {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
