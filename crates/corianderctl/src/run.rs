//! Execution of one command.

use std::io::Write;

use coriander_config::{ChangeRequest, ChangeResult};
use coriander_core::ConfigVersion;

use crate::arguments::Command;
use crate::change_builder::{PreparedChange, new_change_id, prepare_change};
use crate::check_file::check_file;
use crate::render::{render_config, render_explanation, render_key, render_result};
use crate::{AdminClient, AdminError, Arguments, ExitCode};

/// Runs a command, writes its result to `output`, and returns the exit code.
pub async fn run(arguments: &Arguments, output: &mut dyn Write) -> eyre::Result<ExitCode> {
    if let Command::CheckConfig(check) = &arguments.command {
        let result = check_file(check);
        let (text, code) =
            result.unwrap_or_else(|error| (error.to_string(), ExitCode::from(&error)));
        writeln!(output, "{}", text.trim_end())?;
        return Ok(code);
    }
    if arguments.admin.is_empty() {
        writeln!(output, "at least one --admin address is needed")?;
        return Ok(ExitCode::Usage);
    }
    let prepared = prepare_change(&arguments.command);
    let creates_key = prepared
        .as_ref()
        .is_some_and(|prepared| prepared.new_key.is_some());
    if creates_key && arguments.change_id.is_some() {
        // A repeated command would print another key than the one whose digest the first attempt
        // submitted.
        writeln!(output, "a key cannot be given with --change-id")?;
        return Ok(ExitCode::Usage);
    }
    let client = AdminClient::new(arguments.admin.clone()).await;
    let result = match (&arguments.command, prepared) {
        (_, Some(prepared)) => submit_change(arguments, &client, prepared).await,
        (Command::Explain(explain), None) => {
            let explanation = client.explain(&explain.id).await;
            explanation.map(|found| (render_explanation(&found), ExitCode::Accepted))
        }
        (Command::Show(show), None) if show.json => {
            let view = client.read_config().await;
            let text = view.map(|view| serde_json::to_string_pretty(&view));
            text.map(|text| (text.unwrap_or_default(), ExitCode::Accepted))
        }
        (_, None) => {
            let view = client.read_config().await;
            view.map(|view| (render_config(&view), ExitCode::Accepted))
        }
    };
    let (text, code) = result.unwrap_or_else(|error| (error.to_string(), ExitCode::from(&error)));
    writeln!(output, "{}", text.trim_end())?;
    Ok(code)
}

async fn submit_change(
    arguments: &Arguments,
    client: &AdminClient,
    prepared: PreparedChange,
) -> Result<(String, ExitCode), AdminError> {
    let expected = match arguments.expect {
        Some(version) => ConfigVersion::new(version),
        None => client.read_config().await?.document.version,
    };
    let user_name = || std::env::var("USER").unwrap_or_else(|_| "operator".into());
    let request = ChangeRequest {
        change_id: arguments.change_id.clone().unwrap_or_else(new_change_id),
        author: arguments.author.clone().unwrap_or_else(user_name),
        expected,
        change: prepared.change,
    };
    let result = client.submit(&request).await?;
    let mut text = render_result(&result, &request);
    let may_be_applied = matches!(
        result,
        ChangeResult::Accepted { .. }
            | ChangeResult::Unconfirmed { .. }
            | ChangeResult::Undetermined
    );
    if let Some(key) = prepared.new_key.filter(|_| may_be_applied) {
        text = format!("{text}\n{}", render_key(&key));
    }
    Ok((text, ExitCode::from(&result)))
}
