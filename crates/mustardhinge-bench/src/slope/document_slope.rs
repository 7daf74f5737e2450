use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use anyhow::anyhow;
use mustardhinge_config::document::ServiceDocument;

use super::{ProcessUsage, SlopePoint};

/// The numbers of customers measured.
const CUSTOMER_COUNTS: [u32; 4] = [8, 100, 1_000, 3_000];

/// The documents held while memory is measured.
const HELD_DOCUMENTS: usize = 20;

/// Measures the time to parse and check a document, and its memory.
pub(super) fn measure_documents() -> anyhow::Result<Vec<SlopePoint>> {
    CUSTOMER_COUNTS.into_iter().map(measure_count).collect()
}

fn measure_count(customers: u32) -> anyhow::Result<SlopePoint> {
    let text = make_document(customers)?;
    let before = ProcessUsage::read_own()?.resident_bytes;
    let mut held = Vec::with_capacity(HELD_DOCUMENTS);
    let start = Instant::now();
    for _ in 0..HELD_DOCUMENTS {
        let document = ServiceDocument::parse(&text).map_err(|findings| anyhow!("{findings}"))?;
        held.push(document);
    }
    let time = start.elapsed();
    let after = ProcessUsage::read_own()?.resident_bytes;
    black_box(&held);
    let documents = f64::from(u32::try_from(HELD_DOCUMENTS)?);
    let grown = u32::try_from(after.saturating_sub(before))?;
    Ok(SlopePoint {
        slope: "documents".to_owned(),
        unit: "customer of a document".to_owned(),
        size: customers.into(),
        cpu_us_per_operation: Some(time.as_secs_f64() * 1e6 / documents),
        bytes_per_unit: (grown > 0).then(|| f64::from(grown) / documents / f64::from(customers)),
        platform_calls_per_s: None,
    })
}

fn make_document(customers: u32) -> anyhow::Result<String> {
    let mut text = "service = \"haulage\"\n[group]\nname = \"haulage\"\n".to_owned();
    for server in 1..=3 {
        writeln!(
            text,
            "[[group.target]]\nname = \"db-{server}\"\nzone = \"zone-{server}\"\n\
             address = \"127.0.0.1:{}\"",
            5_400 + server
        )?;
    }
    for customer in 1..=customers {
        writeln!(
            text,
            "[[customer]]\nname = \"customer-{customer}\"\nrate = \"40/s\"\nburst = \"80req\"\n\
             keys = [\"{customer:064x}\"]"
        )?;
    }
    Ok(text)
}
