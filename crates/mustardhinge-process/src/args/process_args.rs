use std::ffi::OsString;
use std::path::PathBuf;

use anyhow::{Context, bail};

/// Exit code for an invalid command line or for findings in the settings.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Parsed command line of a process: `--settings FILE [--check]`, `--help` or `--version`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessArgs {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Validates the settings and exits.
    Check {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Runs the process.
    Run {
        /// Path of the settings file.
        settings: PathBuf,
    },
}

impl ProcessArgs {
    /// Parses the arguments that follow the program name.
    ///
    /// # Errors
    ///
    /// Returns an error if `--settings` is missing or an argument is unknown.
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
            .context("--settings FILE is required")?;
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
