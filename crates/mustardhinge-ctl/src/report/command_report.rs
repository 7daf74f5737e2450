use serde::Serialize;
use serde_json::Value;

/// What a command that was done prints.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl CommandReport {
    /// Makes a report of `value`, told to people as `text`.
    #[must_use]
    pub fn new(text: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            // The values are structures of texts and numbers.
            json: serde_json::to_value(value).unwrap_or_default(),
        }
    }

    /// Returns what is printed.
    #[must_use]
    pub fn print(&self, is_json: bool) -> String {
        if is_json {
            format!("{}\n", self.json)
        } else if self.text.ends_with('\n') {
            self.text.clone()
        } else {
            format!("{}\n", self.text)
        }
    }
}
