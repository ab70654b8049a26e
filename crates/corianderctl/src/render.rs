//! Text output of commands.

use std::fmt::Write as _;

use coriander_config::{
    ChangeCommand, ChangeRequest, ChangeResult, ConfigView, Explanation, RefusalReason,
};
use coriander_core::{WriteCertainty, ZoneState};

use crate::change_builder::NewKey;

/// Maximum number of unconfirmed instances that are listed by name.
const MAX_NAMED_INSTANCES: usize = 10;

/// Returns the text for the result of a change.
pub fn render_result(result: &ChangeResult, request: &ChangeRequest) -> String {
    match result {
        ChangeResult::Accepted { version } => format!("accepted at version {version}"),
        ChangeResult::Unconfirmed { version, missing } => {
            let named = missing.iter().take(MAX_NAMED_INSTANCES);
            let mut names: Vec<_> = named.map(ToString::to_string).collect();
            if missing.len() > MAX_NAMED_INSTANCES {
                names.push(format!("{} others", missing.len() - MAX_NAMED_INSTANCES));
            }
            let names = names.join(", ");
            format!("recorded at version {version}, not yet confirmed by {names}")
        }
        ChangeResult::Conflict {
            version,
            winner,
            winner_version,
        } => format!(
            "conflict: {winner} changed the configuration at version {winner_version}; the \
             current version is {version}; nothing was changed"
        ),
        ChangeResult::Refused { reason } => {
            format!("refused: {}; nothing was changed", render_reason(reason))
        }
        ChangeResult::NotRecorded => "the platform is unreachable; nothing was changed".into(),
        ChangeResult::Undetermined if matches!(request.change, ChangeCommand::GiveKey { .. }) => {
            "undetermined: the key may have been given; it is valid if show lists its key id".into()
        }
        ChangeResult::Undetermined => format!(
            "undetermined: the change may have been made; repeat the command with --change-id {} \
             --expect {}",
            request.change_id, request.expected
        ),
    }
}

/// Returns the text for a new key, the only output that contains the key.
pub fn render_key(key: &NewKey) -> String {
    format!("key id: {}\nkey: {}", key.key_id, key.key)
}

/// Returns the text for the applied configuration of an instance.
pub fn render_config(view: &ConfigView) -> String {
    let document = &view.document;
    let state = match view.age {
        Some(age) => format!("confirmed {} ms ago", age.as_millis()),
        None => "not confirmed, does not serve".into(),
    };
    let mut text = format!(
        "version {} by {} (instance {}, {state})\n",
        document.version, document.author, view.instance
    );
    for (name, target) in &document.classes {
        let certainty = match target.certainty {
            WriteCertainty::Majority => "majority",
            WriteCertainty::All => "all",
        };
        let (freshness, latency) = (target.freshness.as_millis(), target.latency.as_millis());
        let _ = writeln!(
            text,
            "class {name}: freshness {freshness} ms, latency {latency} ms, certainty {certainty}"
        );
    }
    for (name, limits) in &document.accounts {
        let _ = writeln!(
            text,
            "account {name}: rate {}/s, burst {}",
            limits.rate, limits.burst
        );
    }
    let mut keys: Vec<_> = document.keys.values().collect();
    keys.sort_by_key(|key| (&key.account, &key.key_id));
    for key in keys {
        let _ = writeln!(text, "key {}: account {}", key.key_id, key.account);
    }
    for (name, state) in &document.zones {
        let state = if *state == ZoneState::Out {
            "out"
        } else {
            "in"
        };
        let _ = writeln!(text, "zone {name}: {state}");
    }
    for name in &document.databases {
        let _ = writeln!(text, "database {name}");
    }
    for (id, member) in &document.fleet {
        let draining = if member.draining { ", draining" } else { "" };
        let _ = writeln!(text, "instance {id}: zone {}{draining}", member.zone);
    }
    text
}

/// Returns the text for an explanation.
pub fn render_explanation(explanation: &Explanation) -> String {
    let mut text = format!("{} (instance {})\n", explanation.id, explanation.instance);
    for step in &explanation.steps {
        let after_ms = step.after.as_micros() as f64 / 1_000.0;
        let _ = writeln!(text, "{after_ms:10.3} ms  {}: {}", step.part, step.text);
    }
    text
}

fn render_reason(reason: &RefusalReason) -> String {
    match reason {
        RefusalReason::Command(error) => error.to_string(),
        RefusalReason::Section(error) => error.clone(),
        RefusalReason::FleetUnsettled => "too many fleet changes are not confirmed yet".into(),
        RefusalReason::PlatformBehind => {
            "the platform has an older version than the fleet, so it has lost data".into()
        }
        RefusalReason::VersionUnknown => "the expected version does not exist yet".into(),
        RefusalReason::BadRequest => "the author or the change id is empty or too long".into(),
    }
}
