use std::collections::HashMap;

use bytes::Bytes;
use pgwire::messages::extendedquery::{Bind, Parse, TARGET_TYPE_BYTE_STATEMENT};

use super::prepared_statement::PreparedStatement;
use super::statement_portal::StatementPortal;
use crate::target::member::SqlError;
use crate::target::statement::parse_statements;

/// The prepared statements and portals of one connection.
#[derive(Debug, Default)]
pub(super) struct ExtendedState {
    statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, StatementPortal>,
    /// Whether messages are skipped until the next Sync.
    pub(super) is_skipping: bool,
}

impl ExtendedState {
    pub(super) fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let mut statements = parse_statements(&parse.query).ok_or(SqlError::Syntax)?;
        if statements.len() > 1 {
            return Err(SqlError::Syntax);
        }
        let prepared = PreparedStatement {
            text: parse.query,
            statement: statements.pop(),
        };
        let name = parse.name.unwrap_or_default();
        self.statements.insert(name, prepared);
        Ok(())
    }

    pub(super) fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.statement(&name)?.clone();
        let texts = bind.parameters.iter().enumerate();
        let parameters = texts
            .map(|(index, value)| read_parameter(index + 1, value.as_ref()))
            .collect::<Result<_, _>>()?;
        let portal = StatementPortal {
            prepared,
            parameters,
        };
        let portal_name = bind.portal_name.unwrap_or_default();
        self.portals.insert(portal_name, portal);
        Ok(())
    }

    pub(super) fn statement(&self, name: &str) -> Result<&PreparedStatement, SqlError> {
        let name_error = || SqlError::UnknownName {
            name: name.to_owned(),
        };
        self.statements.get(name).ok_or_else(name_error)
    }

    pub(super) fn portal(&self, name: &str) -> Result<&StatementPortal, SqlError> {
        let name_error = || SqlError::UnknownName {
            name: name.to_owned(),
        };
        self.portals.get(name).ok_or_else(name_error)
    }

    pub(super) fn close(&mut self, target_type: u8, name: &str) {
        if target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
    }

    pub(super) fn clear(&mut self) {
        self.statements.clear();
        self.portals.clear();
    }
}

fn read_parameter(number: usize, value: Option<&Bytes>) -> Result<String, SqlError> {
    let malformed = SqlError::BadArgument { number };
    let bytes = value.ok_or_else(|| malformed.clone())?;
    String::from_utf8(bytes.to_vec()).map_err(|_| malformed)
}
