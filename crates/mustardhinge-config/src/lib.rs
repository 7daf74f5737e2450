//! Settings of the processes and documents of the services.
//!
//! Both are TOML texts. A text is checked whole: every [`finding::Finding`]
//! is collected with its place, and all are reported together.

pub mod document;
pub mod finding;
pub mod line;
pub mod settings;

mod reader;
