//! Entry point of the agent process.

use std::process::ExitCode;

use anyhow::Context;
use mustardhinge_agent::AgentProcess;
use mustardhinge_config::settings::AgentSettings;
use mustardhinge_process::args::{ProcessArgs, USAGE_EXIT_CODE};
use mustardhinge_process::{event, serve_metrics, wait_for_stop};

const HELP: &str = "\
Control process of an instance: platform, peers, budgets, failover.

Usage: mustardhinge-agent --settings FILE [--check]

Options:
      --settings FILE  Settings, in TOML
      --check          Only check the settings
  -h, --help           Print this text
  -V, --version        Print the version
";

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    match ProcessArgs::parse(arguments) {
        Ok(ProcessArgs::Help) => print_text(HELP),
        Ok(ProcessArgs::Version) => print_text(concat!(
            "mustardhinge-agent ",
            env!("CARGO_PKG_VERSION"),
            "\n"
        )),
        Ok(ProcessArgs::Check { settings }) => {
            load(&settings).map_or_else(|code| code, |_| ExitCode::SUCCESS)
        }
        Ok(ProcessArgs::Run { settings }) => load(&settings).map_or_else(|code| code, run),
        Err(error) => fail_usage(&error),
    }
}

fn print_text(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn fail_usage(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(USAGE_EXIT_CODE)
}

fn load(path: &std::path::Path) -> Result<AgentSettings, ExitCode> {
    AgentSettings::load(path).map_err(|findings| fail_usage(&findings))
}

fn run(settings: AgentSettings) -> ExitCode {
    match run_agent(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            event::PROCESS_FAILED.log(format_args!("cause={:?}", format!("{error:#}")));
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_agent(settings: AgentSettings) -> anyhow::Result<()> {
    let _log = event::start_log(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(async {
        if let Some(address) = settings.metrics {
            serve_metrics(address)?;
        }
        let agent = AgentProcess::builder().settings(settings).start().await?;
        wait_for_stop().await?;
        event::PROCESS_STOPPING.log(format_args!("process=agent"));
        agent.stop().await;
        event::PROCESS_STOPPED.log(format_args!("process=agent"));
        Ok(())
    })
}
