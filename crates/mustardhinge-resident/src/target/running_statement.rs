use std::rc::Rc;

use mustardhinge_process::BootClock;

use super::TargetHandle;

/// Counts a statement as running at its target until dropped, including when the exchange is
/// interrupted before its end.
#[derive(Debug)]
pub(super) struct RunningStatement {
    target: Rc<TargetHandle>,
}

impl RunningStatement {
    /// Counts a statement that is about to be sent.
    pub(super) fn begin(target: &Rc<TargetHandle>) -> Self {
        target.begin_statement();
        Self {
            target: Rc::clone(target),
        }
    }
}

impl Drop for RunningStatement {
    fn drop(&mut self) {
        self.target.end_statement(BootClock.now());
    }
}
