use mustardhinge_core::prelude::*;
use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Writes a [`MonotonicTime`] as a number of microseconds.
#[derive(Clone, Copy, Debug)]
pub struct TimeMicros;

impl SerializeAs<MonotonicTime> for TimeMicros {
    fn serialize_as<S: Serializer>(time: &MonotonicTime, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(time.as_micros())
    }
}

impl<'de> DeserializeAs<'de, MonotonicTime> for TimeMicros {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<MonotonicTime, D::Error> {
        u64::deserialize(deserializer).map(MonotonicTime::from_micros)
    }
}
