use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use mustardhinge_core::primary_lease::LeaderElection;
use mustardhinge_process::event;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{DrainPhase, NodeSettings, NodeState};
use crate::control::{
    ControlState, follow_plan, follow_targets, release_leadership, run_control, serve_peers,
    serve_relay,
};
use crate::seam::{PlatformClient, SessionWire};
use crate::session::CallerSession;

/// Instances differ in how soon they claim the duty by their place among this many.
const CLAIM_RANKS: u32 = 64;
/// How long callers are still taken after a planned stop was announced: until the platform
/// sends no more.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1_500);
/// How often it is looked whether the last session has ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// One instance as a running process.
#[derive(Debug)]
pub struct NodeProcess<P> {
    control: Rc<ControlState<P>>,
    listener: Option<TcpListener>,
    relay: Option<TcpListener>,
}

impl<P: PlatformClient> NodeProcess<P> {
    /// Opens the addresses of an instance; `incarnation` differs in each life of it.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken.
    pub async fn open(
        settings: NodeSettings,
        platform: P,
        incarnation: u64,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(settings.callers).await;
        let listener = listener.with_context(|| format!("listening at {}", settings.callers))?;
        let relay = TcpListener::bind(settings.peers).await;
        let relay = relay.with_context(|| format!("listening at {}", settings.peers))?;
        let socket = UdpSocket::bind(settings.peers).await;
        let socket = socket.with_context(|| format!("datagrams at {}", settings.peers))?;
        let rank = u32::try_from(incarnation % u64::from(CLAIM_RANKS)).unwrap_or(0);
        let duty =
            LeaderElection::new(settings.instance.clone(), incarnation, settings.peers, rank);
        let node = Rc::new(NodeState::new(settings, duty, incarnation));
        let control = Rc::new(ControlState::new(node, platform, socket, incarnation));
        Ok(Self {
            control,
            listener: Some(listener),
            relay: Some(relay),
        })
    }

    /// Returns what the instance knows.
    #[must_use]
    pub fn node(&self) -> Rc<NodeState> {
        Rc::clone(&self.control.node)
    }

    /// Returns the platform.
    #[must_use]
    pub fn platform(&self) -> &P {
        &self.control.platform
    }

    /// Starts to serve, with tasks on the present thread.
    pub fn start<W: SessionWire>(&mut self) {
        let control = &self.control;
        spawn_local(follow_plan(Rc::clone(control)));
        spawn_local(follow_targets(Rc::clone(control)));
        spawn_local(run_control::<W, P>(Rc::clone(control)));
        spawn_local(serve_peers(Rc::clone(control)));
        if let Some(relay) = self.relay.take() {
            spawn_local(serve_relay::<W, P>(Rc::clone(control), relay));
        }
        if let Some(listener) = self.listener.take() {
            spawn_local(accept_callers::<W>(Rc::clone(&control.node), listener));
        }
    }

    /// Stops as planned: gives the duty up, lets callers go between two requests, ends what
    /// is left after half of the grace.
    pub async fn stop(&self) {
        let node = &self.control.node;
        event::DRAIN_STARTED.log(format_args!("callers={}", node.callers.get()));
        node.drain(DrainPhase::Announced);
        node.tell_holder.notify_one();
        release_leadership(&self.control).await;
        sleep(ANNOUNCE_TIME).await;
        node.drain(DrainPhase::Closing);
        let grace = node.limits.get().stop_grace;
        let half = grace / 2;
        self.await_callers(half.saturating_sub(ANNOUNCE_TIME)).await;
        node.drain(DrainPhase::Ending);
        self.await_callers(grace / 4).await;
        event::PROCESS_STOPPING.log(format_args!(
            "callers={} forwarded={}",
            node.callers.get(),
            node.forwarded.get()
        ));
        // The last answers are on their way out.
        sleep(LOOK_EVERY).await;
    }

    async fn await_callers(&self, limit: Duration) {
        let began = self.control.node.clock.now();
        while self.control.node.callers.get() > 0 || self.control.node.forwarded.get() > 0 {
            if self.control.node.clock.now().saturating_since(began) >= limit {
                return;
            }
            sleep(LOOK_EVERY).await;
        }
    }
}

async fn accept_callers<W: SessionWire>(node: Rc<NodeState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept_caller::<W>(&node, stream),
            Err(error) => {
                event::CALLER_NOT_ACCEPTED.log(format_args!("error={:?}", error.to_string()));
                sleep(LOOK_EVERY).await;
            }
        }
    }
}

fn accept_caller<W: SessionWire>(node: &Rc<NodeState>, stream: TcpStream) {
    if node.callers.get() >= node.limits.get().max_callers {
        event::CALLER_NOT_ACCEPTED.log(format_args!("callers={}", node.callers.get()));
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller left at once: {error}");
        return;
    }
    spawn_local(CallerSession::<W>::new(Rc::clone(node), stream).serve());
}
