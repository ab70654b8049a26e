//! Checks of a settings file and the messages for invalid settings.

use std::path::Path;

use corianderstile::{InstanceSettings, ProcessSettings, SettingProblem, SettingsError};

const VALID: &str = "
[instance]
name = entry-1
zone = elefsina
[listen]
callers = 127.0.0.1:8080
admin = 127.0.0.1:8081
peers = 127.0.0.1:8082
[fleet]
zones = piraeus, elefsina
secret = a secret of the whole fleet
[platform]
addresses = 127.0.0.1:8500
";

fn parse(text: &str) -> Result<InstanceSettings, SettingsError> {
    InstanceSettings::parse(Path::new("entry.ini"), text)
}

fn problems(text: &str) -> Vec<(String, SettingProblem)> {
    match parse(text) {
        Err(SettingsError::Invalid(settings)) => settings
            .into_iter()
            .map(|setting| {
                (
                    format!("{}.{}", setting.section, setting.key),
                    setting.problem,
                )
            })
            .collect(),
        other => panic!("expected invalid settings, got {other:?}"),
    }
}

/// Guards against defaults that differ from the operations page.
#[test]
fn parse_fills_defaults() {
    let settings = parse(VALID).expect("valid settings");
    assert_eq!(settings.bounds.max_statements, 256);
    assert_eq!(settings.bounds.connections_per_database, 20);
    assert_eq!(settings.bounds.slots_per_member, 3);
    assert_eq!(settings.bounds.shutdown_timeout.as_secs(), 30);
}

/// Guards against a check that stops at the first invalid setting, so that operators have to fix
/// them one by one.
#[test]
fn parse_reports_all_invalid_settings() {
    let text = VALID
        .replace("callers = 127.0.0.1:8080", "callers = localhost")
        .replace("zone = elefsina", "zone = athens")
        .replace(
            "[platform]",
            "[bounds]\nstatements = many\nbody = 5\n[extra]\nkey = 1\n[platform]",
        );
    let found = problems(&text);
    let expected = [
        ("bounds.body", SettingProblem::UnknownKey),
        ("extra.", SettingProblem::UnknownSection),
        ("listen.callers", SettingProblem::Invalid),
        ("bounds.statements", SettingProblem::Invalid),
        ("instance.zone", SettingProblem::UnknownZone),
    ];
    let expected = expected.map(|(name, problem)| (name.to_owned(), problem));
    assert_eq!(found, expected);
}

/// Guards against messages without file, section, key, value or allowed values.
#[test]
fn display_names_setting_and_allowed_values() {
    let text = VALID.replace("addresses = 127.0.0.1:8500", "addresses =");
    let error = parse(&text).expect_err("missing value").to_string();
    insta::assert_snapshot!(error, @"entry.ini: [platform] addresses: missing value; allowed: IP addresses with port separated by commas");
    let text = VALID.replace("callers = 127.0.0.1:8080", "callers = localhost");
    let error = parse(&text).expect_err("invalid value").to_string();
    insta::assert_snapshot!(error, @"entry.ini: [listen] callers = localhost: invalid value; allowed: an IP address and port such as 10.0.0.1:8080");
}

/// Guards against a duplicate key that silently overrides the first value.
#[test]
fn parse_rejects_duplicate_keys() {
    let text = VALID.replace("name = entry-1", "name = entry-1\nname = entry-2");
    let expected = ("instance.name".to_owned(), SettingProblem::DuplicateKey);
    assert_eq!(problems(&text), [expected]);
}

/// Guards against a secret in an error message or a log line.
#[test]
fn display_and_debug_hide_secret() {
    let text = VALID.replace("a secret of the whole fleet", "hunter2");
    let error = parse(&text).expect_err("too short").to_string();
    assert!(!error.contains("hunter2"), "{error}");
    let settings = parse(VALID).expect("valid settings");
    assert!(!format!("{settings:?}").contains("a secret of the whole fleet"));
}

/// Guards against a name that passes the check but is too long with the suffix of the process.
#[test]
fn parse_rejects_long_name() {
    let text = VALID.replace("entry-1", &"n".repeat(56));
    let expected = ("instance.name".to_owned(), SettingProblem::Invalid);
    assert_eq!(problems(&text), [expected]);
}

#[test]
fn parse_reads_machine() {
    // Guards against limits of callers that ignore the machine of the process.
    let default = parse(VALID).expect("valid settings").machine;
    assert_eq!((default.memory_mb, default.descriptors), (512, 4_096));
    let text = format!("{VALID}\n[machine]\nmemory_mb = 112\ndescriptors = 1024\n");
    let machine = parse(&text).expect("valid settings").machine;
    assert_eq!((machine.memory_mb, machine.descriptors), (112, 1_024));
    let text = format!("{VALID}\n[machine]\nmemory_mb = much\n");
    let rejected = vec![("machine.memory_mb".to_owned(), SettingProblem::Invalid)];
    assert_eq!(problems(&text), rejected);
}

fn notes(sections: &str) -> String {
    let settings = parse(&format!("{VALID}\n{sections}")).expect("valid settings");
    let notes = ProcessSettings::Hrana(Box::new(settings)).notes();
    let texts: Vec<_> = notes.iter().map(ToString::to_string).collect();
    texts.join("\n")
}

/// Guards against a number that keeps a process from starting, and against one that is replaced
/// without a word.
#[test]
fn notes_name_numbers_that_are_not_used_as_written() {
    insta::assert_snapshot!(notes("[bounds]\nstatements = 0\nshutdown_ms = 45000\n"), @r"
    [bounds] statements = 0: 1 is used; allowed: a number, used from 1 to 10000
    [bounds] shutdown_ms = 45000: 30000 is used; allowed: a number of milliseconds, used from 0 to 30000
    ");
    insta::assert_snapshot!(notes("[bounds]\nidle_transaction_s = 0.05\nslots_per_member = 2.5\n"), @r"
    [bounds] idle_transaction_s = 0.05: 0.1 is used; allowed: a number of seconds, used from 0.1 to 600
    [bounds] slots_per_member = 2.5: 2 is used; allowed: a number, used from 1 to 1000
    ");
    insta::assert_snapshot!(notes("[bounds]\nshutdown_s = false\n"), @"[bounds] shutdown_s = false: 30 is used; allowed: a number of seconds, used from 0 to 30");
    insta::assert_snapshot!(notes("[machine]\nmemory_mb = 8\ndescriptors = 300\n"), @r"
    [machine] memory_mb and the program: the program itself needs 48 MiB
    [machine] descriptors and the program: with less than 360 few callers are served
    [bounds] body_bytes and [machine] memory_mb: one body holds 6291456 bytes, and 1048576 are for all of them
    ");
    assert_eq!(
        notes("[bounds]\nshutdown_s = 6.5000\nstatements = 8.0\n"),
        ""
    );
}

/// Guards against a fraction of a second that is read as a fraction of a millisecond, and against
/// two units of which one is silently left out.
#[test]
fn parse_reads_times_in_the_unit_of_their_key() {
    let shutdown = |bounds: &str| {
        let settings = parse(&format!("{VALID}\n[bounds]\n{bounds}\n")).expect("valid settings");
        settings.bounds.shutdown_timeout.as_micros()
    };
    assert_eq!(shutdown("shutdown_s = 6.5000"), 6_500_000);
    assert_eq!(shutdown("shutdown_ms = 6.5000"), 6_500);
    assert_eq!(shutdown("shutdown_s = 0.75"), 750_000);
    let both = format!("{VALID}\n[bounds]\nshutdown_s = 6\nshutdown_ms = 6000\n");
    let expected = ("bounds.shutdown_s".to_owned(), SettingProblem::DuplicateKey);
    assert_eq!(problems(&both), [expected]);
}

/// Guards against limits that are valid each and together cannot hold or have no effect.
#[test]
fn conflicts_names_limits_that_contradict_each_other() {
    let conflicts = |sections: &str| {
        let settings = parse(&format!("{VALID}\n{sections}")).expect("valid settings");
        let texts: Vec<_> = settings
            .conflicts()
            .iter()
            .map(ToString::to_string)
            .collect();
        texts.join("\n")
    };
    assert_eq!(conflicts(""), "");
    insta::assert_snapshot!(
        conflicts("[bounds]\nbody_bytes = 3145728\n[machine]\nmemory_mb = 64\n"),
        @r"
    [machine] descriptors and [machine] memory_mb: as many connections hold 173 MiB, and 32 MiB are for them
    [bounds] body_bytes and [machine] memory_mb: one body holds 18874368 bytes, and 8388608 are for all of them
    "
    );
    insta::assert_snapshot!(
        conflicts("[bounds]\nupstream_timeout_ms = 20000\nslots_per_member = 30\n"),
        @r"
    [bounds] upstream_timeout_ms and the time limit of a request: a request ends after 10s, before the wait for a member
    [bounds] slots_per_member and [bounds] connections_per_database: 30 statements at a time need more than 20 connections
    "
    );
}
