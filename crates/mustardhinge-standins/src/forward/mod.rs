//! Forwarding of TCP connections with delays and faults, in place of a network.

mod byte_pump;
mod delay_forwarder;
mod forward_delays;
mod forward_handle;
mod precise_timer;

pub use delay_forwarder::DelayForwarder;
pub use forward_delays::ForwardDelays;
pub use forward_handle::ForwardHandle;
