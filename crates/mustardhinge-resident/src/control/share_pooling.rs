//! The exchange of shares of customers' rates within a zone while there is no leader.

use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::rate_limit::{LoanOutcome, ShareDeposit, ShareLoan};
use tokio::time::sleep;

use super::peer_exchange::send_leader_hint;
use super::{ControlState, PeerMessage, ShareDepositMessage};

/// Interval between checks whether the instance is isolated, without overload control.
const OFF_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between checks before a started instance counts as isolated.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Lends shares to the pool of the zone and requests loans from it while the instance is isolated,
/// until the process ends.
pub async fn exchange_shares<P>(control: Rc<ControlState<P>>) {
    loop {
        let wait = send_share_message(&control, control.node.clock.now());
        tokio::select! {
            () = sleep(wait) => {}
            () = control.node.share_loan_due.notified() => {}
        }
    }
}

/// Ends the pool that this instance keeps, and its own exchange, after a response of a leader.
pub(super) fn end_share_pool<P>(control: &ControlState<P>) {
    control.share_pool.borrow_mut().end();
    control.node.share_exchange.borrow_mut().end();
}

/// Sends the message that is due, and returns the time until the next one may be.
fn send_share_message<P>(control: &ControlState<P>, now: MonotonicTime) -> Duration {
    let node = &control.node;
    if !node.overload_control().is_on() {
        return OFF_CHECK_INTERVAL;
    }
    let mut exchange = node.share_exchange.borrow_mut();
    let mut allowances = node.allowances.borrow_mut();
    if !allowances.uses_shares(now) {
        let until_isolated = allowances.time_until_isolated(now);
        return if until_isolated.is_zero() {
            START_CHECK_INTERVAL
        } else {
            // The instance is isolated only after the end of the interval.
            until_isolated + Duration::from_millis(1)
        };
    }
    if exchange.expire(now) {
        count_loans("lost", 1);
    }
    let Some(deposit) = exchange.next_message(&mut allowances, node.instances(), now) else {
        return exchange.wait(now);
    };
    drop(allowances);
    let wait = exchange.wait(now);
    drop(exchange);
    if !deposit.deposits.is_empty() {
        metrics::counter!("resident_share_deposits_total").increment(1);
    }
    if deposit.attempt > 0 {
        metrics::counter!("resident_share_repeats_total").increment(1);
    }
    send_deposit(control, deposit, now);
    wait
}

/// Sends a message to the instance that keeps the pool, or handles it if that is this instance.
fn send_deposit<P>(control: &ControlState<P>, deposit: ShareDeposit, now: MonotonicTime) {
    let own = control.node.settings.peer_address;
    match control.pool_keeper.get().filter(|keeper| *keeper != own) {
        Some(keeper) => {
            let message = ShareDepositMessage {
                address: own,
                deposit,
            };
            control.send(&PeerMessage::ShareDeposit(message), keeper);
        }
        None => {
            let loan = control.share_pool.borrow_mut().exchange(&deposit, now);
            if let Some(loan) = loan {
                handle_share_loan(control, &loan);
            }
        }
    }
}

/// Adds another instance's deposits to the pool and sends the response.
///
/// An instance that has a leader keeps no pool, and names the leader instead.
pub(super) fn handle_share_deposit<P>(control: &ControlState<P>, message: &ShareDepositMessage) {
    let node = &control.node;
    let now = node.clock.now();
    let is_overdue = node.allowances.borrow().is_leader_overdue(now);
    let loan = if is_overdue {
        control
            .share_pool
            .borrow_mut()
            .exchange(&message.deposit, now)
    } else {
        if let Some(leader) = node.election.borrow().known_leader() {
            send_leader_hint(control, leader, message.address);
        }
        Some(ShareLoan::closed(&message.deposit))
    };
    if let Some(loan) = loan {
        control.send(&PeerMessage::ShareLoan(loan), message.address);
    }
}

/// Applies the pool's response and wakes the operations that wait for it.
pub(super) fn handle_share_loan<P>(control: &ControlState<P>, loan: &ShareLoan) {
    let node = &control.node;
    let now = node.clock.now();
    let mut exchange = node.share_exchange.borrow_mut();
    let outcome = exchange.accept(loan, &mut node.allowances.borrow_mut(), now);
    drop(exchange);
    match outcome {
        Some(LoanOutcome::Answered { lent, missing }) => {
            count_loans("lent", lent);
            count_loans("missing", missing);
        }
        Some(LoanOutcome::Closed) => {
            count_loans("closed", 1);
            node.leader_request_due.notify_one();
        }
        None => return,
    }
    node.allowances_changed.notify_waiters();
    // Requests that arose since go into the next message.
    node.share_loan_due.notify_one();
}

fn count_loans(result: &'static str, count: u32) {
    if count > 0 {
        metrics::counter!("resident_share_loans_total", "result" => result)
            .increment(u64::from(count));
    }
}
