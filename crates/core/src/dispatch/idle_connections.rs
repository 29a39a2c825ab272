//! [`IdleConnections`]: what a pool knows of the connections to its endpoints.

use std::fmt::Debug;
use std::net::SocketAddr;

/// Idle connections of a gateway, by the address of the endpoint.
pub trait IdleConnections: Debug + Send + Sync {
    /// Number of idle connections to the endpoint that can be used.
    fn idle_connections(&self, address: SocketAddr) -> usize;
}
