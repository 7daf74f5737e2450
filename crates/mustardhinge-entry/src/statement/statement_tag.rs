use mustardhinge_core::prelude::*;

/// Attributes that a caller attaches to a statement in a comment.
///
/// The format is that of sqlcommenter:
/// `/*route='catalogue',request_id='r-17'*/`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementTag {
    /// Route of the statement.
    pub route: Option<RouteName>,
    /// Id of the request, under which a retry finds its recorded response.
    pub request_id: Option<RequestId>,
}

impl StatementTag {
    /// Reads the attributes from the body of a comment; ignores unknown keys.
    pub(super) fn read_comment(&mut self, comment: &str) {
        for pair in comment.split(',') {
            let Some((key, value)) = pair.split_once('=') else {
                continue;
            };
            let value = value.trim().trim_matches('\'');
            match key.trim() {
                "route" => self.route = value.parse().ok(),
                "request_id" => self.request_id = value.parse().ok(),
                _ => {}
            }
        }
    }
}
