//! Why a command was not done.

mod ctl_error;

pub use ctl_error::CtlError;
