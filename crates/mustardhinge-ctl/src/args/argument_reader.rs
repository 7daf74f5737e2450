use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;

use crate::error::CtlError;

/// Reads arguments one by one; what is left at the end is an error.
pub(super) struct ArgumentReader {
    arguments: Arguments,
}

impl ArgumentReader {
    pub(super) fn new(arguments: Vec<OsString>) -> Self {
        Self {
            arguments: Arguments::from_vec(arguments),
        }
    }

    /// Reads a flag with a short and a long name.
    pub(super) fn flag(&mut self, names: [&'static str; 2]) -> bool {
        self.arguments.contains(names)
    }

    /// Reads an option with a value.
    pub(super) fn option<T>(&mut self, name: &'static str) -> Result<Option<T>, CtlError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.arguments
            .opt_value_from_str(name)
            .map_err(|error| CtlError::usage(format!("{name}: {error}")))
    }

    /// Reads an option with a value that has to be there.
    pub(super) fn required_option<T>(&mut self, name: &'static str) -> Result<T, CtlError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let missing = || CtlError::usage(format!("{name} is needed"));
        self.option(name)?.ok_or_else(missing)
    }

    /// Reads the next argument that belongs to no option, if there is one.
    pub(super) fn optional_positional<T>(
        &mut self,
        name: &'static str,
    ) -> Result<Option<T>, CtlError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.arguments
            .opt_free_from_str()
            .map_err(|error| CtlError::usage(format!("{name}: {error}")))
    }

    /// Reads the next argument that belongs to no option.
    pub(super) fn positional<T>(&mut self, name: &'static str) -> Result<T, CtlError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let missing = || CtlError::usage(format!("{name} is needed"));
        self.optional_positional(name)?.ok_or_else(missing)
    }

    /// Checks that nothing is left.
    pub(super) fn finish(self) -> Result<(), CtlError> {
        match self.arguments.finish().first() {
            Some(first) => {
                let first = first.to_string_lossy();
                Err(CtlError::usage(format!("unknown argument {first}")))
            }
            None => Ok(()),
        }
    }
}
