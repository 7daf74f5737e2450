//! Reads TOML tables field by field, collecting every finding with its place.

mod read_context;
mod table_reader;

pub(crate) use read_context::ReadContext;
pub(crate) use table_reader::TableReader;
