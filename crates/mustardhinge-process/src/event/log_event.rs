use std::collections::HashMap;
use std::fmt;
use std::sync::LazyLock;
use std::time::Instant;

use log::Level;

use super::{ALL_EVENTS, LineLimiter, LineVerdict};

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

static LINE_LIMITERS: LazyLock<HashMap<u16, LineLimiter>> = LazyLock::new(|| {
    let events = ALL_EVENTS.iter();
    events
        .map(|event| (event.number, LineLimiter::default()))
        .collect()
});

/// Kind of log line, identified to operators by its number.
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
    /// Number in the catalogue.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Description of the event in one line.
    pub title: &'static str,
}

impl LogEvent {
    /// Logs the event with `fields`, a list of `name=value` pairs separated by spaces.
    ///
    /// Lines beyond [`LINES_PER_SECOND`](super::LINES_PER_SECOND) in one second are omitted and
    /// counted. The next written line of the event reports their number.
    pub fn log(&self, fields: fmt::Arguments<'_>) {
        let second = STARTED.elapsed().as_secs();
        let verdict = LINE_LIMITERS
            .get(&self.number)
            .map(|limiter| limiter.admit(second));
        match verdict {
            Some(LineVerdict::Omit) => {
                let number = self.number.to_string();
                metrics::counter!("log_lines_omitted_total", "event" => number).increment(1);
            }
            Some(LineVerdict::Write { omitted: 1.. }) => self.write(fields, verdict),
            _ => self.write(fields, None),
        }
    }

    fn write(&self, fields: fmt::Arguments<'_>, verdict: Option<LineVerdict>) {
        let (number, title) = (self.number, self.title);
        match verdict {
            Some(LineVerdict::Write { omitted }) => log::log!(
                target: self.title,
                self.level,
                "event={number} title={title:?} {fields} lines_omitted={omitted}"
            ),
            _ => log::log!(
                target: self.title,
                self.level,
                "event={number} title={title:?} {fields}"
            ),
        }
    }
}
