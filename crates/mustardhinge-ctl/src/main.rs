//! The operators' command line.

use std::process::ExitCode;

use mustardhinge_ctl::args::{CtlArgs, CtlInvocation, HELP};
use mustardhinge_ctl::command::run_command;
use mustardhinge_ctl::error::CtlError;

/// The environment variable that names the agent.
const AGENT_VARIABLE: &str = "MUSTARDHINGE_AGENT";

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    match CtlInvocation::parse(arguments) {
        Ok(CtlInvocation::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(CtlInvocation::Version) => {
            println!("mustardhinge-ctl {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(CtlInvocation::Run(args)) => run(args),
        Err(error) => {
            eprintln!("mustardhinge-ctl: {error}; see --help");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(args: CtlArgs) -> ExitCode {
    let is_json = args.is_json;
    match run_with_agent(args) {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            report_error(&error, is_json);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_with_agent(mut args: CtlArgs) -> Result<String, CtlError> {
    if args.agent.is_none() {
        args.agent = agent_from_environment()?;
    }
    let is_json = args.is_json;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CtlError::internal(format!("starting the runtime: {error}")))?;
    let report = runtime.block_on(run_command(args, std::io::stdin()))?;
    Ok(report.print(is_json))
}

fn agent_from_environment() -> Result<Option<std::net::SocketAddr>, CtlError> {
    let Ok(text) = std::env::var(AGENT_VARIABLE) else {
        return Ok(None);
    };
    let malformed = |error| CtlError::usage(format!("{AGENT_VARIABLE}={text}: {error}"));
    text.parse().map(Some).map_err(malformed)
}

fn report_error(error: &CtlError, is_json: bool) {
    if is_json {
        println!("{}", error.to_json());
    } else {
        eprintln!("mustardhinge-ctl: {error}");
    }
}
