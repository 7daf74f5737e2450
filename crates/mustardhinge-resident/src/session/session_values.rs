use std::collections::HashMap;

use bytes::Bytes;

use crate::adapter::{ProxyStatement, SessionCodec};
use crate::gateway::PreparedStatement;
use crate::target::TargetConnection;

#[derive(Clone, Debug)]
struct StoredStatement {
    writes: bool,
    text: Bytes,
}

/// Values and prepared statements of one session.
///
/// They are stored in the proxy and replayed at each target that runs a statement of the
/// session.
#[derive(Clone, Debug)]
pub struct SessionValues {
    session: u64,
    values: Vec<(Bytes, Bytes)>,
    prepared: HashMap<Bytes, StoredStatement>,
    generation: u64,
}

impl SessionValues {
    /// Creates the empty values of a new session.
    #[must_use]
    pub fn new(session: u64) -> Self {
        Self {
            session,
            values: Vec::new(),
            prepared: HashMap::new(),
            generation: 0,
        }
    }

    /// Creates the values of another instance's session, which has the number `session` here.
    #[must_use]
    pub fn forwarded(
        session: u64,
        generation: u64,
        values: Vec<(Bytes, Bytes)>,
        prepared: Option<PreparedStatement>,
    ) -> Self {
        let prepared = prepared.into_iter().map(|statement| {
            let PreparedStatement { name, writes, text } = statement;
            (name, StoredStatement { writes, text })
        });
        Self {
            session,
            values,
            prepared: prepared.collect(),
            generation,
        }
    }

    /// Returns the names of the values and the statements that set them.
    #[must_use]
    pub fn values(&self) -> &[(Bytes, Bytes)] {
        &self.values
    }

    /// Returns the number of changes of the values.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the prepared statement with the given name.
    #[must_use]
    pub fn prepared(&self, name: Option<&Bytes>) -> Option<PreparedStatement> {
        let (name, known) = self.prepared.get_key_value(name?)?;
        Some(PreparedStatement {
            name: name.clone(),
            writes: known.writes,
            text: known.text.clone(),
        })
    }

    /// Stores a value as the statement that set it.
    pub fn set(&mut self, name: Bytes, text: Bytes) {
        match self.values.iter_mut().find(|(known, _)| *known == name) {
            Some((_, known)) if *known == text => return,
            Some((_, known)) => *known = text,
            None => self.values.push((name, text)),
        }
        self.generation += 1;
    }

    /// Stores a prepared statement with the statement that created it.
    pub fn prepare(&mut self, name: Bytes, writes: bool, text: Bytes) {
        self.prepared.insert(name, StoredStatement { writes, text });
    }

    /// Removes a prepared statement. Returns whether it existed.
    pub fn remove_prepared(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Returns whether the prepared statement writes, or `None` if it does not exist.
    #[must_use]
    pub fn writes(&self, name: &Bytes) -> Option<bool> {
        self.prepared.get(name).map(|prepared| prepared.writes)
    }

    /// Writes the statements that apply the session's values and the prepared statement `name`
    /// to the connection.
    ///
    /// Statements that are already in effect are omitted. Returns the number of statements written.
    pub fn write_setup<W: SessionCodec>(
        &self,
        connection: &mut TargetConnection,
        name: Option<&Bytes>,
    ) -> usize {
        let mut count = 0;
        let mut send = |connection: &mut TargetConnection, statement: &ProxyStatement| {
            W::write_proxy_statement(&mut connection.output, statement);
            count += 1;
        };
        if connection.session != self.session {
            if connection.values_generation > 0 || !connection.prepared.is_empty() {
                send(connection, &ProxyStatement::Reset);
                connection.prepared.clear();
            }
            connection.session = self.session;
            connection.values_generation = 0;
        }
        if connection.values_generation != self.generation {
            for (_, text) in &self.values {
                send(connection, &ProxyStatement::Replay(text.clone()));
            }
            connection.values_generation = self.generation;
        }
        if let Some((name, prepared)) = name.and_then(|name| self.prepared.get_key_value(name)) {
            let known = connection.prepared.get(name).cloned();
            if known.as_ref() != Some(&prepared.text) {
                if known.is_some() {
                    send(connection, &ProxyStatement::Forget(name.clone()));
                }
                send(connection, &ProxyStatement::Replay(prepared.text.clone()));
                connection
                    .prepared
                    .insert(name.clone(), prepared.text.clone());
            }
        }
        count
    }
}
