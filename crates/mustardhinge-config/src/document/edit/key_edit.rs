use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::*;

use super::EditError;
use super::text_span::find_span;
use crate::document::ServiceDocument;

/// Removes a key of a customer from the document's text; the text comes back
/// unchanged if the customer has no such key.
///
/// # Errors
///
/// Fails if there is no such customer, or the text is no document.
pub fn remove_key(
    text: &str,
    customer: &CustomerId,
    digest: &KeyDigest,
) -> Result<String, EditError> {
    let document = ServiceDocument::parse(text).map_err(|_| EditError::Unreadable)?;
    let entry = document
        .customers
        .iter()
        .find(|entry| entry.name == *customer)
        .ok_or_else(|| EditError::NoCustomer(customer.clone()))?;
    if !entry.keys.contains(digest) {
        return Ok(text.to_owned());
    }
    let others = entry.keys.iter().filter(|key| *key != digest);
    let list: Vec<String> = others.map(|key| format!("\"{key}\"")).collect();
    let span = find_span(text, &["customer"], customer.as_str(), "keys")?
        .and_then(|span| span.value)
        .ok_or(EditError::Unreadable)?;
    let mut edited = text.to_owned();
    edited.replace_range(span, &format!("[{}]", list.join(", ")));
    Ok(edited)
}
