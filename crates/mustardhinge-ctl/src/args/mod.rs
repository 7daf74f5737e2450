//! The command line and its parser.

mod argument_reader;
mod ctl_args;
mod ctl_command;
mod ctl_invocation;
mod help_text;

pub use ctl_args::CtlArgs;
pub use ctl_command::CtlCommand;
pub use ctl_invocation::CtlInvocation;
pub use help_text::HELP;
