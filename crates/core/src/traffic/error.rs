//! [`PolicyError`]: validation errors of a traffic policy.

use std::fmt;

/// Reason why a policy document is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// The document cannot be decoded.
    Malformed(String),
    /// A route refers to a service that the policy does not define.
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    DuplicateRoute {
        /// Name of the second route.
        route: String,
    },
    /// The target weights of a route add up to 0.
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// The path prefix of a route does not begin and end with a slash.
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
    /// A figure of a service's engines is out of range.
    InvalidEngine {
        /// Name of the service.
        service: String,
        /// What is out of range.
        figure: &'static str,
    },
    /// Two workspaces have the same API key.
    DuplicateKey {
        /// Name of the second workspace.
        workspace: String,
    },
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(detail) => write!(f, "malformed: {detail}"),
            Self::UnknownService { route, service } => {
                write!(f, "route {route:?} names service {service:?}, which does not exist")
            }
            Self::DuplicateRoute { route } => {
                write!(f, "route {route:?} has the host and prefix of another route")
            }
            Self::ZeroWeight { route } => write!(f, "the weights of route {route:?} add up to 0"),
            Self::ZeroTimeout { route } => write!(f, "route {route:?} has a timeout of 0"),
            Self::InvalidPrefix { route } => {
                write!(f, "the prefix of route {route:?} does not begin and end with a slash")
            }
            Self::InvalidEngine { service, figure } => {
                write!(f, "the {figure} of the engines of service {service:?} is out of range")
            }
            Self::DuplicateKey { workspace } => {
                write!(f, "a key of workspace {workspace:?} belongs to another one as well")
            }
        }
    }
}
