use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use mustardhinge_core::explain::{ExplainQuery, RequestKind};
use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::MonotonicTime;

use crate::group::GroupState;
use crate::node::NodeState;
use crate::plan::{PlanRoute, ReadRule};
use crate::session::SessionRequest;

/// What is the same for all steps of one report.
pub(super) struct ExplainContext<'a> {
    pub(super) node: &'a NodeState,
    pub(super) group: Rc<GroupState>,
    pub(super) request: SessionRequest,
    pub(super) overload: OverloadControl,
    pub(super) now: MonotonicTime,
}

impl<'a> ExplainContext<'a> {
    /// Creates the context of a request that arrives at `now`, in a new session.
    pub(super) fn new(
        node: &'a NodeState,
        query: &ExplainQuery,
        route: Rc<PlanRoute>,
        now: MonotonicTime,
    ) -> Self {
        let group = node.find_group(&route.service);
        // The request path creates a missing group. Here it stays detached from the node.
        let group = group.unwrap_or_else(|| Rc::new(GroupState::new(route.service.clone())));
        let homes = node.plan().home_regions(&route, &query.customer);
        let request = SessionRequest {
            id: Bytes::new(),
            text: Bytes::new(),
            name: None,
            writes: query.kind == RequestKind::Write,
            route,
            customer: query.customer.clone(),
            homes,
            session: 0,
            received_at: now,
            last_attempt: RefCell::new(None),
            begins: Cell::new(query.kind == RequestKind::Begin),
        };
        Self {
            node,
            group,
            request,
            overload: node.current_overload_control(),
            now,
        }
    }

    /// Returns whether the request runs at the primary only.
    pub(super) fn is_at_primary(&self) -> bool {
        self.request.writes
            || self.request.begins.get()
            || self.request.route.read_rule == ReadRule::Primary
    }
}
