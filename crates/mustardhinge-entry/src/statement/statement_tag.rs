use mustardhinge_core::prelude::*;

/// What a caller says of a statement in a comment, in sqlcommenter's form:
/// `/*route='catalogue',request_id='r-17'*/`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementTag {
    /// The route that the statement takes.
    pub route: Option<RouteName>,
    /// The name of the request, under which a retry finds its recorded answer.
    pub request_id: Option<RequestId>,
}

impl StatementTag {
    /// Takes over what the body of a comment says; unknown keys are ignored.
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
