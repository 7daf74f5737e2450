use std::net::SocketAddr;

/// How an instance sends statements to a target that has gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayRoute {
    /// They are forwarded to the gateway at this address.
    Forward(SocketAddr),
    /// The instance is itself the gateway and connects directly.
    Own,
    /// No gateway can be used, so the instance connects directly.
    Fallback,
}
