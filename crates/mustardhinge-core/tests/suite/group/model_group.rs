use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{GroupMembers, ServerReport, ServerRole};

/// A log entry; the id distinguishes entries with equal positions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ModelEntry {
    pub(crate) term: LeaderTerm,
    pub(crate) id: u64,
}

/// A server's durable state according to the target protocol.
#[derive(Clone, Debug)]
pub(crate) struct ModelServer {
    pub(crate) log: Vec<ModelEntry>,
    pub(crate) is_up: bool,
    role: ServerRole,
    term: LeaderTerm,
    granted_to: Option<u64>,
    primary: Option<usize>,
}

/// The servers of a group; server 0 is the first primary, in term 1.
#[derive(Clone, Debug)]
pub(crate) struct ModelGroup {
    pub(crate) servers: Vec<ModelServer>,
    next_id: u64,
}

pub(crate) fn target(index: usize) -> TargetId {
    format!("t{index}").parse().unwrap()
}

pub(crate) fn index_of(target: &TargetId) -> usize {
    target.as_str()[1..].parse().unwrap()
}

impl ModelGroup {
    pub(crate) fn new(count: usize) -> Self {
        let term = LeaderTerm::new(1);
        let server = |index| ModelServer {
            log: vec![ModelEntry { term, id: 0 }],
            is_up: true,
            role: if index == 0 {
                ServerRole::Primary
            } else {
                ServerRole::Replica
            },
            term,
            granted_to: None,
            primary: Some(0),
        };
        Self {
            servers: (0..count).map(server).collect(),
            next_id: 1,
        }
    }

    pub(crate) fn members(&self) -> GroupMembers {
        GroupMembers::new((0..self.servers.len()).map(target))
    }

    pub(crate) fn report(&self, index: usize) -> ServerReport {
        let server = &self.servers[index];
        let last = server.log.last().map(|entry| entry.term);
        let last = LogPosition::new(last.unwrap_or_default(), server.log.len() as u64);
        ServerReport {
            target: target(index),
            role: server.role,
            term: server.term,
            last,
            applied: last,
            primary: server.primary.map(target),
        }
    }

    pub(crate) fn fence(&mut self, index: usize, term: LeaderTerm, claimant: u64) -> bool {
        let server = &mut self.servers[index];
        if term > server.term {
            server.term = term;
            server.granted_to = Some(claimant);
            server.role = ServerRole::Fenced;
            server.primary = None;
        }
        term == server.term && server.granted_to == Some(claimant)
    }

    /// Promotes a server; returns whether it is the primary, and whether this
    /// call promoted it.
    pub(crate) fn promote(
        &mut self,
        index: usize,
        term: LeaderTerm,
        claimant: u64,
    ) -> (bool, bool) {
        let server = &mut self.servers[index];
        if server.term != term || server.granted_to != Some(claimant) {
            return (false, false);
        }
        let is_new = server.role != ServerRole::Primary;
        server.role = ServerRole::Primary;
        server.primary = Some(index);
        if is_new {
            self.append(index);
        }
        (true, is_new)
    }

    pub(crate) fn follow(&mut self, index: usize, term: LeaderTerm, primary: usize) {
        let server = &mut self.servers[index];
        let is_primary_of_term = server.term == term && server.role == ServerRole::Primary;
        if term < server.term || is_primary_of_term || index == primary {
            return;
        }
        server.term = term;
        server.role = ServerRole::Replica;
        server.primary = Some(primary);
    }

    /// Commits a write at a server if it is an available primary.
    pub(crate) fn write(&mut self, index: usize) -> Option<(LogPosition, ModelEntry)> {
        let server = &self.servers[index];
        if !server.is_up || server.role != ServerRole::Primary {
            return None;
        }
        let entry = self.append(index);
        let offset = self.servers[index].log.len() as u64;
        Some((LogPosition::new(entry.term, offset), entry))
    }

    /// Replicates at most `count` entries to a server from its primary.
    pub(crate) fn replicate(&mut self, index: usize, count: usize) {
        let Some(primary) = self.servers[index]
            .primary
            .filter(|primary| *primary != index)
        else {
            return;
        };
        let source = self.servers[primary].clone();
        let server = &mut self.servers[index];
        let is_primary = source.role == ServerRole::Primary && source.term == server.term;
        if !is_primary || !source.is_up || !server.is_up {
            return;
        }
        let pairs = server.log.iter().zip(&source.log);
        let common = pairs.take_while(|(own, other)| own == other).count();
        server.log.truncate(common);
        server.log.extend(source.log[common..].iter().take(count));
    }

    fn append(&mut self, index: usize) -> ModelEntry {
        let server = &mut self.servers[index];
        let entry = ModelEntry {
            term: server.term,
            id: self.next_id,
        };
        self.next_id += 1;
        server.log.push(entry);
        entry
    }
}
