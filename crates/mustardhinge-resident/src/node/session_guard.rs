use std::rc::Rc;

use super::NodeState;

/// Counts a caller's connection as open from its acceptance until the guard is dropped.
#[derive(Debug)]
pub struct SessionGuard {
    node: Rc<NodeState>,
}

impl SessionGuard {
    /// Counts one more connection.
    #[must_use]
    pub fn new(node: &Rc<NodeState>) -> Self {
        let sessions = &node.open_sessions;
        sessions.set(sessions.get() + 1);
        Self {
            node: Rc::clone(node),
        }
    }
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        let sessions = &self.node.open_sessions;
        sessions.set(sessions.get().saturating_sub(1));
    }
}
