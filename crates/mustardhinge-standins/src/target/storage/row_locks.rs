use std::collections::HashMap;

use super::RowKey;

/// The locks that sessions hold on rows until their transactions end.
#[derive(Debug, Default)]
pub struct RowLocks {
    holders: HashMap<RowKey, u64>,
    waiting_for: HashMap<u64, RowKey>,
}

/// How an attempt to lock a row ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockOutcome {
    /// The session holds the lock.
    Held,
    /// Another session holds it; try again later.
    Busy,
    /// Waiting would never end, because the holder waits for this session.
    Deadlock,
}

impl RowLocks {
    /// Locks `row` for `session`, or notes that it waits for it.
    pub fn try_lock(&mut self, row: &RowKey, session: u64) -> LockOutcome {
        self.waiting_for.remove(&session);
        match self.holders.get(row) {
            None => {
                self.holders.insert(row.clone(), session);
                LockOutcome::Held
            }
            Some(holder) if *holder == session => LockOutcome::Held,
            Some(holder) if self.waits_for(*holder, session) => LockOutcome::Deadlock,
            Some(_) => {
                self.waiting_for.insert(session, row.clone());
                LockOutcome::Busy
            }
        }
    }

    /// Gives up waiting.
    pub fn stop_waiting(&mut self, session: u64) {
        self.waiting_for.remove(&session);
    }

    /// Releases all locks of `session`.
    pub fn release(&mut self, session: u64) {
        self.waiting_for.remove(&session);
        self.holders.retain(|_, holder| *holder != session);
    }

    /// Tells whether `session` waits, over any number of others, for `holder`.
    fn waits_for(&self, session: u64, holder: u64) -> bool {
        let mut current = session;
        while let Some(row) = self.waiting_for.get(&current) {
            match self.holders.get(row) {
                Some(next) if *next == holder => return true,
                Some(next) if *next != current => current = *next,
                _ => return false,
            }
        }
        false
    }
}
