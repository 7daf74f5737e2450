use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Maximum number of lines queued for a slow reader of standard output, about 0.25 MB.
const QUEUE_CAPACITY_LINES: usize = 1_024;

/// Maximum time to wait for the last lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Logger that never blocks the caller.
///
/// Lines are placed in a bounded queue. When the queue is full, lines are dropped and counted.
#[derive(Debug)]
struct BoundedLog {
    lines: SyncSender<String>,
    dropped: AtomicU64,
    pending_lines: Arc<AtomicU64>,
}

impl Log for BoundedLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let millis = since_epoch.as_millis();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let dropped_field = if dropped > 0 {
            format!(" lines_dropped={dropped}")
        } else {
            String::new()
        };
        let line = format!(
            "time_ms={millis} level={} {}{dropped_field}\n",
            record.level(),
            record.args()
        );
        self.pending_lines.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.pending_lines.fetch_sub(1, Ordering::Relaxed);
            let event = record.target().to_owned();
            metrics::counter!("log_lines_dropped_total", "event" => event).increment(1);
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    /// Waits until the queued lines are written, at most [`FLUSH_TIMEOUT`].
    ///
    /// Called when the process exits.
    fn flush(&self) {
        let started_at = Instant::now();
        while self.pending_lines.load(Ordering::Relaxed) > 0 && started_at.elapsed() < FLUSH_TIMEOUT
        {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Starts logging to standard output at `level` without blocking the callers of the logger.
///
/// The first line after dropped lines reports their number.
pub fn start_bounded_log(level: LevelFilter) {
    let (lines, queue) = sync_channel(QUEUE_CAPACITY_LINES);
    let log = BoundedLog {
        lines,
        dropped: AtomicU64::new(0),
        pending_lines: Arc::default(),
    };
    let pending_lines = Arc::clone(&log.pending_lines);
    std::thread::spawn(move || write_lines(&queue, &pending_lines));
    if log::set_boxed_logger(Box::new(log)).is_ok() {
        log::set_max_level(level);
    }
}

fn write_lines(queue: &Receiver<String>, pending_lines: &AtomicU64) {
    let mut output = std::io::stdout().lock();
    while let Ok(line) = queue.recv() {
        let mut text = line;
        let mut lines = 1;
        while let Ok(more) = queue.try_recv() {
            text.push_str(&more);
            lines += 1;
        }
        // An error is ignored: if standard output is closed, there is nowhere to report it.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
        pending_lines.fetch_sub(lines, Ordering::Relaxed);
    }
}
