use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that may wait for a slow reader; about a quarter of a megabyte.
const QUEUE_CAPACITY_LINES: usize = 1_024;

/// Longest wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A log that never blocks: lines wait in a bounded queue, and are counted when it is full.
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

    /// Waits a moment until the lines are written, for the end of the process.
    fn flush(&self) {
        let started_at = Instant::now();
        while self.pending_lines.load(Ordering::Relaxed) > 0 && started_at.elapsed() < FLUSH_TIMEOUT
        {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Starts logging to standard output, from `level` on, without ever blocking the
/// caller. A line that follows lost ones says how many there were.
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
        // Nobody is left to tell if standard output is gone.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
        pending_lines.fetch_sub(lines, Ordering::Relaxed);
    }
}
