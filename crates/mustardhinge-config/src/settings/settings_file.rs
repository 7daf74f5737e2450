use std::path::Path;

use crate::finding::{Finding, FindingPlace, Findings};
use crate::reader::{ReadContext, TableReader};

/// Reads the settings file at `path`.
///
/// # Errors
///
/// Fails with all findings if the file can't be read or anything in it is wrong.
pub(crate) fn load_settings<T>(
    path: &Path,
    read: impl FnOnce(&mut TableReader<'_>) -> Option<T>,
) -> Result<T, Findings> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => ReadContext::read_text(Some(file), &text, read),
        Err(error) => Err(unreadable_file(file, &error)),
    }
}

fn unreadable_file(file: String, error: &std::io::Error) -> Findings {
    let place = FindingPlace {
        file: Some(file),
        ..FindingPlace::default()
    };
    Findings::new(vec![Finding {
        place,
        problem: format!("can't be read: {error}"),
        advice: "give the path of a settings file in TOML".to_owned(),
    }])
}
