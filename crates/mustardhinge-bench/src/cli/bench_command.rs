use std::ffi::OsString;
use std::path::PathBuf;

use anyhow::{Context, bail};
use pico_args::Arguments;

use super::RunOptions;
use crate::slope::SlopeName;

/// The help text.
pub const HELP: &str = "\
Load, faults, history checks and reports

Usage:
  mustardhinge-bench run --deployment muscat|taiwan-north [--seed N] [--duration 20s]
                         [--fault NAME[,NAME]] [--baseline NAME] [--priorities] [--json]
                         [--history FILE]
  mustardhinge-bench replay TRACE --expect FILE
  mustardhinge-bench record TRACE --out FILE
  mustardhinge-bench compare A.jsonl B.jsonl
  mustardhinge-bench plot HISTORY --out FOLDER
  mustardhinge-bench policies [--seed N] [--out FOLDER]
  mustardhinge-bench slope groups|documents|connections|agents
  mustardhinge-bench --help | --version

Faults: none, primary-kill, primary-cut, primary-freeze, silent-connections,
  late-answers, lost-answers, entry-kill, agent-kill, instance-pause, zone-cut,
  store-down, store-slow, key-withdrawal, operator-race, rolling-replace,
  target-leaving
Baselines: static-shares, primary-reads, first-come

Exit codes: 0, 1 (failed, or a rule is broken), 2 (usage)
";

/// The parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BenchCommand {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a load and check it.
    Run(RunOptions),
    /// Replay a trace and hold its actions against the expected ones.
    Replay {
        /// The trace.
        trace: PathBuf,
        /// The expected actions.
        expect: PathBuf,
    },
    /// Replay a trace and write its actions.
    Record {
        /// The trace.
        trace: PathBuf,
        /// Where to write the actions.
        out: PathBuf,
    },
    /// Compare the reports of two files.
    Compare {
        /// The one file.
        left: PathBuf,
        /// The other file.
        right: PathBuf,
    },
    /// Measure a slope; one JSON line for each size.
    Slope(SlopeName),
    /// Run policies of waiting and placement side by side over the loads of the model.
    Policies {
        /// Draws the statements.
        seed: u64,
        /// The folder for the pictures, if some are wanted.
        out: Option<PathBuf>,
    },
    /// Plot a history.
    Plot {
        /// The history.
        history: PathBuf,
        /// The folder for the pictures.
        out: PathBuf,
    },
}

impl BenchCommand {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Fails if the command or an option is missing, unknown or unreadable.
    pub fn parse(arguments: Vec<OsString>) -> anyhow::Result<Self> {
        let mut arguments = Arguments::from_vec(arguments);
        if arguments.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        if arguments.contains(["-V", "--version"]) {
            return Ok(Self::Version);
        }
        let name = arguments.subcommand()?.context("a command is needed")?;
        let command = match name.as_str() {
            "run" => Self::Run(RunOptions::parse(&mut arguments)?),
            "replay" => Self::Replay {
                expect: arguments.value_from_str("--expect")?,
                trace: arguments.free_from_str()?,
            },
            "record" => Self::Record {
                out: arguments.value_from_str("--out")?,
                trace: arguments.free_from_str()?,
            },
            "compare" => Self::Compare {
                left: arguments.free_from_str()?,
                right: arguments.free_from_str()?,
            },
            "policies" => Self::Policies {
                seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
                out: arguments.opt_value_from_str("--out")?,
            },
            "slope" => Self::Slope(arguments.free_from_str()?),
            "plot" => Self::Plot {
                out: arguments.value_from_str("--out")?,
                history: arguments.free_from_str()?,
            },
            _ => bail!("unknown command {name:?}"),
        };
        match arguments.finish().first() {
            Some(first) => bail!("unknown argument {}", first.to_string_lossy()),
            None => Ok(command),
        }
    }
}
