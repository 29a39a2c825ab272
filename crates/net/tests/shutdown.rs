//! The stages of a shutdown, without a network: servers, connections and requests in any order.
#![allow(clippy::unwrap_used)]

use std::future::Future;

use crocustally_net::ConnectionGuard;
use crocustally_net::ListenerGuard;
use crocustally_net::RequestGuard;
use crocustally_net::Shutdown;
use crocustally_net::ShutdownStage;
use futures_lite::future::block_on;
use futures_lite::future::poll_once;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STAGES: [ShutdownStage; 3] =
    [ShutdownStage::Callers, ShutdownStage::Peers, ShutdownStage::Observers];
const SEEDS: u64 = 2_000;
const STEPS: usize = 400;

fn is_ready(f: impl Future<Output = ()>) -> bool {
    block_on(poll_once(f)).is_some()
}

/// A server as the daemons have one for each stage. It accepts until its stage begins, and each of its
/// connections may open requests until it is closed.
struct Server {
    shutdown: Shutdown,
    listener: Option<ListenerGuard>,
    connections: Vec<(ConnectionGuard, Option<RequestGuard>)>,
}

impl Server {
    fn new(shutdown: &Shutdown, stage: ShutdownStage) -> Self {
        let shutdown = shutdown.in_stage(stage);
        Self { listener: Some(shutdown.track_listener()), connections: Vec::new(), shutdown }
    }

    fn is_closed(&self) -> bool {
        self.listener.is_none() && self.connections.is_empty()
    }

    fn step(&mut self, rng: &mut ChaCha8Rng) {
        let closing = self.shutdown.stage_has_begun();
        match rng.random_range(0..6) {
            0 | 1 if self.listener.is_some() => {
                self.connections.push((self.shutdown.track_connection(), None));
            }
            2 | 3 if closing => self.listener = None,
            _ if self.connections.is_empty() => {}
            n => {
                let i = rng.random_range(0..self.connections.len());
                let (_, request) = &mut self.connections[i];
                match request {
                    None if n == 4 => *request = Some(self.shutdown.track_request()),
                    None => drop(self.connections.swap_remove(i)),
                    Some(_) => *request = None,
                }
            }
        }
    }
}

/// Guards against a process that exits, or closes the servers of a later stage, while a listener of an
/// earlier stage still accepts or one of its connections is open (requests cut off in a planned stop).
#[test]
fn stage_begins_once_all_servers_before_it_are_closed() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shutdown = Shutdown::default();
        let mut servers = STAGES.map(|stage| Server::new(&shutdown, stage));
        let requested_at = rng.random_range(0..STEPS / 4);
        for step in 0..STEPS {
            if step >= requested_at {
                // Later requests, as by a second SIGTERM, change nothing.
                shutdown.request();
            }
            let i = rng.random_range(0..servers.len());
            servers[i].step(&mut rng);
            let requested = step >= requested_at;
            for (i, server) in servers.iter().enumerate() {
                let earlier_closed = servers[..i].iter().all(Server::is_closed);
                let begun = is_ready(server.shutdown.stage_begins());
                // Peers and observers open requests as well, which only the first stage waits for.
                let requests = shutdown.request_count() > 0;
                let expected = requested && earlier_closed && (i == 0 || !requests);
                assert_eq!(begun, expected, "seed {seed}, step {step}, stage {i} begins");
                let ended = is_ready(server.shutdown.stage_ended());
                let expected = expected && server.is_closed() && !requests;
                assert_eq!(ended, expected, "seed {seed}, step {step}, stage {i} ends");
            }
        }
    }
}

/// Guards against a waiter that is not woken by the last connection, listener or request, and a process
/// that never exits.
#[test]
fn last_of_a_stage_wakes_those_who_wait_for_its_end() {
    let shutdown = Shutdown::default();
    let peers = shutdown.in_stage(ShutdownStage::Peers);
    let (listener, connection) = (shutdown.track_listener(), shutdown.track_connection());
    let (request, peer) = (shutdown.track_request(), peers.track_connection());
    let waiting = std::thread::spawn(move || block_on(peers.stage_ended()));
    let pause = || std::thread::sleep(std::time::Duration::from_millis(20));
    pause();
    shutdown.request();
    for guard in [Box::new(listener) as Box<dyn Send>, Box::new(connection), Box::new(request)] {
        pause();
        assert!(!waiting.is_finished());
        drop(guard);
    }
    pause();
    assert!(!waiting.is_finished(), "a connection of a peer is open");
    drop(peer);
    waiting.join().unwrap();
}
