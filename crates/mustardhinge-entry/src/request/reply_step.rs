use crate::wire::tags;

/// A reply that the target owes in the extended protocol, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStep {
    /// ParseComplete, which the caller gets.
    Parse,
    /// ParseComplete of a statement that the entry prepared; the caller gets none.
    HiddenParse,
    /// ParseComplete that the caller gets though the target sends none.
    AnsweredParse,
    /// CloseComplete that the caller gets though the target sends none.
    AnsweredClose,
    /// CloseComplete, which the caller gets.
    Close,
    /// BindComplete.
    Bind,
    /// RowDescription or NoData of a portal.
    Describe,
    /// ParameterDescription, then RowDescription or NoData of a statement.
    DescribeStatement,
    /// Rows, then CommandComplete, EmptyQueryResponse or PortalSuspended.
    Execute,
}

impl ReplyStep {
    /// Tells whether the target sends nothing for this step.
    #[must_use]
    pub fn is_answered_here(self) -> bool {
        matches!(self, Self::AnsweredParse | Self::AnsweredClose)
    }

    /// Tells whether a frame of this type ends the step.
    #[must_use]
    pub fn ends_with(self, tag: u8) -> bool {
        match self {
            Self::Parse | Self::HiddenParse => tag == tags::PARSE_COMPLETE,
            Self::Bind => tag == tags::BIND_COMPLETE,
            Self::Close => tag == tags::CLOSE_COMPLETE,
            Self::Describe | Self::DescribeStatement => {
                tag == tags::ROW_DESCRIPTION || tag == tags::NO_DATA
            }
            Self::Execute => matches!(
                tag,
                tags::COMMAND_COMPLETE | tags::EMPTY_QUERY | tags::PORTAL_SUSPENDED
            ),
            Self::AnsweredParse | Self::AnsweredClose => false,
        }
    }
}
