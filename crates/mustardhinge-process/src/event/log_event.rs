use std::fmt;

use log::Level;

/// One kind of log line, known to operators by its number.
///
/// # Examples
///
/// ```
/// use mustardhinge_process::event;
///
/// event::PROCESS_STARTED.log(format_args!("instance={}", "i-1"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// The number in the catalogue.
    pub number: u16,
    /// The level at which it is logged.
    pub level: Level,
    /// What happened, in one line.
    pub title: &'static str,
}

impl LogEvent {
    /// Logs the event with `fields`, a list of `name=value` separated by blanks.
    pub fn log(&self, fields: fmt::Arguments<'_>) {
        log::log!(
            self.level,
            "event={} title={:?} {fields}",
            self.number,
            self.title
        );
    }
}
