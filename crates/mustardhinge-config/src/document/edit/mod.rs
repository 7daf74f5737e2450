//! Small changes to a document's text that leave all else of it as it stands.

mod edit_error;
mod key_edit;
mod leaving_edit;
mod text_span;

pub use edit_error::EditError;
pub use key_edit::remove_key;
pub use leaving_edit::set_leaving;
