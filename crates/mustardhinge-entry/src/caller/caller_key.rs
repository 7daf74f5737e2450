use std::fmt;

use mustardhinge_core::key::KeyDigest;

/// The shortest key that is looked for inside statements, in bytes; a shorter
/// one would match by chance.
const MIN_SCANNED_KEY_BYTES: usize = 8;

/// The key that a caller showed; it is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey {
    text: String,
    digest: KeyDigest,
}

impl CallerKey {
    /// Takes the key that a caller sent; none if it sent an empty one.
    #[must_use]
    pub fn new(text: String) -> Option<Self> {
        if text.is_empty() {
            return None;
        }
        let digest = KeyDigest::of(text.as_bytes());
        Some(Self { text, digest })
    }

    /// Returns the digest under which the key is known.
    #[must_use]
    pub fn digest(&self) -> &KeyDigest {
        &self.digest
    }

    /// Tells whether `bytes` hold the key.
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
