//! The HTTP API for operators, documented in `docs/OPERATOR-API.md`.

mod api_error;
mod document_writer;
mod group_endpoints;
mod instance_endpoints;
mod operator_context;
mod operator_server;
mod service_endpoints;
mod status_report;
mod update_attempt;

pub(crate) use operator_context::OperatorContext;
pub(crate) use operator_server::OperatorServer;

use api_error::ApiError;
use document_writer::DocumentWriter;
