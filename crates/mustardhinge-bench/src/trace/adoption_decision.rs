use mustardhinge_core::document::{AdoptionOutcome, AdoptionTable};
use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::TraceDecision;

/// An empty table needs no setup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdoptionSetup {}

/// A document that somebody offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdoptionInput {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: u64,
    /// The document.
    pub document: String,
}

/// Replays into [`AdoptionTable`]: which versions come into force.
#[derive(Debug)]
pub struct AdoptionDecision {
    table: AdoptionTable<String>,
}

impl TraceDecision for AdoptionDecision {
    const NAME: &'static str = "adoption_table";
    type Setup = AdoptionSetup;
    type Input = AdoptionInput;

    fn start(_: AdoptionSetup) -> anyhow::Result<Self> {
        Ok(Self {
            table: AdoptionTable::default(),
        })
    }

    fn apply(&mut self, input: AdoptionInput, _: MonotonicTime) -> anyhow::Result<Vec<String>> {
        let version = DocumentVersion::new(input.version);
        let outcome = self.table.offer(&input.service, version, input.document);
        let outcome = match outcome {
            AdoptionOutcome::Adopted => "adopted",
            AdoptionOutcome::Known => "known",
            AdoptionOutcome::Older => "older, ignored",
        };
        let in_force = self.table.get_document(&input.service);
        let in_force = in_force.map_or("none", |known| known.document.as_str());
        Ok(vec![format!("{outcome}; {in_force:?} is in force")])
    }
}
