use mustardhinge_core::prelude::*;

use super::EditError;
use super::text_span::find_span;

/// Sets whether a target is leaving in the document's text.
///
/// # Errors
///
/// Fails if there is no such target, or the text is no document.
pub fn set_leaving(text: &str, target: &TargetId, leaving: bool) -> Result<String, EditError> {
    let span = find_span(text, &["group", "target"], target.as_str(), "leaving")?
        .ok_or_else(|| EditError::NoTarget(target.clone()))?;
    let mut edited = text.to_owned();
    match span.value {
        Some(value) => edited.replace_range(value, &leaving.to_string()),
        None if leaving => edited.insert_str(span.after_name, "\nleaving = true"),
        None => {}
    }
    Ok(edited)
}
