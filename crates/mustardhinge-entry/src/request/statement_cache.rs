use std::collections::HashMap;
use std::sync::Arc;

use pgwire::messages::extendedquery::Parse;

use super::PreparedStatement;
use crate::wire::FrameError;

/// Maximum number of prepared statements per caller.
const MAX_STATEMENTS: usize = 1_024;

/// Prepared statements and portals of one caller.
#[derive(Debug, Default)]
pub struct StatementCache {
    statements: HashMap<String, Arc<PreparedStatement>>,
    portals: HashMap<String, Arc<PreparedStatement>>,
}

impl StatementCache {
    /// Adds the statement of a caller's Parse.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has too many prepared statements or the
    /// message can't be encoded.
    pub fn prepare(&mut self, parse: &Parse) -> Result<Arc<PreparedStatement>, FrameError> {
        if self.statements.len() >= MAX_STATEMENTS {
            let message = format!("more than {MAX_STATEMENTS} prepared statements");
            return Err(FrameError::Malformed(message));
        }
        let name = parse.name.clone().unwrap_or_default();
        let statement = Arc::new(PreparedStatement::new(parse)?);
        self.statements.insert(name, Arc::clone(&statement));
        Ok(statement)
    }

    /// Returns the statement with this name.
    #[must_use]
    pub fn statement(&self, name: Option<&String>) -> Option<Arc<PreparedStatement>> {
        let name = name.map_or("", String::as_str);
        self.statements.get(name).cloned()
    }

    /// Binds a portal to a statement.
    pub fn open_portal(&mut self, portal: Option<&String>, statement: &Arc<PreparedStatement>) {
        let name = portal.cloned().unwrap_or_default();
        self.portals.insert(name, Arc::clone(statement));
    }

    /// Returns the statement that a portal is bound to.
    #[must_use]
    pub fn portal(&self, name: Option<&String>) -> Option<Arc<PreparedStatement>> {
        let name = name.map_or("", String::as_str);
        self.portals.get(name).cloned()
    }

    /// Removes a statement.
    pub fn close_statement(&mut self, name: Option<&String>) {
        self.statements.remove(name.map_or("", String::as_str));
    }

    /// Removes all portals; a portal ends with its transaction.
    pub fn close_portals(&mut self) {
        self.portals.clear();
    }
}
