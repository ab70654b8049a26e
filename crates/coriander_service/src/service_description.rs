//! Metrics and state of the process as text, for operators.

use crate::service::SessionService;

impl SessionService {
    /// Returns all metrics in the text format of OpenMetrics.
    pub fn encode_metrics(&self) -> String {
        let config = self.config_view.config();
        let version = config.map_or(0, |config| config.version);
        let age = self.config_view.age(self.clock.now());
        self.metrics
            .set_gauges(self.lifecycle.session_count(), version, age);
        for group in self.groups() {
            self.metrics.record_pools(&group);
            if self.capacity.is_some() {
                let (limit, set_aside) = group.learned_capacity(self.clock.now());
                self.metrics.set_capacity(&group.name, limit, set_aside);
            }
        }
        self.metrics.encode()
    }

    /// Returns a description of the state of the process, one line for each part.
    pub fn describe(&self) -> String {
        let now = self.clock.now();
        let settings = self.settings();
        let version = self.config_view.config().map_or(0, |config| config.version);
        let mut lines = vec![
            format!(
                "process name={} id={} zone={} phase={:?} sessions={}",
                settings.name,
                settings.process_id,
                settings.zone,
                self.phase(),
                self.lifecycle.session_count()
            ),
            format!(
                "config version={version} age={:?}",
                self.config_view.age(now)
            ),
            format!("duty token={:?}", self.promotion_duty.token()),
            self.fleet.borrow().describe(),
        ];
        if let Some(usage) = &self.usage {
            let token = self.usage_duty.token();
            lines.push(format!(
                "usage token={token:?} window={} counted={}",
                usage.current_window(),
                usage.counted()
            ));
        }
        for group in self.groups() {
            lines.extend(group.describe(now));
        }
        lines.join("\n") + "\n"
    }
}
