use std::ffi::OsString;
use std::path::PathBuf;

use anyhow::{Context, bail};

/// The exit code for a wrong command line and for findings in settings.
pub const USAGE_EXIT_CODE: u8 = 2;

/// The parsed command line of a process: `--settings FILE [--check]`, or
/// `--help`, or `--version`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessArgs {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Only check the settings.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
    /// Run.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
}

impl ProcessArgs {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Fails if `--settings` is missing or an argument is unknown.
    pub fn parse(arguments: Vec<OsString>) -> anyhow::Result<Self> {
        let mut parser = pico_args::Arguments::from_vec(arguments);
        if parser.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        if parser.contains(["-V", "--version"]) {
            return Ok(Self::Version);
        }
        let check = parser.contains("--check");
        let settings: PathBuf = parser
            .value_from_str("--settings")
            .context("--settings FILE is needed")?;
        let unused = parser.finish();
        if let Some(first) = unused.first() {
            bail!("unknown argument {}; see --help", first.to_string_lossy());
        }
        Ok(if check {
            Self::Check { settings }
        } else {
            Self::Run { settings }
        })
    }
}
