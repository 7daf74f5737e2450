//! Entry process of an instance: accepts callers and relays their statements to
//! pooled target connections.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use mustardhinge_config::settings::EntrySettings;
use mustardhinge_entry::process::EntryBuilder;
use mustardhinge_process::args::{ProcessArgs, USAGE_EXIT_CODE};
use mustardhinge_process::event::{self, start_log};
use mustardhinge_process::{serve_metrics, wait_for_stop};
use tokio::runtime::{Builder, Handle, Runtime};

const HELP: &str = "\
mustardhinge-entry: the data path of an instance

Usage: mustardhinge-entry --settings FILE [--check]

  --settings FILE  settings in TOML
  --check          only check the settings
  --help           print this text
  --version        print the version

Exit codes: 0 stopped as planned, 1 failed, 2 usage or findings in the settings.
";

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    match ProcessArgs::parse(arguments) {
        Ok(ProcessArgs::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(ProcessArgs::Version) => {
            println!("mustardhinge-entry {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(ProcessArgs::Check { settings }) => with_settings(&settings, |_| {
            println!("{}: no findings", settings.display());
            ExitCode::SUCCESS
        }),
        Ok(ProcessArgs::Run { settings }) => with_settings(&settings, run_to_end),
        Err(error) => {
            eprintln!("mustardhinge-entry: {error:#}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

fn with_settings(path: &Path, use_settings: impl FnOnce(EntrySettings) -> ExitCode) -> ExitCode {
    match EntrySettings::load(path) {
        Ok(settings) => use_settings(settings),
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

fn run_to_end(settings: EntrySettings) -> ExitCode {
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mustardhinge-entry: {error:#}");
            event::PROCESS_FAILED.log(format_args!("error={:?}", format!("{error:#}")));
            ExitCode::FAILURE
        }
    }
}

/// Runs the control tasks on this thread and the traffic on separate threads.
fn run(settings: EntrySettings) -> anyhow::Result<()> {
    let _log = start_log(&settings.log_level)?;
    let traffic = start_traffic(&settings)?;
    let control = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the control thread")?;
    control.block_on(serve(settings, traffic.handle().clone()))?;
    traffic.shutdown_background();
    Ok(())
}

fn start_traffic(settings: &EntrySettings) -> anyhow::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(usize::try_from(settings.traffic_threads)?)
        .enable_all()
        .build()
        .context("starting the traffic threads")
}

async fn serve(settings: EntrySettings, traffic: Handle) -> anyhow::Result<()> {
    if let Some(address) = settings.metrics {
        serve_metrics(address)?;
    }
    let instance = settings.instance.clone();
    let entry = EntryBuilder::new(settings)
        .traffic_runtime(traffic)
        .start()
        .await?;
    let address = entry.address();
    event::PROCESS_STARTED.log(format_args!("instance={instance} listen={address}"));
    wait_for_stop().await?;
    event::PROCESS_STOPPING.log(format_args!("instance={instance}"));
    entry.stop().await;
    event::PROCESS_STOPPED.log(format_args!("instance={instance}"));
    Ok(())
}
