use std::collections::HashMap;

use bytes::Bytes;

use crate::adapter::{ProxyStatement, SessionCodec};
use crate::gateway::PreparedStatement;
use crate::target::TargetLink;

#[derive(Clone, Debug)]
struct PreparedName {
    writes: bool,
    text: Bytes,
}

/// The values and prepared names of one session, kept here and repeated at each target
/// that runs its statements.
#[derive(Clone, Debug)]
pub struct SessionValues {
    session: u64,
    values: Vec<(Bytes, Bytes)>,
    prepared: HashMap<Bytes, PreparedName>,
    generation: u64,
}

impl SessionValues {
    /// Makes the values of a new session.
    #[must_use]
    pub fn new(session: u64) -> Self {
        Self {
            session,
            values: Vec::new(),
            prepared: HashMap::new(),
            generation: 0,
        }
    }

    /// Makes the values of a session of another instance, which is known here as `session`.
    #[must_use]
    pub fn forwarded(
        session: u64,
        generation: u64,
        values: Vec<(Bytes, Bytes)>,
        prepared: Option<PreparedStatement>,
    ) -> Self {
        let prepared = prepared.into_iter().map(|statement| {
            let PreparedStatement { name, writes, text } = statement;
            (name, PreparedName { writes, text })
        });
        Self {
            session,
            values,
            prepared: prepared.collect(),
            generation,
        }
    }

    /// Returns the values: their names and the statements that set them.
    #[must_use]
    pub fn values(&self) -> &[(Bytes, Bytes)] {
        &self.values
    }

    /// Returns how often the values have changed.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the prepared statement of a name.
    #[must_use]
    pub fn prepared(&self, name: Option<&Bytes>) -> Option<PreparedStatement> {
        let (name, known) = self.prepared.get_key_value(name?)?;
        Some(PreparedStatement {
            name: name.clone(),
            writes: known.writes,
            text: known.text.clone(),
        })
    }

    /// Takes a value, with the statement that set it.
    pub fn set(&mut self, name: Bytes, text: Bytes) {
        match self.values.iter_mut().find(|(known, _)| *known == name) {
            Some((_, known)) if *known == text => return,
            Some((_, known)) => *known = text,
            None => self.values.push((name, text)),
        }
        self.generation += 1;
    }

    /// Takes a prepared name, with the statement that made it.
    pub fn prepare(&mut self, name: Bytes, writes: bool, text: Bytes) {
        self.prepared.insert(name, PreparedName { writes, text });
    }

    /// Drops a prepared name. Returns whether it was known.
    pub fn forget(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Returns whether the prepared statement writes; none if it isn't known.
    #[must_use]
    pub fn writes(&self, name: &Bytes) -> Option<bool> {
        self.prepared.get(name).map(|prepared| prepared.writes)
    }

    /// Writes to the link what makes it this session's, with the prepared name that is
    /// needed next.
    ///
    /// Returns the number of statements written.
    pub fn write_to<W: SessionCodec>(&self, link: &mut TargetLink, name: Option<&Bytes>) -> usize {
        let mut count = 0;
        let mut send = |link: &mut TargetLink, statement: &ProxyStatement| {
            W::write_proxy_statement(&mut link.output, statement);
            count += 1;
        };
        if link.session != self.session {
            if link.values_generation > 0 || !link.prepared.is_empty() {
                send(link, &ProxyStatement::Reset);
                link.prepared.clear();
            }
            link.session = self.session;
            link.values_generation = 0;
        }
        if link.values_generation != self.generation {
            for (_, text) in &self.values {
                send(link, &ProxyStatement::Replay(text.clone()));
            }
            link.values_generation = self.generation;
        }
        if let Some((name, prepared)) = name.and_then(|name| self.prepared.get_key_value(name)) {
            let known = link.prepared.get(name).cloned();
            if known.as_ref() != Some(&prepared.text) {
                if known.is_some() {
                    send(link, &ProxyStatement::Forget(name.clone()));
                }
                send(link, &ProxyStatement::Replay(prepared.text.clone()));
                link.prepared.insert(name.clone(), prepared.text.clone());
            }
        }
        count
    }
}
