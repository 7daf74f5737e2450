use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use pgwire::messages::Message;
use pgwire::messages::extendedquery::{
    Bind, Close, Describe, Execute, Parse, Sync, TARGET_TYPE_BYTE_STATEMENT,
};

use super::{PreparedStatement, ReplyStep, StatementCache};
use crate::target::TargetConnection;
use crate::wire::{CheckedMessage, ErrorReply, FrameError, WireFrame, tags};

/// SQLSTATE of an unknown prepared statement.
const NO_STATEMENT_SQLSTATE: &str = "26000";

/// SQLSTATE of an unknown portal.
const NO_PORTAL_SQLSTATE: &str = "34000";

/// Step of a batch, independent of the connection that will run it.
#[derive(Clone, Debug)]
pub enum PlannedFrame {
    /// Prepares the statement unless the connection already has it.
    Prepare {
        /// The statement.
        statement: Arc<PreparedStatement>,
        /// Whether the caller sent the Parse and expects ParseComplete.
        is_visible: bool,
    },
    /// Sends the frame; the target replies with this step.
    Send(WireFrame, ReplyStep),
    /// Sends nothing; the entry replies to the caller with this step.
    Reply(ReplyStep),
}

/// Frames of an extended-protocol batch, ready for any connection.
#[derive(Clone, Debug, Default)]
pub struct BatchPlan {
    frames: Vec<PlannedFrame>,
    executed: Vec<Arc<PreparedStatement>>,
    described: Vec<Arc<PreparedStatement>>,
    parsed: HashSet<Option<String>>,
}

impl BatchPlan {
    /// Plans the frames of a batch, without its Sync.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if a frame is malformed or refers to an
    /// unknown statement or portal.
    pub fn new(frames: &[WireFrame], cache: &mut StatementCache) -> Result<Self, ErrorReply> {
        let mut plan = Self::default();
        for frame in frames {
            match frame.tag() {
                tags::PARSE => plan.add_parse(&decode(frame)?, cache)?,
                tags::BIND => plan.add_bind(decode(frame)?, cache)?,
                tags::DESCRIBE => plan.add_describe(decode(frame)?, frame, cache)?,
                tags::EXECUTE => plan.add_execute(&decode(frame)?, frame, cache)?,
                tags::CLOSE => plan.add_close(&decode(frame)?, frame, cache),
                _ => {}
            }
        }
        Ok(plan)
    }

    /// Returns the frames in order.
    #[must_use]
    pub fn frames(&self) -> &[PlannedFrame] {
        &self.frames
    }

    /// Returns the statements that the batch executes.
    #[must_use]
    pub fn executed(&self) -> &[Arc<PreparedStatement>] {
        &self.executed
    }

    /// Returns the statements that the batch parses or describes.
    #[must_use]
    pub fn described(&self) -> &[Arc<PreparedStatement>] {
        &self.described
    }

    /// Returns whether the entry can answer the batch without a target.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.frames
            .iter()
            .all(|frame| matches!(frame, PlannedFrame::Reply(_)))
    }

    /// Returns the replies that the caller expects, in order.
    #[must_use]
    pub fn visible_steps(&self) -> VecDeque<ReplyStep> {
        let step_of = |frame: &PlannedFrame| match frame {
            PlannedFrame::Prepare { is_visible, .. } => is_visible.then_some(ReplyStep::Parse),
            PlannedFrame::Send(_, step) | PlannedFrame::Reply(step) => Some(*step),
        };
        self.frames.iter().filter_map(step_of).collect()
    }

    /// Queues the batch and a Sync on a connection and returns the expected
    /// replies.
    ///
    /// # Errors
    ///
    /// Returns an error if a message can't be encoded.
    pub fn queue_on(
        &self,
        connection: &mut TargetConnection,
    ) -> Result<VecDeque<ReplyStep>, FrameError> {
        let mut steps = VecDeque::new();
        for frame in &self.frames {
            match frame {
                PlannedFrame::Prepare {
                    statement,
                    is_visible,
                } => queue_prepare(connection, statement, *is_visible, &mut steps),
                PlannedFrame::Send(frame, step) => {
                    connection.stream().queue_frame(frame);
                    steps.push_back(*step);
                }
                PlannedFrame::Reply(step) => steps.push_back(*step),
            }
        }
        connection.stream().queue_message(&Sync::new())?;
        Ok(steps)
    }

    fn add_parse(&mut self, parse: &Parse, cache: &mut StatementCache) -> Result<(), ErrorReply> {
        let statement = cache.prepare(parse).map_err(|error| malformed(&error))?;
        self.parsed.insert(statement.target_name().cloned());
        self.described.push(Arc::clone(&statement));
        self.frames.push(PlannedFrame::Prepare {
            statement,
            is_visible: true,
        });
        Ok(())
    }

    fn add_bind(&mut self, bind: Bind, cache: &mut StatementCache) -> Result<(), ErrorReply> {
        let statement = find_statement(bind.statement_name.as_ref(), cache)?;
        self.ensure_prepared(&statement);
        cache.open_portal(bind.portal_name.as_ref(), &statement);
        let mut renamed = bind;
        renamed.statement_name = statement.target_name().cloned();
        self.send(&renamed, ReplyStep::Bind)
    }

    fn add_describe(
        &mut self,
        describe: Describe,
        frame: &WireFrame,
        cache: &StatementCache,
    ) -> Result<(), ErrorReply> {
        if describe.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let step = ReplyStep::Describe;
            self.frames.push(PlannedFrame::Send(frame.clone(), step));
            return Ok(());
        }
        let statement = find_statement(describe.name.as_ref(), cache)?;
        self.ensure_prepared(&statement);
        self.described.push(Arc::clone(&statement));
        let mut renamed = describe;
        renamed.name = statement.target_name().cloned();
        self.send(&renamed, ReplyStep::DescribeStatement)
    }

    fn add_execute(
        &mut self,
        execute: &Execute,
        frame: &WireFrame,
        cache: &StatementCache,
    ) -> Result<(), ErrorReply> {
        let statement = cache.portal(execute.name.as_ref()).ok_or_else(|| {
            let name = execute.name.as_deref().unwrap_or_default();
            let message = format!("portal {name:?} does not exist");
            ErrorReply::new(NO_PORTAL_SQLSTATE, message)
        })?;
        self.executed.push(statement);
        let step = ReplyStep::Execute;
        self.frames.push(PlannedFrame::Send(frame.clone(), step));
        Ok(())
    }

    fn add_close(&mut self, close: &Close, frame: &WireFrame, cache: &mut StatementCache) {
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            cache.close_statement(close.name.as_ref());
            let step = ReplyStep::LocalClose;
            self.frames.push(PlannedFrame::Reply(step));
        } else {
            let step = ReplyStep::Close;
            self.frames.push(PlannedFrame::Send(frame.clone(), step));
        }
    }

    fn ensure_prepared(&mut self, statement: &Arc<PreparedStatement>) {
        if self.parsed.insert(statement.target_name().cloned()) {
            self.frames.push(PlannedFrame::Prepare {
                statement: Arc::clone(statement),
                is_visible: false,
            });
        }
    }

    fn send(&mut self, message: &impl Message, step: ReplyStep) -> Result<(), ErrorReply> {
        let frame = WireFrame::encode(message).map_err(|error| malformed(&error))?;
        self.frames.push(PlannedFrame::Send(frame, step));
        Ok(())
    }
}

fn queue_prepare(
    connection: &mut TargetConnection,
    statement: &PreparedStatement,
    is_visible: bool,
    steps: &mut VecDeque<ReplyStep>,
) {
    let name = statement.target_name();
    if name.is_some_and(|name| connection.has_prepared(name)) {
        if is_visible {
            steps.push_back(ReplyStep::LocalParse);
        }
        return;
    }
    connection.stream().queue_frame(statement.frame());
    if let Some(name) = name {
        connection.record_prepared(name);
    }
    steps.push_back(if is_visible {
        ReplyStep::Parse
    } else {
        ReplyStep::HiddenParse
    });
}

fn find_statement(
    name: Option<&String>,
    cache: &StatementCache,
) -> Result<Arc<PreparedStatement>, ErrorReply> {
    cache.statement(name).ok_or_else(|| {
        let name = name.map_or("", String::as_str);
        let message = format!("prepared statement {name:?} does not exist");
        ErrorReply::new(NO_STATEMENT_SQLSTATE, message)
    })
}

fn decode<M: CheckedMessage>(frame: &WireFrame) -> Result<M, ErrorReply> {
    frame.decode().map_err(|error| malformed(&error))
}

fn malformed(error: &FrameError) -> ErrorReply {
    ErrorReply::new("08P01", error.to_string())
}
