use mustardhinge_core::prelude::LogPosition;

use super::reply_rows::ReplyRows;

/// What a statement that ran answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StatementReply {
    /// The rows.
    pub(super) rows: ReplyRows,
    /// The tag of CommandComplete.
    pub(super) tag: String,
    /// The position of the commit that came with it, if that wrote.
    pub(super) position: Option<LogPosition>,
    /// Whether it was a call that may change the group.
    pub(super) is_group_change: bool,
}

impl StatementReply {
    /// Makes the reply of a statement without rows.
    pub(super) fn command(tag: &str) -> Self {
        Self {
            rows: ReplyRows::None,
            tag: tag.to_owned(),
            position: None,
            is_group_change: false,
        }
    }

    /// Makes the reply of a statement with rows of text.
    pub(super) fn rows(rows: Vec<Vec<String>>) -> Self {
        let tag = format!("SELECT {}", rows.len());
        Self {
            rows: ReplyRows::Texts(rows),
            ..Self::command(&tag)
        }
    }
}
