//! Logs by `logforth` and counters by `metrics`.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::record::Record;
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

/// Lines that may wait for standard output; beyond them lines are dropped and counted.
const LINES_WAITING: usize = 4096;
/// Pause between two writes of all lines that wait, so that a busy process writes seldom.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Starts logging to standard output; a second call changes nothing.
///
/// Lines pass through a bounded queue to a thread of their own, so that a reader who stops reading
/// blocks nothing.
pub fn init_logs(format: LogFormat) {
    let (tx, rx) = std::sync::mpsc::sync_channel(LINES_WAITING);
    let layout: Box<dyn Layout> = match format {
        LogFormat::Text => Box::new(TextLayout::default().no_color()),
        LogFormat::Json => Box::new(JsonLayout::default()),
    };
    let queue = Queue { layout, tx, dropped: AtomicU64::new(0) };
    let started = logforth::starter_log::builder().dispatch(|d| d.append(queue)).try_apply();
    if started.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
        let spawned =
            thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&rx));
        assert!(spawned.is_ok(), "the machine gives no more threads");
    }
}

/// Lines on their way to standard output.
#[derive(Debug)]
struct Queue {
    layout: Box<dyn Layout>,
    tx: SyncSender<Line>,
    dropped: AtomicU64,
}

/// A line, or the request to say when all before it are written.
#[derive(Debug)]
enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

impl Append for Queue {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        if self.tx.try_send(Line::Text(line)).is_err() {
            let dropped = self.dropped.fetch_add(1, Ordering::Relaxed) + 1;
            metrics::gauge!("crocustally_log_lines_dropped").set(dropped as f64);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (tx, rx) = std::sync::mpsc::sync_channel(1);
        if self.tx.try_send(Line::Flush(tx)).is_ok() {
            // A reader that has stopped reading must not keep the process from ending.
            let _ = rx.recv_timeout(4 * WRITE_PERIOD);
        }
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Line>) {
    let mut buf = Vec::new();
    while let Ok(first) = rx.recv() {
        let mut waiting = Vec::new();
        if matches!(first, Line::Text(_)) {
            thread::sleep(WRITE_PERIOD);
        }
        for line in std::iter::once(first).chain(rx.try_iter()) {
            match line {
                Line::Text(text) => {
                    buf.extend_from_slice(&text);
                    buf.push(b'\n');
                }
                Line::Flush(tx) => waiting.push(tx),
            }
        }
        // With standard output gone there is nowhere left to say so.
        let _ = std::io::stdout().write_all(&buf);
        buf.clear();
        for tx in waiting {
            let _ = tx.try_send(());
        }
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
