use serde::de::{Deserializer, Error};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

/// Deserializes a list and leaves out the entries that can't be read.
///
/// Each entry is parsed on its own, since one that is too deeply nested or has a number out of range
/// would otherwise fail the whole list. The format has to be JSON.
///
/// # Errors
///
/// Returns an error if the value is not a list.
pub fn readable_entries<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let texts = Vec::<Box<RawValue>>::deserialize(deserializer).map_err(D::Error::custom)?;
    let entries = texts.iter().filter_map(|text| {
        let entry = serde_json::from_str(text.get());
        entry
            .inspect_err(|error| log::warn!("entry of a list ignored: {error}"))
            .ok()
    });
    Ok(entries.collect())
}
