use std::collections::VecDeque;

use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;

use super::{CallerStream, CallerTransaction};
use crate::request::{CallerRequest, ReplyStep};
use crate::wire::{FrameError, FrameStream, WireFrame};

/// Name of the ParameterStatus that carries a session's read token.
const TOKEN_PARAMETER: &str = "mustardhinge.token";

/// Queues ReadyForQuery with the status of the caller's transaction.
pub(super) fn queue_ready<S: CallerStream>(
    stream: &mut FrameStream<S>,
    transaction: &CallerTransaction,
) -> Result<(), FrameError> {
    let status = match transaction {
        CallerTransaction::Idle => TransactionStatus::Idle,
        CallerTransaction::Open(_) => TransactionStatus::Transaction,
        CallerTransaction::Failed(_) | CallerTransaction::Lost => TransactionStatus::Error,
    };
    stream.queue_message(&ReadyForQuery::new(status))
}

/// Queues a ParameterStatus with a session's read token.
pub(super) fn queue_token<S: CallerStream>(
    stream: &mut FrameStream<S>,
    token: &str,
) -> Result<(), FrameError> {
    let status = ParameterStatus::new(TOKEN_PARAMETER.to_owned(), token.to_owned());
    stream.queue_message(&status)
}

/// Encodes the response of a request that the entry completes without a target.
///
/// `tag` is the command tag; `None` for an empty statement.
pub(super) fn local_response(
    request: &CallerRequest,
    tag: Option<&str>,
) -> Result<Vec<WireFrame>, FrameError> {
    let steps = match &request.batch {
        Some(plan) => plan.visible_steps(),
        None => VecDeque::from([ReplyStep::Execute]),
    };
    encode_replies(steps, tag)
}

/// Encodes the replies of these steps, without rows.
pub(super) fn encode_replies(
    steps: VecDeque<ReplyStep>,
    tag: Option<&str>,
) -> Result<Vec<WireFrame>, FrameError> {
    let mut frames = Vec::new();
    for step in steps {
        match step {
            ReplyStep::HiddenParse => {}
            ReplyStep::Parse | ReplyStep::LocalParse => {
                frames.push(WireFrame::encode(&ParseComplete::new())?);
            }
            ReplyStep::Close | ReplyStep::LocalClose => {
                frames.push(WireFrame::encode(&CloseComplete::new())?);
            }
            ReplyStep::Bind => frames.push(WireFrame::encode(&BindComplete::new())?),
            ReplyStep::Describe => frames.push(WireFrame::encode(&NoData::new())?),
            ReplyStep::DescribeStatement => {
                frames.push(WireFrame::encode(&ParameterDescription::new(Vec::new()))?);
                frames.push(WireFrame::encode(&NoData::new())?);
            }
            ReplyStep::Execute => frames.push(completion(tag)?),
        }
    }
    Ok(frames)
}

fn completion(tag: Option<&str>) -> Result<WireFrame, FrameError> {
    match tag {
        Some(tag) => WireFrame::encode(&CommandComplete::new(tag.to_owned())),
        None => WireFrame::encode(&EmptyQueryResponse::new()),
    }
}
