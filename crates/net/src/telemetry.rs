//! Logging by `logforth` and metrics by the `metrics` crate.

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

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Capacity of the queue of log lines; lines that do not fit are dropped and counted.
const QUEUE_LINES_MAX: usize = 4096;
/// Interval between writes of all queued lines; batching limits the writes of a busy process.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Initializes logging to standard output; further calls have no effect.
///
/// A dedicated thread writes the lines from a bounded queue, so that a blocked reader of standard
/// output does not block the process.
pub fn init_logs(format: LogFormat) {
    let (tx, rx) = std::sync::mpsc::sync_channel(QUEUE_LINES_MAX);
    let layout: Box<dyn Layout> = match format {
        LogFormat::Text => Box::new(TextLayout::default().no_color()),
        LogFormat::Json => Box::new(JsonLayout::default()),
    };
    let queue = LogQueue { layout, tx, dropped: AtomicU64::new(0) };
    let started = logforth::starter_log::builder().dispatch(|d| d.append(queue)).try_apply();
    if started.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
        let spawned =
            thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&rx));
        assert!(spawned.is_ok(), "failed to spawn the log thread");
    }
}

/// Formats log lines and queues them for the writer thread.
#[derive(Debug)]
struct LogQueue {
    layout: Box<dyn Layout>,
    tx: SyncSender<QueueItem>,
    dropped: AtomicU64,
}

/// An item of the log queue.
#[derive(Debug)]
enum QueueItem {
    /// A formatted line without the line feed.
    Text(Vec<u8>),
    /// A request to be notified once all lines before it are written.
    Flush(SyncSender<()>),
}

impl Append for LogQueue {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        if self.tx.try_send(QueueItem::Text(line)).is_err() {
            let dropped = self.dropped.fetch_add(1, Ordering::Relaxed) + 1;
            metrics::gauge!("crocustally_log_lines_dropped").set(dropped as f64);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (tx, rx) = std::sync::mpsc::sync_channel(1);
        if self.tx.try_send(QueueItem::Flush(tx)).is_ok() {
            // A blocked reader of standard output must not prevent the process from exiting.
            let _ = rx.recv_timeout(4 * WRITE_INTERVAL);
        }
        Ok(())
    }
}

fn write_lines(rx: &Receiver<QueueItem>) {
    let mut buf = Vec::new();
    while let Ok(first) = rx.recv() {
        let mut flushes = Vec::new();
        if matches!(first, QueueItem::Text(_)) {
            thread::sleep(WRITE_INTERVAL);
        }
        for item in std::iter::once(first).chain(rx.try_iter()) {
            match item {
                QueueItem::Text(text) => {
                    buf.extend_from_slice(&text);
                    buf.push(b'\n');
                }
                QueueItem::Flush(tx) => flushes.push(tx),
            }
        }
        // An error on standard output cannot be reported anywhere.
        let _ = std::io::stdout().write_all(&buf);
        buf.clear();
        for tx in flushes {
            let _ = tx.try_send(());
        }
    }
}

/// Returns the handle that renders the metrics of the process; the first call installs the
/// recorder.
pub fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is installed; /metrics will be empty");
        }
        handle
    };
    HANDLE.get_or_init(install).clone()
}
