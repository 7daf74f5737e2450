use std::rc::Rc;

use mustardhinge_core::prelude::MonotonicTime;

use super::TargetHandle;

/// A statement that was forwarded to a target's gateway and is unanswered. Dropping it records its
/// end, also if its caller stops waiting.
#[derive(Debug)]
pub struct UnansweredStatement(Rc<TargetHandle>);

impl UnansweredStatement {
    /// Records a statement that is sent now.
    #[must_use]
    pub fn new(target: &Rc<TargetHandle>, now: MonotonicTime) -> Self {
        let mut load = target.shared_load.get();
        load.record_sent(now);
        target.shared_load.set(load);
        Self(Rc::clone(target))
    }
}

impl Drop for UnansweredStatement {
    fn drop(&mut self) {
        let mut load = self.0.shared_load.get();
        load.record_ended();
        self.0.shared_load.set(load);
    }
}
