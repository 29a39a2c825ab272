//! [`RankAgent`]: reads the state of one engine, reports it and executes orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crocustally_core::experts::CounterReader;
use crocustally_core::experts::ExpertId;
use crocustally_core::experts::SelectionCounts;
use crocustally_net::BufferBudget;
use crocustally_net::Channel;
use crocustally_net::Clock;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::collect_body;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::ExpertList;
use crocustally_wire::OrderResult;
use crocustally_wire::Placement;
use crocustally_wire::RankLoad;
use crocustally_wire::RankOrder;
use crocustally_wire::RankOrders;
use crocustally_wire::RankReport;
use crocustally_wire::SetPlacement;
use crocustally_wire::control_client::ControlClient;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use prost::Message as _;

use crate::EngineDialect;
use crate::EngineOrder;
use crate::EngineState;
use crate::LeaderSearch;
use crate::RankSettings;

/// Minimum time between two reads of the counters. Forward passes take longer.
const COUNTER_READ_INTERVAL_MIN: Duration = Duration::from_millis(30);
/// Delay after a failed read of the engine or a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Ranks of a group up to which all reports carry counters. In a larger one, a round of such reports
/// takes the coordinator longer than a forward pass.
const RANKS_WITH_ALL_COUNTERS_MAX: usize = 32;
/// Delay after a redirect to the leader.
const REDIRECT_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a request to the local engine, and of connecting to any engine.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of an order to an engine. Engines reply at once, also to orders that take time.
const ORDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a report, and the age of a report at which the orders in its reply expire.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum length of an engine's response, in bytes: several times the counters of 61 layers of 256 experts.
const ENGINE_BODY_MAX: usize = 1024 * 1024;

/// The agent of one engine.
pub struct RankAgent {
    cfg: RankSettings,
    /// Memory for the bodies of engines' responses.
    buffers: BufferBudget,
    rt: Runtime,
    clock: Arc<dyn Clock>,
    dialect: Arc<dyn EngineDialect>,
    search: Mutex<LeaderSearch>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

/// The state last read from the engine.
#[derive(Clone, Debug, Default)]
struct Reading {
    state: EngineState,
    counters: CounterReader,
    selections: Option<SelectionCounts>,
    counters_read_at: Option<Instant>,
    experts: Option<RankExperts>,
}

/// The experts of the rank under one map.
#[derive(Clone, Debug)]
struct RankExperts {
    /// Epoch of the group and version of the map.
    map: (u64, u64),
    /// Experts by layer set.
    sets: Vec<Vec<ExpertId>>,
}

impl RankAgent {
    /// Starts an agent, which runs until shutdown.
    pub fn start(
        rt: &Runtime,
        cfg: RankSettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
        dialect: Arc<dyn EngineDialect>,
    ) -> Arc<Self> {
        let search = Mutex::new(LeaderSearch::new(&cfg.controls));
        let clients = Mutex::new(HashMap::new());
        let buffers = BufferBudget::of_process(cfg.memory_mb);
        let agent =
            Arc::new(Self { cfg, buffers, rt: rt.clone(), clock, dialect, search, clients });
        rt.spawn(agent.clone().run(shutdown));
        agent
    }

    /// Adds control instances from changed settings.
    pub fn add_controls(&self, controls: &[SocketAddr]) {
        self.search().add_instances(controls);
    }

    fn search(&self) -> MutexGuard<'_, LeaderSearch> {
        self.search.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Self>, shutdown: Shutdown) {
        let mut reading = Reading::default();
        let mut results = Vec::new();
        let mut coordinator: Option<(SocketAddr, ControlClient<Channel>)> = None;
        // Term and block of versions of the redirect that the next report follows.
        let mut redirect: Option<(u64, u64)> = None;
        // Epoch and version of the map whose experts the coordinator knows.
        let mut reported_map: Option<(u64, u64)> = None;
        while !shutdown.is_requested() {
            if !self.read(&mut reading, !results.is_empty()).await {
                sleep(RETRY_DELAY).await;
                continue;
            }
            let read_at = self.clock.now();
            let next = coordinator.take().or_else(|| {
                let next = self.search().next_instance(read_at);
                next.map(|address| self.connect(address))
            });
            let Some((address, mut client)) = next else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let mut report = self.report(&reading, std::mem::take(&mut results));
            (report.term, report.block) = redirect.take().unwrap_or_default();
            let map = reading.experts.as_ref().map(|e| e.map);
            if map.is_some() && map == reported_map {
                report.experts.clear();
            }
            reported_map = map;
            reading.selections = None;
            let Some(Ok(orders)) = timeout(REPORT_TIMEOUT, client.attend(report)).await else {
                reported_map = None;
                log::warn!(control = address.to_string().as_str(); "report to coordinator failed");
                self.search().record_timeout(self.clock.now(), address);
                sleep(RETRY_DELAY).await;
                continue;
            };
            let RankOrders { code, leader, orders, term, block, experts_unknown } =
                orders.into_inner();
            if experts_unknown {
                reported_map = None;
            }
            if code != 0 {
                reported_map = None;
                let leader: Option<SocketAddr> = leader.parse().ok();
                let leader =
                    leader.and_then(|l| self.search().redirect_target(self.clock.now(), l));
                match leader {
                    Some(leader) => {
                        coordinator = Some(self.connect(leader));
                        redirect = Some((term, block));
                    }
                    None => sleep(RETRY_DELAY).await,
                }
                // Two instances that redirect to each other would keep the agent busy.
                if block == 0 {
                    sleep(REDIRECT_DELAY).await;
                }
                continue;
            }
            // Orders that were taken are carried out before the process exits.
            let _orders_guard = shutdown.track_request();
            for order in orders {
                if self.clock.now().saturating_duration_since(read_at) > REPORT_TIMEOUT {
                    log::warn!(number = order.number; "order expired");
                    break;
                }
                let outcome = self.execute(&order).await;
                results.push(OrderResult { number: order.number, outcome });
            }
            coordinator = Some((address, client));
        }
    }

    fn connect(&self, address: SocketAddr) -> (SocketAddr, ControlClient<Channel>) {
        let channel = Channel::new(&self.rt, address);
        (address, ControlClient::with_origin(channel.clone(), channel.origin()))
    }

    /// Reads the engine's state, and its counters and experts when due. In a large group, the
    /// counters are left out while a switch may be waiting for the report: after orders, and while it
    /// is armed.
    ///
    /// Returns false if the state cannot be read or the engine is not a rank.
    async fn read(&self, reading: &mut Reading, after_orders: bool) -> bool {
        let engine = self.cfg.engine;
        let Some(body) = self.get(engine, self.dialect.state_path()).await else { return false };
        let Some(state) = self.dialect.decode_state(&body) else {
            log::warn!(bytes = body.len(); "malformed engine state");
            return false;
        };
        if state.group.is_none() {
            return false;
        }
        if state.status.epoch != reading.state.status.epoch
            || state.status.open != reading.state.status.open
        {
            log::info!(
                group = state.group.as_deref(), rank = state.status.rank, size = state.status.size,
                epoch = state.status.epoch, open = state.status.open, map = state.status.map;
                "group changed"
            );
        }
        reading.state = state;
        let now = self.clock.now();
        let status = &reading.state.status;
        let awaited =
            status.size > RANKS_WITH_ALL_COUNTERS_MAX && (after_orders || status.armed.is_some());
        let due = !awaited
            && reading
                .counters_read_at
                .is_none_or(|at| now.saturating_duration_since(at) >= COUNTER_READ_INTERVAL_MIN);
        if due && let Some(body) = self.get(engine, self.dialect.counters_path()).await {
            let counters = self.dialect.decode_counters(&body);
            reading.selections = counters.and_then(|c| reading.counters.read(c));
            reading.counters_read_at = Some(now);
        }
        let status = &reading.state.status;
        let key = (status.epoch, status.map);
        if reading.experts.as_ref().is_none_or(|e| e.map != key) {
            reading.experts = None;
            if let Some(body) = self.get(engine, self.dialect.experts_path()).await
                && let Some((version, sets)) = self.dialect.decode_experts(&body)
                && version == key.1
            {
                reading.experts = Some(RankExperts { map: key, sets });
            }
        }
        true
    }

    fn report(&self, reading: &Reading, results: Vec<OrderResult>) -> RankReport {
        let state = &reading.state;
        let status = &state.status;
        let address = self.cfg.engine.to_string();
        let selections = reading.selections.clone().unwrap_or_default();
        let (armed, armed_step) = status.armed.unwrap_or_default();
        let experts = reading.experts.as_ref().map(|h| h.sets.as_slice()).unwrap_or_default();
        let list =
            |l: &Vec<ExpertId>| ExpertList { experts: l.iter().map(|e| u32::from(e.0)).collect() };
        RankReport {
            agent: self.cfg.name.clone(),
            address: address.clone(),
            service: self.cfg.service.clone(),
            rank: status.rank as u32,
            size: status.size as u32,
            load: Some(RankLoad {
                address,
                group: state.group.clone().unwrap_or_default(),
                epoch: status.epoch,
                open: status.open,
                running: state.running,
                queued: state.queued,
                step: status.step,
                map: status.map,
                ..RankLoad::default()
            }),
            prepared: status.prepared.unwrap_or_default(),
            armed,
            armed_step,
            held: status.held,
            counts: selections.counts,
            counted_from: selections.from,
            counted_to: selections.to,
            experts: experts.iter().map(list).collect(),
            results,
            ..RankReport::default()
        }
    }

    /// Sends an order to its engine and returns the outcome as encoded in [`OrderResult`].
    async fn execute(&self, order: &RankOrder) -> u32 {
        let Ok(address) = order.address.parse() else { return 3 };
        let Ok(placement) = Placement::decode(order.placement.clone()) else {
            log::warn!(number = order.number; "malformed placement in an order");
            return 3;
        };
        let sets: Vec<Vec<Vec<u32>>> = placement.sets.iter().map(experts_by_rank).collect();
        let (version, step) = (order.version, order.step);
        let engine_order = match order.kind {
            1 => EngineOrder::Prepare { version, sets: &sets },
            2 => EngineOrder::Arm { version, step },
            3 => EngineOrder::Hold { step },
            _ => EngineOrder::Go { step },
        };
        let body = self.dialect.encode_order(order.epoch, engine_order);
        // Responses of engines carry no id, so a late second copy of an earlier one would be taken for the
        // response to the order. Nothing has been sent over a new connection before.
        let call = self.call(address, Method::POST, self.dialect.order_path(), body, true);
        let status = timeout(ORDER_TIMEOUT, call).await.flatten().map(|(status, _)| status);
        log::info!(
            kind = order.kind, version = version, step = step, epoch = order.epoch,
            engine = order.address.as_str(), status = status.map(|s| s.as_u16());
            "order"
        );
        match status {
            None => 4,
            Some(StatusCode::ACCEPTED) => 1,
            Some(s) if s.is_success() => 2,
            Some(_) => 3,
        }
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let call = self.call(address, Method::GET, path, Bytes::new(), false);
        let (status, body) = timeout(ENGINE_TIMEOUT, call).await.flatten()?;
        status.is_success().then_some(body)
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        new_connection: bool,
    ) -> Option<(StatusCode, Bytes)> {
        let client = self.client(address);
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .ok()?;
        let (response, conn) = client.send(req, new_connection).await.ok()?;
        let status = response.status();
        let body =
            match collect_body(&mut response.into_body(), ENGINE_BODY_MAX, &self.buffers).await {
                Ok(body) => body,
                Err(e) => {
                    log::warn!(engine = address.to_string().as_str(), path = path; "{e}");
                    return None;
                }
            };
        client.put_idle(conn);
        Some((status, body))
    }

    fn client(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let connect = || {
            let cfg = HttpClientSettings {
                connect_timeout: ENGINE_TIMEOUT,
                ..HttpClientSettings::default()
            };
            Arc::new(HttpClient::with_settings(&self.rt, address, cfg))
        };
        clients.entry(address).or_insert_with(connect).clone()
    }
}

/// Experts of a set by rank. Counts beyond the listed experts are cut.
fn experts_by_rank(set: &SetPlacement) -> Vec<Vec<u32>> {
    let mut experts = set.experts.iter().copied();
    set.counts.iter().map(|n| experts.by_ref().take(*n as usize).collect()).collect()
}
