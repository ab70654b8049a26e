//! Settings that change while the process runs.

mod support;

use std::time::Duration;

use coriander_service::ServiceSettings;
use coriander_usage::UsagePolicy;
use support::{FakeGroup, start_with};

/// Guards against a process that runs with a part of a feature: what the feature needs is created
/// at the start only.
#[ntex::test]
async fn apply_settings_keeps_what_the_start_has_created() {
    let group = FakeGroup::new(&["a"]);
    let at_start = ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into());
    let service = start_with(&group, at_start.clone()).await;
    let mut changed = at_start
        .clone()
        .with_shutdown_timeout(Duration::from_millis(6_500))
        .with_usage(UsagePolicy::default().with_window(Duration::from_secs(1)));
    changed.features.ordered_waiting = true;
    changed.features.usage_reports = true;
    service.apply_settings(&changed);
    let applied = service.settings();
    assert_eq!(applied.shutdown_timeout, Duration::from_millis(6_500));
    assert_eq!(applied.features, at_start.features);
    assert_eq!(applied.usage, at_start.usage);
}
