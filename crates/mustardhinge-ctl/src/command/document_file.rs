use std::path::Path;

use mustardhinge_config::document::ServiceDocument;

use crate::error::CtlError;

/// A document read from a file, and checked.
pub(super) struct DocumentFile {
    /// The text.
    pub(super) text: String,
    /// What it says.
    pub(super) document: ServiceDocument,
}

impl DocumentFile {
    /// Reads a file and checks the document in it.
    pub(super) fn read(path: &Path) -> Result<Self, CtlError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| CtlError::usage(format!("{file} can't be read: {error}")))?;
        let document = ServiceDocument::parse(&text)
            .map_err(|findings| CtlError::findings(&file, &findings))?;
        Ok(Self { text, document })
    }
}
