//! [`EndpointClients`]: the HTTP clients of all endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crocustally_core::dispatch::IdleConnections;
use crocustally_net::Abandonment;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::Runtime;

/// Timeout for opening a connection to an endpoint: many times the delay between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections that are kept to one endpoint: a gateway rarely has more requests at one at a time,
/// and with some hundred endpoints they stay far below the descriptors of a process.
const IDLE_MAX: usize = 4;

/// HTTP clients by the address of the endpoint.
#[derive(Debug)]
pub(crate) struct EndpointClients {
    rt: Runtime,
    /// Longest time for which an idle connection is kept.
    idle_timeout: Duration,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

impl EndpointClients {
    pub(crate) fn new(rt: &Runtime, idle_timeout: Duration) -> Self {
        Self { rt: rt.clone(), idle_timeout, clients: Mutex::new(HashMap::new()) }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<HttpClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The client of an endpoint, created if needed.
    pub(crate) fn client(&self, address: SocketAddr) -> Arc<HttpClient> {
        let create = || {
            let cfg = HttpClientSettings {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: self.idle_timeout,
                idle_max: IDLE_MAX,
                abandonment: Abandonment::OwnerReset,
            };
            Arc::new(HttpClient::with_settings(&self.rt, address, cfg))
        };
        self.lock().entry(address).or_insert_with(create).clone()
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn discard_idle(&self, address: SocketAddr) {
        let client = self.lock().get(&address).cloned();
        if let Some(client) = client {
            client.discard_idle();
        }
    }
}

impl IdleConnections for EndpointClients {
    fn idle_connections(&self, address: SocketAddr) -> usize {
        self.lock().get(&address).map_or(0, |client| client.idle_connections())
    }
}
