use anyhow::Context;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

/// Starts logging to standard error at `level` (`error` to `trace`, or a
/// specification per module). Keep the handle until the process ends.
///
/// # Errors
///
/// Fails if the level can't be parsed, or logging has been started before.
pub fn start_log(level: &str) -> anyhow::Result<LoggerHandle> {
    Logger::try_with_str(level)
        .with_context(|| format!("log level {level:?}"))?
        .format(write_line)
        .start()
        .context("starting the log")
}

fn write_line(
    output: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    write!(
        output,
        "time={} level={} {}",
        now.format_rfc3339(),
        record.level(),
        record.args()
    )
}
