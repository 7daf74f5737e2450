use std::collections::BTreeMap;

use mustardhinge_core::prelude::*;

use crate::wire::ErrorReply;

/// SQLSTATE of a startup parameter with an invalid value.
const BAD_PARAMETER_SQLSTATE: &str = "22023";

/// SQLSTATE of an unknown database.
const NO_DATABASE_SQLSTATE: &str = "3D000";

const SESSION_PARAMETER: &str = "mustardhinge.session";
const TOKEN_PARAMETER: &str = "mustardhinge.token";

/// Startup parameters of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupParameters {
    /// Service, given as the database name.
    pub service: ServiceId,
    /// Session, if the caller specifies one.
    pub session: Option<SessionId>,
    /// Read token of the session, if the caller sends one.
    pub token: Option<LogPosition>,
}

impl StartupParameters {
    /// Reads the parameters of a startup packet.
    ///
    /// `mustardhinge.session` and `mustardhinge.token` may be separate parameters
    /// or part of `options` as `-c name=value`.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if the database is missing or a value is
    /// malformed.
    pub fn from_parameters(parameters: &BTreeMap<String, String>) -> Result<Self, ErrorReply> {
        let options = parse_options(parameters.get("options").map_or("", String::as_str));
        let find = |name: &str| parameters.get(name).or_else(|| options.get(name));
        let database = find("database").or_else(|| find("user"));
        let service = database
            .and_then(|name| name.parse().ok())
            .ok_or_else(|| unknown_service(database.map_or("", String::as_str)))?;
        Ok(Self {
            service,
            session: parse_value(SESSION_PARAMETER, find(SESSION_PARAMETER))?,
            token: parse_value(TOKEN_PARAMETER, find(TOKEN_PARAMETER))?,
        })
    }
}

/// Returns the error for a caller that requests an unknown service.
pub(crate) fn unknown_service(name: &str) -> ErrorReply {
    let message = format!("there is no service {name:?} here");
    ErrorReply::new(NO_DATABASE_SQLSTATE, message).fatal()
}

fn parse_value<T>(name: &str, value: Option<&String>) -> Result<Option<T>, ErrorReply>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = value else {
        return Ok(None);
    };
    match text.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(error) => {
            let message = format!("startup parameter {name}: {error}");
            Err(ErrorReply::new(BAD_PARAMETER_SQLSTATE, message).fatal())
        }
    }
}

/// Parses options of the forms `-c name=value`, `-cname=value` and `--name=value`.
fn parse_options(options: &str) -> BTreeMap<String, String> {
    let mut words = options.split_ascii_whitespace();
    let mut found = BTreeMap::new();
    while let Some(word) = words.next() {
        let setting = match word.strip_prefix("-c") {
            Some("") => words.next().unwrap_or_default(),
            Some(rest) => rest,
            None => word.strip_prefix("--").unwrap_or_default(),
        };
        if let Some((name, value)) = setting.split_once('=') {
            found.insert(name.to_owned(), value.to_owned());
        }
    }
    found
}
