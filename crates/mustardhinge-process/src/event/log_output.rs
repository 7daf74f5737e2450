use anyhow::Context;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

/// Starts logging to standard error at `level`, which is `error` to `trace` or a specification
/// per module.
///
/// Keep the returned handle until the process exits.
///
/// # Errors
///
/// Returns an error if `level` can't be parsed or logging has already been started.
pub fn start_log(level: &str) -> anyhow::Result<LoggerHandle> {
    Logger::try_with_str(level)
        .with_context(|| format!("invalid log level {level:?}"))?
        .format(write_line)
        .start()
        .context("failed to start logging")
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
