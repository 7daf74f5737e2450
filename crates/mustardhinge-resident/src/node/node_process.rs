use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use mustardhinge_core::membership::{DrainAction, DrainMachine, DrainSchedule, IntakeState};
use mustardhinge_core::primary_lease::{ClaimOrder, LeaderElection};
use mustardhinge_process::event;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{NodeSettings, NodeState, SessionGuard};
use crate::adapter::{PlatformClient, SessionCodec};
use crate::control::{
    ControlState, exchange_shares, follow_evacuations, follow_plan, follow_targets,
    release_leadership, run_control, serve_peers, serve_relay,
};
use crate::session::CallerSession;

/// Interval of the checks for remaining work while callers are accepted, and delay after a failed
/// accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of these checks once no more callers are accepted.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of callers that are taken from the queue of the listener; the operating system's
/// default length of this queue.
const MAX_QUEUED_CALLERS: usize = 4_096;

/// A running instance: its listeners and its control state.
#[derive(Debug)]
pub struct NodeProcess<P> {
    control: Rc<ControlState<P>>,
    listener: Option<TcpListener>,
    relay: Option<TcpListener>,
}

impl<P: PlatformClient> NodeProcess<P> {
    /// Binds the addresses of an instance. `incarnation` is different in each process of it.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn open(
        settings: NodeSettings,
        platform: P,
        incarnation: u64,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(settings.caller_address).await;
        let listener =
            listener.with_context(|| format!("listening at {}", settings.caller_address))?;
        let relay = TcpListener::bind(settings.peer_address).await;
        let relay = relay.with_context(|| format!("listening at {}", settings.peer_address))?;
        let socket = UdpSocket::bind(settings.peer_address).await;
        let socket =
            socket.with_context(|| format!("binding UDP socket {}", settings.peer_address))?;
        let claim_order = ClaimOrder::for_instance(settings.cpu_centicores, incarnation);
        let election = LeaderElection::new(
            settings.instance.clone(),
            incarnation,
            settings.peer_address,
            0,
        )
        .with_claim_order(claim_order);
        let node = Rc::new(NodeState::new(settings, election, incarnation));
        let control = Rc::new(ControlState::new(node, platform, socket, incarnation));
        Ok(Self {
            control,
            listener: Some(listener),
            relay: Some(relay),
        })
    }

    /// Returns the state of the instance.
    #[must_use]
    pub fn node(&self) -> Rc<NodeState> {
        Rc::clone(&self.control.node)
    }

    /// Returns the platform client.
    #[must_use]
    pub fn platform(&self) -> &P {
        &self.control.platform
    }

    /// Starts serving, with tasks on the current thread.
    pub fn start<W: SessionCodec>(&mut self) {
        let control = &self.control;
        spawn_local(follow_plan(Rc::clone(control)));
        spawn_local(follow_targets(Rc::clone(control)));
        spawn_local(follow_evacuations(Rc::clone(control)));
        spawn_local(run_control::<W, P>(Rc::clone(control)));
        spawn_local(serve_peers(Rc::clone(control)));
        spawn_local(exchange_shares(Rc::clone(control)));
        if let Some(relay) = self.relay.take() {
            spawn_local(serve_relay::<W, P>(Rc::clone(control), relay));
        }
        if let Some(listener) = self.listener.take() {
            spawn_local(accept_callers::<W>(Rc::clone(&control.node), listener));
        }
    }

    /// Stops the instance as planned: resigns leadership, and ends sessions and transactions in the
    /// phases of [`DrainSchedule`]. [`DrainMachine`] decides when it is done.
    pub async fn stop(&self) {
        let node = &self.control.node;
        let began_at = node.clock.now();
        event::DRAIN_STARTED.log(format_args!("callers={}", node.open_sessions.get()));
        let grace = node.limits.get().stop_grace;
        let mut schedule = DrainSchedule::new(began_at, grace);
        node.begin_drain(schedule);
        node.leader_request_due.notify_one();
        let mut machine = DrainMachine::default();
        let mut release = std::pin::pin!(release_leadership(&self.control, grace / 2));
        let mut is_releasing = true;
        loop {
            let now = node.clock.now();
            schedule = node.advance_drain(now).unwrap_or(schedule);
            if node.intake() == IntakeState::Closed {
                machine.record_closed_intake();
            }
            match machine.step(schedule, node.drain_work(is_releasing), now) {
                DrainAction::End => break,
                DrainAction::CloseIntake => node.set_intake(IntakeState::Closing),
                DrainAction::Continue => {}
            }
            let interval = match machine.intake() {
                IntakeState::Open => POLL_INTERVAL,
                IntakeState::Closing | IntakeState::Closed => END_POLL_INTERVAL,
            };
            tokio::select! {
                () = &mut release, if is_releasing => is_releasing = false,
                () = sleep(interval) => {}
            }
        }
        event::PROCESS_STOPPING.log(format_args!(
            "callers={} forwarded={} unsent={}",
            node.open_sessions.get(),
            node.forwarded_work.get(),
            node.unsent_frames.get()
        ));
    }
}

/// Accepts callers until a planned stop closes the listener.
async fn accept_callers<W: SessionCodec>(node: Rc<NodeState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.wait_for_closed_intake() => break,
        };
        match accepted {
            Ok((stream, _)) => accept_caller::<W>(&node, stream),
            Err(error) => {
                event::CALLER_NOT_ACCEPTED.log(format_args!("error={:?}", error.to_string()));
                sleep(POLL_INTERVAL).await;
            }
        }
    }
    let queued = match accept_queued::<W>(&node, listener) {
        Ok(queued) => queued,
        Err(error) => {
            event::CALLER_NOT_ACCEPTED.log(format_args!("error={:?}", error.to_string()));
            0
        }
    };
    node.set_intake(IntakeState::Closed);
    event::INTAKE_CLOSED.log(format_args!(
        "callers={} queued={queued}",
        node.open_sessions.get()
    ));
}

/// Accepts the callers that the operating system has connected, and closes the listener. Closing it
/// alone would reset their connections. Returns their number.
fn accept_queued<W: SessionCodec>(
    node: &Rc<NodeState>,
    listener: TcpListener,
) -> std::io::Result<usize> {
    let listener = listener.into_std()?;
    let mut queued = 0;
    while queued < MAX_QUEUED_CALLERS {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                accept_caller::<W>(node, TcpStream::from_std(stream)?);
                queued += 1;
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(queued)
}

fn accept_caller<W: SessionCodec>(node: &Rc<NodeState>, stream: TcpStream) {
    if node.open_sessions.get() >= node.limits.get().max_callers {
        event::CALLER_NOT_ACCEPTED.log(format_args!("callers={}", node.open_sessions.get()));
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller disconnected during accept: {error}");
        return;
    }
    let guard = SessionGuard::new(node);
    let session = CallerSession::<W>::new(Rc::clone(node), stream);
    spawn_local(async move {
        session.serve().await;
        drop(guard);
    });
}
