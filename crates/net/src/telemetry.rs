//! Logs by `logforth` and counters by `metrics`.

use std::sync::OnceLock;

use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Deserialize;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging to standard error; a second call changes nothing.
pub fn init_logs(format: LogFormat) {
    let stderr = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder().dispatch(|d| d.append(stderr)).try_apply();
    if started.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

/// The process's counters, recorded from the first call on.
pub fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let start = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is installed; /metrics will be empty");
        }
        handle
    };
    HANDLE.get_or_init(start).clone()
}
