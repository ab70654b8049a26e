//! Settings of an instance that serves sessions: usage reports, and the identifier of the process.

use std::path::Path;
use std::time::Duration;

use corianderstile::SessionSettings;

const SETTINGS: &str = "[instance]\nname = instance-1\nzone = berrechid\n\
    [listen]\nsessions = 10.1.0.26:8465\nreadiness = 10.1.0.26:8460\n\
    metrics = 10.1.0.26:7575\npeers = 10.1.0.26:7560\n\
    [store]\naddress = 10.200.1.7:8466\n[promotion]\naddress = 10.200.0.2:8466\n";

fn parse(text: &str) -> SessionSettings {
    let settings = SessionSettings::parse(Path::new("settings.ini"), text);
    settings.unwrap_or_else(|error| panic!("settings refused: {error}"))
}

/// Guards against a name that the check accepts and with which no process starts.
#[test]
fn process_id_shortens_a_long_name() {
    for length in [1, 55, 56, 64] {
        let name = "n".repeat(length);
        let settings = parse(&SETTINGS.replace("instance-1", &name));
        let id = settings.process_id(0x1_0000_00ab).expect("an identifier");
        let shortened = "n".repeat(length.min(55));
        assert_eq!(id.as_str(), format!("{shortened}-000000ab"));
    }
}

#[test]
fn usage_is_not_reported_without_the_duty() {
    // Guards deployments whose platform expects no reports, also with an empty section.
    let text = format!("{SETTINGS}[features]\nduties = promote\n\n[usage]\n");
    assert!(!parse(&text).service.features.usage_reports);
}

#[test]
fn usage_address_is_that_of_promotions_unless_set() {
    // A platform usually takes both calls at one address, and the deploy template names one.
    let settings = parse(&format!("{SETTINGS}[features]\nduties = usage,promote\n"));
    assert!(settings.service.features.usage_reports);
    assert_eq!(settings.usage_address, settings.promotion_address);
    let settings = parse(&format!("{SETTINGS}[usage]\naddress = 10.200.0.9:80\n"));
    assert_eq!(
        settings.usage_address.map(|address| address.port()),
        Some(80)
    );
}

#[test]
fn usage_windows_follow_the_settings() {
    // Windows of another length than the platform's are all reported wrong.
    let text = format!("{SETTINGS}[usage]\nwindow_ms = 2000\nreport_delay_ms = 6000\n");
    let policy = parse(&text).service.usage;
    assert_eq!(policy.end_of(4), Duration::from_secs(10));
    assert_eq!(policy.due_at(4), Duration::from_secs(16));
}

#[test]
fn report_delay_shorter_than_the_way_of_the_counts_waits_for_them() {
    // A report that leaves before the sums of the zones arrive says zero, and is final; an instance
    // that refused the setting would not start on such a platform.
    let arrival = Duration::from_millis(1_400) + Duration::from_secs(1);
    for delay in [100, 3_500, 5_999, 10_000] {
        let text = format!("{SETTINGS}[usage]\nreport_delay_ms = {delay}\n");
        let policy = parse(&text).service.usage;
        assert!(
            policy.earliest_report(4) > policy.end_of(4) + arrival,
            "{delay}"
        );
        assert!(
            policy.latest_report(4) >= policy.earliest_report(4),
            "{delay}"
        );
        assert_eq!(
            policy.due_at(4),
            policy.end_of(4) + Duration::from_millis(delay)
        );
    }
}

/// Guards against reports that are late by the settings alone, and connections that do not fit.
#[test]
fn conflicts_names_limits_of_sessions() {
    let conflicts = |sections: &str| {
        let settings = parse(&format!("{SETTINGS}{sections}"));
        let texts: Vec<_> = settings
            .conflicts()
            .iter()
            .map(ToString::to_string)
            .collect();
        texts.join("\n")
    };
    let late = "[usage]\nreport_delay_ms = 1000\n";
    assert_eq!(conflicts(late), "", "without the duty nothing is reported");
    insta::assert_snapshot!(
        conflicts(&format!("{late}[features]\nduties = usage\n[machine]\ndescriptors = 100000\n")),
        @r"
    [machine] descriptors and [machine] memory_mb: as many connections hold 767 MiB, and 256 MiB are for them
    [usage] report_delay_ms and [features] duties: the counts of a window arrive after its report is due
    "
    );
}
