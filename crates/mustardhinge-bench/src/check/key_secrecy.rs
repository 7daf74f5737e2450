use super::{RuleName, RuleViolation};
use crate::history::TargetBytes;

/// Finds customers' keys in the bytes that targets received.
///
/// The evidence names the place, not the key.
#[must_use]
pub fn check_key_secrecy(received: &[TargetBytes], keys: &[String]) -> Vec<RuleViolation> {
    received
        .iter()
        .flat_map(|stream| keys.iter().map(move |key| (stream, key)))
        .filter_map(|(stream, key)| {
            let offset = find_bytes(&stream.bytes, key.as_bytes())?;
            let evidence = format!("target {} got a key at byte {offset}", stream.target);
            Some(RuleViolation::new(RuleName::KeySecrecy, evidence))
        })
        .collect()
}

fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    if pattern.is_empty() {
        return None;
    }
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
