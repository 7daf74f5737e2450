use std::fmt;

use mustardhinge_core::key::KeyDigest;

/// Minimum length of a key that is searched for in statements, in bytes. A shorter
/// key could match by chance.
const MIN_SCANNED_KEY_BYTES: usize = 8;

/// Key sent by a caller. Its text is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey {
    text: String,
    digest: KeyDigest,
}

impl CallerKey {
    /// Creates a key from the text that a caller sent. Returns `None` if the text is
    /// empty.
    #[must_use]
    pub fn new(text: String) -> Option<Self> {
        if text.is_empty() {
            return None;
        }
        let digest = KeyDigest::of(text.as_bytes());
        Some(Self { text, digest })
    }

    /// Returns the digest that identifies the key.
    #[must_use]
    pub fn digest(&self) -> &KeyDigest {
        &self.digest
    }

    /// Returns whether `bytes` contain the key.
    #[must_use]
    pub fn occurs_in(&self, bytes: &[u8]) -> bool {
        let key = self.text.as_bytes();
        key.len() >= MIN_SCANNED_KEY_BYTES && bytes.windows(key.len()).any(|part| part == key)
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(…)")
    }
}
