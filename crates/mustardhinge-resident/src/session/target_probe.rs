use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::CustomerId;
use mustardhinge_process::event;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::adapter::{ProxyStatement, SessionCodec, StatusReport};
use crate::node::NodeState;
use crate::target::{AnswerTime, LinkError, TargetHandle, TargetLink, TargetReply};

/// Who the proxy says it is when it acts for no customer.
const CONTROL_NAME: &str = "control";
/// How long a question to a target may take; many times the usual.
const STATUS_LIMIT: Duration = Duration::from_millis(400);
/// Pause between two probes of a target that fails.
const PROBE_EVERY: Duration = Duration::from_millis(200);

/// Asks a target for its role and position, over a connection of its own.
///
/// # Errors
///
/// Fails if the target is not reached or doesn't answer in time.
pub async fn ask_status<W: SessionCodec>(
    target: &TargetHandle,
    statement: &ProxyStatement,
) -> Result<(Option<StatusReport>, TargetReply), LinkError> {
    let Ok(control) = CONTROL_NAME.parse::<CustomerId>() else {
        return Err(LinkError::Closed);
    };
    let (mut link, _) = TargetLink::open::<W>(&target.entry(), &control, STATUS_LIMIT).await?;
    W::write_proxy_statement(&mut link.output, statement);
    let time = AnswerTime {
        silence: STATUS_LIMIT,
        limit: STATUS_LIMIT,
        patience: None,
        kind: "status",
    };
    let replies = link.exchange::<W>(1, time, || {}).await?;
    link.say_goodbye::<W>();
    let reply = replies.into_iter().next().ok_or(LinkError::Closed)?;
    Ok((W::read_status(&reply.first_row), reply))
}

/// Probes a target that fails until it answers or is gone; once at a time. Returns whether the
/// probe is new.
pub(super) fn start_probe<W: SessionCodec>(
    node: &Rc<NodeState>,
    target: &Rc<TargetHandle>,
) -> bool {
    if !target.begin_probe() {
        return false;
    }
    let id = target.id();
    event::TARGET_FAILED.log(format_args!(
        "target={id} evidence={:?}",
        target.health().evidence(node.clock.now())
    ));
    let (node, target) = (Rc::clone(node), Rc::clone(target));
    spawn_local(async move {
        let began = node.clock.now();
        while !target.is_gone() && target.health().is_failing() {
            let since = node.clock.now();
            match ask_status::<W>(&target, &ProxyStatement::Status).await {
                Ok((_, reply)) => target.note_answer(reply.position, node.clock.now()),
                Err(error) => {
                    target.note_failure(since, error.is_refusal());
                    sleep(PROBE_EVERY).await;
                }
            }
        }
        target.end_probe();
        event::TARGET_RECOVERED.log(format_args!(
            "target={id} gone={} after_ms={}",
            target.is_gone(),
            node.clock.now().saturating_since(began).as_millis()
        ));
    });
    true
}

/// Begins to probe a target that has been found failing, and tells the holder at once if it is
/// a primary, since its replacement waits for the word of most instances.
pub(crate) fn watch_failure<W: SessionCodec>(node: &Rc<NodeState>, target: &Rc<TargetHandle>) {
    if !target.health().is_failing() {
        return;
    }
    if start_probe::<W>(node, target) && node.is_primary(target) {
        node.leader_request_due.notify_one();
    }
}
