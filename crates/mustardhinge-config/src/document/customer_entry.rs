use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use mustardhinge_core::key::KeyDigest;

use crate::reader::TableReader;

/// The greatest rate of a customer, in thousandths of requests a second.
const MAX_RATE_MILLIS: u64 = 10_000_000_000;
/// The greatest burst of a customer, in thousandths of requests.
const MAX_BURST_MILLIS: u64 = 10_000_000_000;
/// The smallest burst of a customer, in thousandths: one request.
const MIN_BURST_MILLIS: u64 = 1_000;

/// One customer of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// The name of the customer.
    pub name: CustomerId,
    /// The rate over all instances together.
    pub rate: RequestRate,
    /// The burst over all instances together.
    pub burst: RequestBurst,
    /// Digests of the keys that stand.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
}

impl CustomerEntry {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let name = reader.text("name", "give the customer's name");
        let rate = read_rate(reader);
        let burst = read_burst(reader);
        let keys = reader.hidden_texts("keys", "give the SHA-256 digest, as 64 hexadecimal digits");
        Some(Self {
            name: name?,
            rate: rate?,
            burst: burst?,
            keys,
        })
    }
}

fn read_rate(reader: &mut TableReader<'_>) -> Option<RequestRate> {
    let rate: RequestRate = reader.text("rate", "give it with its unit, such as 40/s")?;
    if rate.as_millis() == 0 || rate.as_millis() > MAX_RATE_MILLIS {
        let greatest = RequestRate::from_millis(MAX_RATE_MILLIS);
        let advice = format!("give a rate above 0/s, at most {greatest}");
        reader.report("rate", format!("{rate} is out of range"), advice);
    }
    Some(rate)
}

fn read_burst(reader: &mut TableReader<'_>) -> Option<RequestBurst> {
    let burst: RequestBurst = reader.text("burst", "give it with its unit, such as 20req")?;
    if !(MIN_BURST_MILLIS..=MAX_BURST_MILLIS).contains(&burst.as_millis()) {
        let least = RequestBurst::from_millis(MIN_BURST_MILLIS);
        let greatest = RequestBurst::from_millis(MAX_BURST_MILLIS);
        let advice = format!("give a burst from {least} to {greatest}");
        reader.report("burst", format!("{burst} is out of range"), advice);
    }
    Some(burst)
}
