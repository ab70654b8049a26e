//! Starts a whole deployment, runs its load and injects a fault during the run.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use coriander_config::ChangeCommand;
use coriander_standin::DeploymentProfile;
use coriander_standin::load::{DriverSettings, run_driver};
use coriander_standin::process::{DeploymentRun, ProcessError, RunOptions};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Starts a deployment of stand-ins and instances and runs its load.
#[derive(FromArgs)]
struct RunSettings {
    /// deployment: bennani or karamanlis
    #[argh(option)]
    deployment: DeploymentProfile,
    /// length of the load in seconds (default 30)
    #[argh(option, default = "30")]
    seconds: u32,
    /// offered load as a percentage of the accounts' rates (default 70)
    #[argh(option, default = "70")]
    load_percent: u32,
    /// account that offers five times its rate
    #[argh(option)]
    greedy: Option<String>,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// fault: kill-primary, pause-primary, kill-gateway, platform-down or zone-out
    #[argh(option)]
    fault: Option<FaultKind>,
    /// start of the fault in seconds after the start of the load (default 10)
    #[argh(option, default = "10")]
    fault_at: u32,
    /// duration of the fault in seconds (default 8)
    #[argh(option, default = "8")]
    fault_length: u32,
    /// service time of each statement in microseconds (default 2000)
    #[argh(option, default = "2000")]
    statement_time_us: u64,
    /// replication lag in milliseconds (default 20)
    #[argh(option, default = "20")]
    lag_ms: u64,
    /// keep logs and settings of all processes after the run
    #[argh(switch)]
    keep_logs: bool,
    /// file for the JSON report
    #[argh(option)]
    json: Option<PathBuf>,
    /// file for the SVG plot
    #[argh(option)]
    svg: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq)]
enum FaultKind {
    KillPrimary,
    PausePrimary,
    KillGateway,
    PlatformDown,
    ZoneOut,
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "kill-primary" => Self::KillPrimary,
            "pause-primary" => Self::PausePrimary,
            "kill-gateway" => Self::KillGateway,
            "platform-down" => Self::PlatformDown,
            "zone-out" => Self::ZoneOut,
            _ => return Err(format!("unknown fault {text}")),
        })
    }
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let settings: RunSettings = argh::from_env();
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    // Dropping the future of `run` kills its processes, which would otherwise outlive this one.
    tokio::select! {
        result = run(settings) => result,
        _ = terminated.recv() => Err(eyre::eyre!("terminated")),
        _ = interrupted.recv() => Err(eyre::eyre!("interrupted")),
    }
}

async fn run(settings: RunSettings) -> eyre::Result<()> {
    let options = RunOptions {
        statement_time_us: settings.statement_time_us,
        lag_ms: settings.lag_ms,
        ..RunOptions::default()
    };
    let start = Instant::now();
    let mut run = DeploymentRun::start(&settings.deployment, &options).await?;
    println!(
        "{} ready after {:.1} s",
        settings.deployment.name,
        start.elapsed().as_secs_f64()
    );
    if settings.keep_logs {
        run.group.keep_directory();
    }
    println!("logs are in {}", run.group.directory().display());
    let driver = DriverSettings {
        deployment: settings.deployment.clone(),
        instance: run.caller_addresses(),
        seconds: settings.seconds,
        load_percent: settings.load_percent,
        greedy: settings.greedy.clone(),
        seed: settings.seed,
        transaction_percent: 5,
        request_limit_ms: 10_000,
        attempt_limit_ms: 3_000,
        key: Vec::new(),
        json: settings.json.clone(),
        svg: settings.svg.clone(),
    };
    let load = ntex::rt::spawn(run_driver(driver));
    if let Some(fault) = settings.fault {
        sleep(Duration::from_secs(u64::from(settings.fault_at))).await;
        inject_fault(&mut run, &settings, fault).await?;
    }
    let report = load
        .await
        .map_err(|error| eyre::eyre!("the load task failed: {error:?}"))??;
    println!("{report}");
    Ok(())
}

async fn inject_fault(
    run: &mut DeploymentRun,
    settings: &RunSettings,
    fault: FaultKind,
) -> Result<(), ProcessError> {
    let length = Duration::from_secs(u64::from(settings.fault_length));
    let database = settings.deployment.databases[0];
    match fault {
        FaultKind::KillPrimary | FaultKind::PausePrimary => {
            let primary = run
                .primary(database)
                .await
                .map(|member| member.process_name.clone());
            let Some(primary) = primary else {
                return Err(ProcessError::NotRunning(format!("primary of {database}")));
            };
            println!("fault: primary {primary}");
            if fault == FaultKind::KillPrimary {
                run.group.kill(&primary)?;
                sleep(length).await;
                run.group.restart(&primary)
            } else {
                run.group.pause(&primary)?;
                sleep(length).await;
                run.group.resume(&primary)
            }
        }
        FaultKind::KillGateway => {
            let name = find_gateway(run, database).await?;
            println!("fault: gateway {name}");
            run.group.kill(&name)?;
            sleep(length).await;
            run.group.restart(&name)
        }
        FaultKind::PlatformDown => {
            set_platform_down(run, true).await?;
            sleep(length).await;
            set_platform_down(run, false).await
        }
        FaultKind::ZoneOut => {
            let zone: coriander_core::ZoneName = settings.deployment.zones[0].parse()?;
            println!("fault: zone {zone} out of service");
            run.admin(1)
                .change(&ChangeCommand::ZoneOut { zone: zone.clone() })
                .await?;
            sleep(length).await;
            run.admin(1).change(&ChangeCommand::ZoneIn { zone }).await?;
            Ok(())
        }
    }
}

async fn set_platform_down(run: &DeploymentRun, down: bool) -> Result<(), ProcessError> {
    println!("fault: platform down={down}");
    let url = format!("http://{}/debug/faults", run.platform);
    let body = serde_json::json!({ "down": down }).to_string();
    run.group.http_client().post(&url, body).await?;
    Ok(())
}

/// Returns the name of the instance whose state dump shows it as the first gateway of a database.
async fn find_gateway(run: &DeploymentRun, database: &str) -> Result<String, ProcessError> {
    for (index, spec) in run.instances.iter().enumerate() {
        let dump = run.admin(index).dump().await?;
        let gateways = dump["gateways"].as_array().cloned().unwrap_or_default();
        let is_first =
            |gateway: &serde_json::Value| gateway["database"] == database && gateway["rank"] == 0;
        if gateways.iter().any(is_first) {
            return Ok(spec.name.clone());
        }
    }
    Err(ProcessError::NotRunning(format!("gateway of {database}")))
}
