use std::ffi::OsString;

use mustardhinge_core::explain::{ExplainQuery, RequestKind};

use super::argument_reader::ArgumentReader;
use super::{CtlArgs, CtlCommand};
use crate::error::CtlError;

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CtlInvocation {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(CtlArgs),
}

impl CtlInvocation {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Fails if the command is unknown, or an argument is missing, malformed
    /// or unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardhinge_ctl::args::{CtlCommand, CtlInvocation};
    ///
    /// let arguments = vec!["status".into(), "--json".into()];
    /// let Ok(CtlInvocation::Run(args)) = CtlInvocation::parse(arguments) else {
    ///     panic!("is right");
    /// };
    /// assert!(args.is_json);
    /// assert_eq!(args.command, CtlCommand::Status);
    /// ```
    pub fn parse(arguments: Vec<OsString>) -> Result<Self, CtlError> {
        let mut reader = ArgumentReader::new(arguments);
        if reader.flag(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        if reader.flag(["-V", "--version"]) {
            return Ok(Self::Version);
        }
        let agent = reader.option("--agent")?;
        let operation_id = reader.option("--operation")?;
        let is_json = reader.flag(["-j", "--json"]);
        let command = parse_command(&mut reader)?;
        reader.finish()?;
        Ok(Self::Run(CtlArgs {
            agent,
            operation_id,
            is_json,
            command,
        }))
    }
}

fn parse_command(reader: &mut ArgumentReader) -> Result<CtlCommand, CtlError> {
    let name: String = reader.positional("COMMAND")?;
    match name.as_str() {
        "check" => Ok(CtlCommand::Check {
            file: reader.positional("FILE")?,
        }),
        "apply" => {
            let expected_version = reader.required_option("--expect")?;
            let file = reader.positional("FILE")?;
            Ok(CtlCommand::Apply {
                file,
                expected_version,
            })
        }
        "show" => Ok(CtlCommand::Show {
            service: reader.positional("SERVICE")?,
        }),
        "diff" => Ok(CtlCommand::Diff {
            file: reader.positional("FILE")?,
        }),
        "status" => Ok(CtlCommand::Status),
        "withdraw-key" => {
            let digest = reader.option("--digest")?;
            Ok(CtlCommand::WithdrawKey {
                service: reader.positional("SERVICE")?,
                customer: reader.positional("CUSTOMER")?,
                digest,
            })
        }
        "drain" => parse_drain(reader),
        "switchover" => {
            let to = reader.option("--to")?;
            let group = reader.positional("GROUP")?;
            Ok(CtlCommand::Switchover { group, to })
        }
        "explain" => parse_explain(reader),
        "key-digest" => Ok(CtlCommand::KeyDigest),
        other => Err(CtlError::usage(format!("unknown command {other:?}"))),
    }
}

fn parse_explain(reader: &mut ArgumentReader) -> Result<CtlCommand, CtlError> {
    let instance = reader.required_option("--instance")?;
    let kind = match (
        reader.flag(["-w", "--write"]),
        reader.flag(["-b", "--begin"]),
    ) {
        (false, false) => RequestKind::Read,
        (true, false) => RequestKind::Write,
        (false, true) => RequestKind::Begin,
        (true, true) => {
            return Err(CtlError::usage("--write and --begin exclude each other"));
        }
    };
    let query = ExplainQuery {
        service: reader.positional("SERVICE")?,
        route: reader.positional("ROUTE")?,
        customer: reader.positional("CUSTOMER")?,
        kind,
    };
    Ok(CtlCommand::Explain { instance, query })
}

fn parse_drain(reader: &mut ArgumentReader) -> Result<CtlCommand, CtlError> {
    let draining = !reader.flag(["-u", "--undo"]);
    match reader.optional_positional("SERVICE")? {
        Some(service) => Ok(CtlCommand::DrainTarget {
            service,
            target: reader.positional("TARGET")?,
            draining,
        }),
        None => Ok(CtlCommand::DrainInstance { draining }),
    }
}
