//! Starts a small deployment on this machine and demonstrates it step by step.

use std::time::{Duration, Instant};

use argh::FromArgs;
use coriander_config::ChangeCommand;
use coriander_standin::DeploymentProfile;
use coriander_standin::process::{
    DeploymentRun, HttpClient, HttpReply, ProcessError, RunOptions, wait_until,
};
use eyre::{bail, ensure, eyre};
use ntex::http::Method;
use serde_json::{Value, json};

const ACCOUNT: &str = "account-1";
const DATABASE: &str = "records";
const KEY_ID: &str = "demo-key";
const KEY: &str = "demo-key-of-account-1";
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Starts a small deployment and demonstrates it.
#[derive(FromArgs)]
struct Arguments {
    /// keep the deployment running until it is interrupted
    #[argh(switch)]
    keep: bool,
}

/// A running deployment and a client of its instances.
struct Demo {
    run: DeploymentRun,
    client: HttpClient,
    started: Instant,
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    let started = Instant::now();
    let run = DeploymentRun::start(&DeploymentProfile::small(), &RunOptions::default()).await?;
    let client = HttpClient::create(CALL_TIMEOUT).await;
    let mut demo = Demo {
        run,
        client,
        started,
    };
    demo.report("platform, 3 members and 3 instances are ready");
    if arguments.keep {
        return demo.keep_running().await;
    }
    demo.write_and_read().await?;
    demo.replace_primary().await?;
    demo.withdraw_key().await?;
    demo.report("done; all processes are stopped");
    Ok(())
}

impl Demo {
    fn report(&self, text: &str) {
        println!("{:7.3} s  {text}", self.started.elapsed().as_secs_f64());
    }

    /// Writes through one instance and reads the write through another.
    async fn write_and_read(&self) -> eyre::Result<()> {
        self.give_key().await?;
        let create = "CREATE TABLE IF NOT EXISTS drums (id INTEGER PRIMARY KEY, status TEXT)";
        let is_created = async || {
            let reply = self.send(0, create, None).await;
            reply.is_ok_and(|reply| reply.status == 200)
        };
        wait_until("first write", STEP_TIMEOUT, is_created).await?;
        self.report("wrote a table through instance 1");
        let insert = "INSERT INTO drums (status) VALUES ('ordered')";
        let reply = self.send_ok(0, insert, None).await?;
        let session = reply.header("x-corianderstile-session").map(str::to_owned);
        let reply = self
            .send_ok(1, "SELECT status FROM drums", session.as_deref())
            .await?;
        ensure!(
            first_value(&reply)? == "ordered",
            "the write was not read back: {}",
            reply.text()
        );
        let server = reply.header("x-served-by").unwrap_or("unknown").to_owned();
        self.report(&format!(
            "wrote a row through instance 1 and read it through instance 2 from {server}"
        ));
        Ok(())
    }

    /// Kills the primary and writes through an instance.
    async fn replace_primary(&mut self) -> eyre::Result<()> {
        let primary = self.run.primary(DATABASE).await;
        let process = primary.map(|member| member.process_name.clone());
        let process = process.ok_or_else(|| eyre!("the database has no primary"))?;
        self.run.group.kill(&process)?;
        let killed = Instant::now();
        let update = "UPDATE drums SET status = 'collected'";
        self.send_ok(2, update, None).await?;
        let gap = killed.elapsed().as_millis();
        self.report(&format!(
            "killed the primary {process}; a write through instance 3 was acknowledged after {gap} ms"
        ));
        let reply = self.send_ok(0, "SELECT status FROM drums", None).await?;
        ensure!(
            first_value(&reply)? == "collected",
            "the write was lost: {}",
            reply.text()
        );
        self.report("read the write through instance 1");
        Ok(())
    }

    /// Withdraws the key and checks that every instance refuses it.
    async fn withdraw_key(&self) -> eyre::Result<()> {
        let key_id = KEY_ID.to_owned();
        let withdraw = ChangeCommand::WithdrawKey { key_id };
        let version = self.run.admin(1).change(&withdraw).await?;
        for instance in 0..self.run.instances.len() {
            let reply = self.send(instance, "SELECT 1", None).await?;
            ensure!(
                reply.status == 401,
                "instance {} still accepts the key: {}",
                instance + 1,
                reply.text()
            );
        }
        self.report(&format!(
            "withdrew the key; accepted at version {version}, and all instances refuse it"
        ));
        Ok(())
    }

    /// Prints the addresses and a key, and waits for an interrupt.
    async fn keep_running(&self) -> eyre::Result<()> {
        self.give_key().await?;
        for spec in &self.run.instances {
            println!(
                "{}: callers {} admin {}",
                spec.name, spec.callers, spec.admin
            );
        }
        println!("database {DATABASE}, account {ACCOUNT}, key {KEY}");
        println!("stop with Ctrl-C");
        tokio::signal::ctrl_c().await?;
        Ok(())
    }

    async fn give_key(&self) -> Result<(), ProcessError> {
        let give = ChangeCommand::GiveKey {
            account: ACCOUNT.parse()?,
            key_id: KEY_ID.to_owned(),
            digest: coriander_config::digest_key(KEY),
        };
        self.run.admin(0).change(&give).await?;
        Ok(())
    }

    async fn send_ok(
        &self,
        instance: usize,
        sql: &str,
        session: Option<&str>,
    ) -> eyre::Result<HttpReply> {
        let reply = self.send(instance, sql, session).await?;
        if reply.status != 200 {
            bail!("{sql}: status {}: {}", reply.status, reply.text());
        }
        Ok(reply)
    }

    async fn send(
        &self,
        instance: usize,
        sql: &str,
        session: Option<&str>,
    ) -> Result<HttpReply, ProcessError> {
        let url = format!(
            "http://{}/{DATABASE}/v3/pipeline",
            self.run.instances[instance].callers
        );
        let authorization = format!("Bearer {KEY}");
        let mut headers = vec![
            ("content-type", "application/json"),
            ("authorization", authorization.as_str()),
        ];
        headers.extend(session.map(|token| ("x-corianderstile-session", token)));
        let body = json!({
            "baton": null,
            "requests": [{ "type": "execute", "stmt": { "sql": sql } }, { "type": "close" }],
        });
        let body = body.to_string().into_bytes();
        self.client.send(Method::POST, &url, &headers, body).await
    }
}

/// Returns the text in the first column of the first row.
fn first_value(reply: &HttpReply) -> eyre::Result<String> {
    let body: Value = reply.json()?;
    let value = &body["results"][0]["response"]["result"]["rows"][0][0]["value"];
    let text = value.as_str().map(str::to_owned);
    text.ok_or_else(|| eyre!("no row in {}", reply.text()))
}
