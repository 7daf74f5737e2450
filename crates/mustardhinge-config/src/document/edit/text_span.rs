use std::ops::Range;

use toml::de::DeTable;

use super::EditError;

/// A key of a table whose value is replaced or added.
pub(super) struct TextSpan {
    /// Where the value stands, if the key is there.
    pub(super) value: Option<Range<usize>>,
    /// The end of the value of the table's `name`, after which a key may be added.
    pub(super) after_name: usize,
}

/// Finds `key` in the table of list `path` that has the given name.
pub(super) fn find_span(
    text: &str,
    path: &[&str],
    name: &str,
    key: &str,
) -> Result<Option<TextSpan>, EditError> {
    let root = DeTable::parse(text).map_err(|_| EditError::Unreadable)?;
    let mut table = root.get_ref();
    let (list, parents) = path.split_last().ok_or(EditError::Unreadable)?;
    for parent in parents {
        let value = table.get(*parent).ok_or(EditError::Unreadable)?;
        table = value.get_ref().as_table().ok_or(EditError::Unreadable)?;
    }
    let items = table.get(*list).and_then(|list| list.get_ref().as_array());
    for item in items.into_iter().flatten() {
        let Some(fields) = item.get_ref().as_table() else {
            continue;
        };
        let Some(found) = fields.get("name") else {
            continue;
        };
        if found.get_ref().as_str() == Some(name) {
            return Ok(Some(TextSpan {
                value: fields.get(key).map(toml::Spanned::span),
                after_name: found.span().end,
            }));
        }
    }
    Ok(None)
}
