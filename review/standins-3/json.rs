//! A small JSON reader and writer, enough for the objects of the store.

use std::fmt;

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text. Returns `None` if it isn't JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    /// Returns a field of an object, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(known, _)| known == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

pub fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(
        fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => quote(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    quote(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            letter if (letter as u32) < 0x20 => write!(f, "\\u{:04x}", letter as u32)?,
            letter => write!(f, "{letter}")?,
        }
    }
    f.write_str("\"")
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes
        .get(*at)
        .is_some_and(|byte| byte.is_ascii_whitespace())
    {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, word: &str) -> Option<()> {
    let end = *at + word.len();
    (bytes.get(*at..end)? == word.as_bytes()).then(|| *at = end)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'n' => take(bytes, at, "null").map(|()| Json::Null),
        b't' => take(bytes, at, "true").map(|()| Json::Bool(true)),
        b'f' => take(bytes, at, "false").map(|()| Json::Bool(false)),
        b'"' => string(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                if !items.is_empty() {
                    take(bytes, at, ",")?;
                }
                items.push(value(bytes, at)?);
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if !fields.is_empty() {
                    take(bytes, at, ",")?;
                    skip(bytes, at);
                }
                let name = string(bytes, at)?;
                skip(bytes, at);
                take(bytes, at, ":")?;
                fields.push((name, value(bytes, at)?));
            }
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            (!text.is_empty()).then(|| Json::Number(text.to_owned()))
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    take(bytes, at, "\"")?;
    let mut found = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(found).ok();
            }
            b'\\' => {
                let letter = *bytes.get(*at + 1)?;
                *at += 2;
                match letter {
                    b'n' => found.push(b'\n'),
                    b't' => found.push(b'\t'),
                    b'r' => found.push(b'\r'),
                    b'b' => found.push(8),
                    b'f' => found.push(12),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        *at += 4;
                        let letter = char::from_u32(code).unwrap_or('?');
                        found.extend(letter.to_string().bytes());
                    }
                    other => found.push(other),
                }
            }
            byte => {
                found.push(byte);
                *at += 1;
            }
        }
    }
}
