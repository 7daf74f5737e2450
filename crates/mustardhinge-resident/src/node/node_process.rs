use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use mustardhinge_core::membership::{DrainPhase, DrainSchedule};
use mustardhinge_core::primary_lease::{ClaimOrder, LeaderElection};
use mustardhinge_process::event;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{NodeSettings, NodeState};
use crate::adapter::{PlatformClient, SessionCodec};
use crate::control::{
    ControlState, exchange_shares, follow_evacuations, follow_plan, follow_targets,
    release_leadership, run_control, serve_peers, serve_relay,
};
use crate::session::CallerSession;

/// Time for the last answers to be sent before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(150);
/// Interval of the checks whether the last session has ended, and delay after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of these checks at the end of a stop.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    /// phases of [`DrainSchedule`].
    pub async fn stop(&self) {
        let node = &self.control.node;
        let began_at = node.clock.now();
        event::DRAIN_STARTED.log(format_args!("callers={}", node.open_sessions.get()));
        let grace = node.limits.get().stop_grace;
        node.begin_drain(DrainSchedule::new(began_at, grace));
        node.leader_request_due.notify_one();
        let mut release = std::pin::pin!(release_leadership(&self.control, grace / 2));
        let mut is_released = false;
        loop {
            let phase = node.advance_drain(node.clock.now());
            let is_idle = is_released && !self.has_work();
            if phase == DrainPhase::Finishing || phase >= DrainPhase::Closing && is_idle {
                break;
            }
            tokio::select! {
                () = &mut release, if !is_released => is_released = true,
                () = sleep(POLL_INTERVAL) => {}
            }
        }
        let finishing_at = node.clock.now();
        while self.has_work() && node.clock.now().saturating_since(finishing_at) < FLUSH_TIME {
            sleep(FLUSH_POLL_INTERVAL).await;
        }
        event::PROCESS_STOPPING.log(format_args!(
            "callers={} forwarded={}",
            node.open_sessions.get(),
            node.forwarded_work.get()
        ));
        // The last responses are still being sent.
        sleep(POLL_INTERVAL).await;
    }

    fn has_work(&self) -> bool {
        let node = &self.control.node;
        node.open_sessions.get() > 0 || node.forwarded_work.get() > 0
    }
}

/// Accepts callers until a planned stop refuses them.
async fn accept_callers<W: SessionCodec>(node: Rc<NodeState>, listener: TcpListener) {
    let mut drain = node.subscribe_drain();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain.wait_for(|phase| *phase >= DrainPhase::Refusing) => return,
        };
        match accepted {
            Ok((stream, _)) => accept_caller::<W>(&node, stream),
            Err(error) => {
                event::CALLER_NOT_ACCEPTED.log(format_args!("error={:?}", error.to_string()));
                sleep(POLL_INTERVAL).await;
            }
        }
    }
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
    spawn_local(CallerSession::<W>::new(Rc::clone(node), stream).serve());
}
