//! Faults of the network between a stand-in and its peers.

mod link_fault;
mod link_faults;
mod link_gate;

pub use link_fault::LinkFault;
pub use link_faults::LinkFaults;
pub use link_gate::LinkGate;
