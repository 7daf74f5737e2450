use std::collections::VecDeque;
use std::time::{Duration, Instant};

use mustardhinge_core::prelude::{LeaderTerm, LogPosition};

use super::{MemberReport, MemberRole, PrimaryLink, SqlError};
use crate::target::storage::{GroupLog, LogEntry, RowChange, RowLocks, RowTables, TermRun};

/// The state of one target as a member of its group.
#[derive(Debug)]
pub struct GroupMember {
    name: String,
    role: MemberRole,
    term: LeaderTerm,
    claimant: Option<String>,
    following: Option<PrimaryLink>,
    log: GroupLog,
    applied_count: usize,
    /// When the entries that are held but not applied came in.
    received_at: VecDeque<Instant>,
    tables: RowTables,
    /// The locks of open transactions.
    pub locks: RowLocks,
}

impl GroupMember {
    /// Makes an empty member that follows nobody.
    #[must_use]
    pub fn new(name: String) -> Self {
        Self {
            name,
            role: MemberRole::Fenced,
            term: LeaderTerm::default(),
            claimant: None,
            following: None,
            log: GroupLog::default(),
            applied_count: 0,
            received_at: VecDeque::new(),
            tables: RowTables::default(),
            locks: RowLocks::default(),
        }
    }

    /// Returns the report of the member.
    #[must_use]
    pub fn report(&self) -> MemberReport {
        let followed = self.following.as_ref().map(|link| link.name.clone());
        MemberReport {
            target: self.name.clone(),
            role: self.role,
            term: self.term,
            last: self.log.last(),
            applied: self.log.position_at(self.applied_count),
            primary: match self.role {
                MemberRole::Primary => self.name.clone(),
                MemberRole::Replica => followed.unwrap_or_default(),
                MemberRole::Fenced => String::new(),
            },
        }
    }

    /// Returns the rows that reads see.
    #[must_use]
    pub const fn tables(&self) -> &RowTables {
        &self.tables
    }

    /// Returns the log.
    #[must_use]
    pub const fn log(&self) -> &GroupLog {
        &self.log
    }

    /// Returns the primary to follow, if the member is a replica.
    #[must_use]
    pub const fn following(&self) -> Option<&PrimaryLink> {
        self.following.as_ref()
    }

    /// Returns the term in which the member takes writes.
    ///
    /// # Errors
    ///
    /// Fails if it is not the primary.
    pub fn writable_term(&self) -> Result<LeaderTerm, SqlError> {
        match self.role {
            MemberRole::Primary => Ok(self.term),
            MemberRole::Replica | MemberRole::Fenced => Err(SqlError::ReadOnly),
        }
    }

    /// Grants `term` to `claimant` if it is new, or granted to it before.
    pub fn fence(&mut self, term: LeaderTerm, claimant: &str) -> bool {
        if term > self.term {
            self.term = term;
            self.claimant = Some(claimant.to_owned());
            self.role = MemberRole::Fenced;
            self.following = None;
            return true;
        }
        self.is_granted(term, claimant)
    }

    /// Makes the member the primary of a term granted to `claimant`.
    pub fn promote(&mut self, term: LeaderTerm, claimant: &str) -> bool {
        if !self.is_granted(term, claimant) || self.role == MemberRole::Replica {
            return false;
        }
        if self.role == MemberRole::Fenced {
            self.apply_all();
            self.role = MemberRole::Primary;
            self.write_entry(Vec::new());
        }
        true
    }

    /// Makes the member follow `link`, unless its own term is greater.
    pub fn follow(&mut self, link: PrimaryLink) -> bool {
        let is_own_term = link.term == self.term;
        if link.term < self.term || (is_own_term && self.role == MemberRole::Primary) {
            return false;
        }
        if !is_own_term {
            self.claimant = None;
        }
        self.term = link.term;
        self.role = MemberRole::Replica;
        self.following = Some(link);
        true
    }

    /// Commits the changes of a transaction that began to write in `term`.
    ///
    /// # Errors
    ///
    /// Fails if the member is not the primary of that term any more.
    pub fn commit(
        &mut self,
        term: LeaderTerm,
        changes: Vec<RowChange>,
    ) -> Result<LogPosition, SqlError> {
        if self.writable_term()? != term {
            return Err(SqlError::ReadOnly);
        }
        Ok(self.write_entry(changes))
    }

    /// Cuts the log back to what it has in common with the primary's.
    pub fn truncate_to(&mut self, link: &PrimaryLink, common_count: usize) -> bool {
        if !self.follows(link) || common_count > self.log.len() {
            return false;
        }
        self.log.truncate(common_count);
        let waiting = common_count.saturating_sub(self.applied_count);
        self.received_at.truncate(waiting);
        if self.applied_count > common_count {
            self.rebuild_tables(common_count);
        }
        true
    }

    /// Appends an entry of the primary.
    pub fn append(&mut self, link: &PrimaryLink, entry: LogEntry, now: Instant) -> bool {
        let is_appended = self.follows(link) && self.log.append(entry);
        if is_appended {
            self.received_at.push_back(now);
        }
        is_appended
    }

    /// Returns when the next entry that came in is to be applied.
    #[must_use]
    pub fn next_due(&self, lag: Duration) -> Option<Instant> {
        self.received_at.front().map(|received| *received + lag)
    }

    /// Applies the entries that came in `lag` or longer ago.
    pub fn apply_due(&mut self, lag: Duration, now: Instant) {
        while self.next_due(lag).is_some_and(|due| due <= now) {
            self.received_at.pop_front();
            self.apply_next();
        }
    }

    /// Returns how many first entries this primary of `term` has in common with
    /// a log of `runs`; none if it is not that primary.
    #[must_use]
    pub fn common_count(&self, term: LeaderTerm, runs: &[TermRun]) -> Option<usize> {
        let is_primary = self.writable_term() == Ok(term);
        is_primary.then(|| self.log.common_count(runs))
    }

    fn is_granted(&self, term: LeaderTerm, claimant: &str) -> bool {
        term == self.term && self.claimant.as_deref() == Some(claimant)
    }

    fn follows(&self, link: &PrimaryLink) -> bool {
        self.following.as_ref() == Some(link)
    }

    fn write_entry(&mut self, changes: Vec<RowChange>) -> LogPosition {
        let position = self.log.write(self.term, changes);
        self.apply_next();
        position
    }

    fn apply_all(&mut self) {
        self.received_at.clear();
        while self.applied_count < self.log.len() {
            self.apply_next();
        }
    }

    fn apply_next(&mut self) {
        if let Some(entry) = self.log.entries_after(self.applied_count).first() {
            for change in &entry.changes {
                self.tables.apply(change);
            }
            self.applied_count += 1;
        }
    }

    fn rebuild_tables(&mut self, count: usize) {
        self.tables = RowTables::default();
        self.applied_count = 0;
        while self.applied_count < count {
            self.apply_next();
        }
    }
}
