use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use crate::units::UnitError;

/// The length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a customer's key. The key itself is never stored.
///
/// The text form is 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x}…)", self.0[0], self.0[1])
    }
}

impl FromStr for KeyDigest {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let malformed = || UnitError::new(text, "a digest of 64 hexadecimal digits");
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(malformed());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(Self(bytes))
    }
}
