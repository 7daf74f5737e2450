//! A minimal JSON reader: the values of an object's members, as raw text.

/// Returns the raw text of member `name` of the object in `text`.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = skip_value(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Returns a string member without escapes.
pub fn text_member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    member(text, name)?.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position after the value that starts at `at`.
fn skip_value(bytes: &[u8], at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => {
            let mut end = at + 1;
            while *bytes.get(end)? != b'"' {
                end += if bytes[end] == b'\\' { 2 } else { 1 };
            }
            Some(end + 1)
        }
        b'{' | b'[' => {
            let (mut depth, mut end) = (0, at);
            loop {
                match bytes.get(end)? {
                    b'"' => {
                        end = skip_value(bytes, end)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                end += 1;
                if depth == 0 {
                    return Some(end);
                }
            }
        }
        _ => {
            let mut end = at;
            while bytes.get(end).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                end += 1;
            }
            Some(end)
        }
    }
}
