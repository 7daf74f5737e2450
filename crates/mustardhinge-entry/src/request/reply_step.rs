use crate::wire::tags;

/// Expected reply to one frame of an extended-protocol batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStep {
    /// ParseComplete, forwarded to the caller.
    Parse,
    /// ParseComplete of a statement that the entry prepared; not forwarded.
    HiddenParse,
    /// ParseComplete that the entry sends; the target sends none.
    LocalParse,
    /// CloseComplete that the entry sends; the target sends none.
    LocalClose,
    /// CloseComplete, forwarded to the caller.
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
    /// Returns whether the target sends nothing for this step.
    #[must_use]
    pub fn is_local(self) -> bool {
        matches!(self, Self::LocalParse | Self::LocalClose)
    }

    /// Returns whether a frame of this type ends the step.
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
            Self::LocalParse | Self::LocalClose => false,
        }
    }
}
