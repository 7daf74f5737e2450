use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use mustardhinge_process::args::{ProcessArgs, USAGE_EXIT_CODE};
use mustardhinge_process::event;
use serde::de::DeserializeOwned;

/// What is alike in the processes of all stand-ins.
#[derive(Clone, Copy, Debug)]
pub struct ProcessFrame {
    /// The name of the program.
    pub program: &'static str,
    /// What it is, in one line.
    pub summary: &'static str,
}

impl ProcessFrame {
    /// Parses the command line, and serves with the settings until told to stop.
    pub fn run<S: DeserializeOwned>(
        self,
        log_level: impl FnOnce(&S) -> &str,
        serve: impl AsyncFnOnce(S) -> anyhow::Result<()>,
    ) -> ExitCode {
        let arguments = std::env::args_os().skip(1).collect();
        match ProcessArgs::parse(arguments) {
            Ok(ProcessArgs::Help) => {
                print!("{}", self.help());
                ExitCode::SUCCESS
            }
            Ok(ProcessArgs::Version) => {
                println!("{} {}", self.program, env!("CARGO_PKG_VERSION"));
                ExitCode::SUCCESS
            }
            Ok(ProcessArgs::Check { settings }) => match load::<S>(&settings) {
                Ok(_) => {
                    println!("{}: no findings", settings.display());
                    ExitCode::SUCCESS
                }
                Err(error) => self.fail(&error, USAGE_EXIT_CODE),
            },
            Ok(ProcessArgs::Run { settings }) => match load::<S>(&settings) {
                Ok(settings) => match run_to_end(settings, log_level, serve) {
                    Ok(()) => ExitCode::SUCCESS,
                    Err(error) => self.fail(&error, 1),
                },
                Err(error) => self.fail(&error, USAGE_EXIT_CODE),
            },
            Err(error) => self.fail(&error, USAGE_EXIT_CODE),
        }
    }

    fn help(self) -> String {
        let Self { program, summary } = self;
        format!(
            "{program}: {summary}

Usage: {program} --settings FILE [--check]

  --settings FILE  settings in TOML
  --check          only check the settings
  --help           print this text
  --version        print the version

Exit codes: 0 stopped as planned, 1 failed, 2 usage or findings in the settings.
"
        )
    }

    fn fail(self, error: &anyhow::Error, code: u8) -> ExitCode {
        eprintln!("{}: {error:#}", self.program);
        ExitCode::from(code)
    }
}

/// Returns the log level where the settings name none.
pub(super) fn default_log_level() -> String {
    "info".to_owned()
}

fn load<S: DeserializeOwned>(path: &Path) -> anyhow::Result<S> {
    let file = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {file}"))?;
    toml::from_str(&text).with_context(|| format!("{file}"))
}

fn run_to_end<S>(
    settings: S,
    log_level: impl FnOnce(&S) -> &str,
    serve: impl AsyncFnOnce(S) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let _log = event::start_log(log_level(&settings))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let result = runtime.block_on(serve(settings));
    if let Err(error) = &result {
        event::PROCESS_FAILED.log(format_args!("cause={:?}", format!("{error:#}")));
    }
    runtime.shutdown_background();
    result
}
