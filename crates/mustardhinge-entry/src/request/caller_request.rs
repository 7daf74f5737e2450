use mustardhinge_core::prelude::*;
use pgwire::messages::simplequery::Query;

use super::{BatchPlan, StatementCache};
use crate::statement::{StatementKind, StatementScan, StatementTag};
use crate::wire::{ErrorReply, FrameError, WireFrame, tags};

/// Request of a caller: a simple query, or a batch up to its Sync.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// How the entry treats the request.
    pub kind: StatementKind,
    /// Tag read from the comments of the statements.
    pub tag: StatementTag,
    /// Number of statements that the request executes.
    pub statements: usize,
    /// Whether a statement calls a function that may have side effects.
    pub calls_function: bool,
    /// The Query frame of a simple query.
    pub query: Option<WireFrame>,
    /// The plan of a batch.
    pub batch: Option<BatchPlan>,
}

impl CallerRequest {
    /// Decodes a request from its frames: one Query, or a batch without its Sync.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if a frame is malformed or refers to an
    /// unknown statement or portal.
    pub fn read(frames: &[WireFrame], cache: &mut StatementCache) -> Result<Self, ErrorReply> {
        match frames {
            [query] if query.tag() == tags::QUERY => Self::read_query(query),
            batch => Self::read_batch(batch, cache),
        }
    }

    fn read_query(frame: &WireFrame) -> Result<Self, ErrorReply> {
        let query: Query = frame.decode().map_err(|error| malformed(&error))?;
        let scan = StatementScan::new(&query.query);
        Ok(Self {
            kind: scan.kind,
            tag: scan.tag,
            statements: scan.count,
            calls_function: scan.calls_function,
            query: Some(frame.clone()),
            batch: None,
        })
    }

    fn read_batch(frames: &[WireFrame], cache: &mut StatementCache) -> Result<Self, ErrorReply> {
        let plan = BatchPlan::new(frames, cache)?;
        let scans: Vec<&StatementScan> = plan
            .executed()
            .iter()
            .map(|statement| statement.scan())
            .collect();
        let kind = batch_kind(&scans, &plan);
        let tag = scans.first().map(|scan| scan.tag.clone());
        Ok(Self {
            kind,
            tag: tag.unwrap_or_default(),
            statements: scans.len(),
            calls_function: scans.iter().any(|scan| scan.calls_function),
            query: None,
            batch: Some(plan),
        })
    }

    /// Returns the request id, under which a retry finds the recorded response.
    #[must_use]
    pub fn request_id(&self) -> Option<&RequestId> {
        self.tag.request_id.as_ref()
    }

    /// Returns whether the request executes no statement, only prepares or
    /// describes.
    #[must_use]
    pub fn only_prepares(&self) -> bool {
        self.batch
            .as_ref()
            .is_some_and(|plan| plan.executed().is_empty())
    }
}

fn batch_kind(scans: &[&StatementScan], plan: &BatchPlan) -> StatementKind {
    let kinds: Vec<StatementKind> = scans.iter().map(|scan| scan.kind).collect();
    match kinds.as_slice() {
        [] if plan
            .described()
            .iter()
            .any(|s| s.scan().kind == StatementKind::Unsupported) =>
        {
            StatementKind::Unsupported
        }
        [] => StatementKind::Read,
        [only] => *only,
        several if several.iter().all(|kind| *kind <= StatementKind::Read) => StatementKind::Read,
        several if several.iter().all(|kind| *kind <= StatementKind::Write) => StatementKind::Write,
        _ => StatementKind::Unsupported,
    }
}

fn malformed(error: &FrameError) -> ErrorReply {
    ErrorReply::new("08P01", error.to_string())
}
