use super::{DifferenceKind, DocumentDifference};

/// Compares two lists of named items; items in both go to `compare`.
pub(super) fn compare_lists<T, N: PartialEq + std::fmt::Display>(
    path: &str,
    lists: (&[T], &[T]),
    name: impl Fn(&T) -> &N,
    mut compare: impl FnMut(&str, &T, &T, &mut Vec<DocumentDifference>),
    found: &mut Vec<DocumentDifference>,
) {
    let (old, new) = lists;
    let find = |list: &'_ [T], wanted: &N| list.iter().position(|item| name(item) == wanted);
    for item in old {
        let path = format!("{path}[{}]", name(item));
        match find(new, name(item)) {
            Some(index) => compare(&path, item, &new[index], found),
            None => found.push(DocumentDifference::new(path, DifferenceKind::Removed)),
        }
    }
    for item in new {
        if find(old, name(item)).is_none() {
            let path = format!("{path}[{}]", name(item));
            found.push(DocumentDifference::new(path, DifferenceKind::Added));
        }
    }
}
