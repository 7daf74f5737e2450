use std::time::Duration;

/// What the last report of a gateway means for a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportDecision {
    /// The statement is forwarded.
    Forward,
    /// The statement is forwarded although it would wait too long, so that its response replaces the
    /// report.
    Probe,
    /// The statement is refused, since it would wait this long at the gateway.
    Refuse(Duration),
}
