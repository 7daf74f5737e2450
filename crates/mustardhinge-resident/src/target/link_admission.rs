use std::time::Duration;

/// What would happen to a statement that is placed on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkAdmission {
    /// It would be sent at once.
    Run,
    /// It would wait, for about this long.
    Wait(Duration),
    /// It would be refused, with this retry delay.
    Refuse(Duration),
}
