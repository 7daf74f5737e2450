use std::io::Read;

use mustardhinge_core::key::KeyDigest;
use serde_json::json;

use crate::error::CtlError;
use crate::report::CommandReport;

/// The greatest length of a key, in bytes.
const MAX_KEY_BYTES: u64 = 4096;

/// Reads a key, without the end of its line, and returns its digest.
pub(super) fn read_digest(input: impl Read) -> Result<KeyDigest, CtlError> {
    let mut key = Vec::new();
    input
        .take(MAX_KEY_BYTES + 1)
        .read_to_end(&mut key)
        .map_err(|error| CtlError::usage(format!("the key can't be read: {error}")))?;
    while key.last().is_some_and(|byte| matches!(byte, b'\n' | b'\r')) {
        key.pop();
    }
    if key.is_empty() {
        return Err(CtlError::usage("standard input holds no key"));
    }
    if key.contains(&b'\n') {
        return Err(CtlError::usage("standard input holds more than one line"));
    }
    if u64::try_from(key.len()).unwrap_or(u64::MAX) > MAX_KEY_BYTES {
        let message = format!("a key is at most {MAX_KEY_BYTES} bytes long");
        return Err(CtlError::usage(message));
    }
    Ok(KeyDigest::of(&key))
}

/// Prints the digest of a key.
pub(super) fn report_digest(input: impl Read) -> Result<CommandReport, CtlError> {
    let digest = read_digest(input)?;
    Ok(CommandReport::new(
        digest.to_string(),
        &json!({"digest": digest}),
    ))
}
