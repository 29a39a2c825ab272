//! [`RankAgent`]: reads one engine, reports, and carries out orders.

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
use crocustally_net::Channel;
use crocustally_net::Clock;
use crocustally_net::HttpClient;
use crocustally_net::HttpClientSettings;
use crocustally_net::Runtime;
use crocustally_net::Shutdown;
use crocustally_net::sleep;
use crocustally_net::timeout;
use crocustally_wire::ExpertList;
use crocustally_wire::OrderResult;
use crocustally_wire::RankLoad;
use crocustally_wire::RankOrder;
use crocustally_wire::RankOrders;
use crocustally_wire::RankReport;
use crocustally_wire::SetMap;
use crocustally_wire::control_client::ControlClient;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;

use crate::EngineDialect;
use crate::EngineOrder;
use crate::EngineState;
use crate::LeaderSearch;
use crate::RankSettings;

/// Least time between two readings of the counters: passes take longer.
const COUNT_PERIOD: Duration = Duration::from_millis(30);
/// Pause after an engine or a coordinator that does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for an answer of the engine beside the agent.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for the answer to an order: an engine answers at once or carries it out later.
const ORDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for the coordinator's answer, and the age of a report at which its orders lapse.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);

/// The agent beside one engine.
pub struct RankAgent {
    cfg: RankSettings,
    rt: Runtime,
    clock: Arc<dyn Clock>,
    dialect: Arc<dyn EngineDialect>,
    search: Mutex<LeaderSearch>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

/// What the agent has read of its engine.
#[derive(Clone, Debug, Default)]
struct Reading {
    state: EngineState,
    counters: CounterReader,
    choices: Option<SelectionCounts>,
    counted: Option<Instant>,
    experts: Option<HeldExperts>,
}

/// Experts of the rank, set by set, under one map.
#[derive(Clone, Debug)]
struct HeldExperts {
    /// Epoch of the group and version of the map.
    map: (u64, u64),
    sets: Vec<Vec<ExpertId>>,
}

impl RankAgent {
    /// Starts an agent; it works until the process ends.
    pub fn start(
        rt: &Runtime,
        cfg: RankSettings,
        clock: Arc<dyn Clock>,
        shutdown: Shutdown,
        dialect: Arc<dyn EngineDialect>,
    ) -> Arc<Self> {
        let search = Mutex::new(LeaderSearch::new(&cfg.controls));
        let clients = Mutex::new(HashMap::new());
        let agent = Arc::new(Self { cfg, rt: rt.clone(), clock, dialect, search, clients });
        rt.spawn(agent.clone().run(shutdown));
        agent
    }

    /// Takes the control instances of new settings.
    pub fn follow(&self, controls: &[SocketAddr]) {
        self.search().learn(controls);
    }

    fn search(&self) -> MutexGuard<'_, LeaderSearch> {
        self.search.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Self>, shutdown: Shutdown) {
        let mut reading = Reading::default();
        let mut results = Vec::new();
        let mut coordinator: Option<(SocketAddr, ControlClient<Channel>)> = None;
        while !shutdown.is_requested() {
            if !self.read(&mut reading).await {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            let read_at = self.clock.now();
            let next = coordinator.take().or_else(|| {
                let next = self.search().next(read_at);
                next.map(|address| self.connect(address))
            });
            let Some((address, mut client)) = next else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let report = self.report(&reading, std::mem::take(&mut results));
            reading.choices = None;
            let Some(Ok(orders)) = timeout(REPORT_TIMEOUT, client.attend(report)).await else {
                log::warn!(control = address.to_string().as_str(); "coordinator does not answer");
                self.search().silent(self.clock.now(), address);
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let RankOrders { code, leader, orders } = orders.into_inner();
            if code != 0 {
                let leader: Option<SocketAddr> = leader.parse().ok();
                let leader = leader.and_then(|l| self.search().told(self.clock.now(), l));
                match leader {
                    Some(leader) => coordinator = Some(self.connect(leader)),
                    None => sleep(RETRY_PAUSE).await,
                }
                continue;
            }
            for order in orders {
                if self.clock.now().saturating_duration_since(read_at) > REPORT_TIMEOUT {
                    log::warn!(number = order.number; "order came too late");
                    break;
                }
                let outcome = self.carry_out(&order).await;
                results.push(OrderResult { number: order.number, outcome });
            }
            coordinator = Some((address, client));
        }
    }

    fn connect(&self, address: SocketAddr) -> (SocketAddr, ControlClient<Channel>) {
        let channel = Channel::new(&self.rt, address);
        (address, ControlClient::with_origin(channel.clone(), channel.origin()))
    }

    /// Reads the engine; false when it does not answer or is no rank.
    async fn read(&self, reading: &mut Reading) -> bool {
        let engine = self.cfg.engine;
        let Some(body) = self.get(engine, self.dialect.state_path()).await else { return false };
        let Some(state) = self.dialect.state(&body) else {
            log::warn!(bytes = body.len(); "engine state not readable");
            return false;
        };
        if state.group.is_none() {
            return false;
        }
        if state.view.epoch != reading.state.view.epoch
            || state.view.open != reading.state.view.open
        {
            log::info!(
                group = state.group.as_deref(), rank = state.view.rank, size = state.view.size,
                epoch = state.view.epoch, open = state.view.open, map = state.view.map;
                "group changed"
            );
        }
        reading.state = state;
        let now = self.clock.now();
        let due =
            reading.counted.is_none_or(|at| now.saturating_duration_since(at) >= COUNT_PERIOD);
        if due && let Some(body) = self.get(engine, self.dialect.counters_path()).await {
            let counters = self.dialect.counters(&body);
            reading.choices = counters.and_then(|c| reading.counters.read(c));
            reading.counted = Some(now);
        }
        let view = &reading.state.view;
        let key = (view.epoch, view.map);
        if reading.experts.as_ref().is_none_or(|held| held.map != key) {
            reading.experts = None;
            if let Some(body) = self.get(engine, self.dialect.experts_path()).await
                && let Some((version, sets)) = self.dialect.experts(&body)
                && version == key.1
            {
                reading.experts = Some(HeldExperts { map: key, sets });
            }
        }
        true
    }

    fn report(&self, reading: &Reading, results: Vec<OrderResult>) -> RankReport {
        let state = &reading.state;
        let view = &state.view;
        let address = self.cfg.engine.to_string();
        let choices = reading.choices.clone().unwrap_or_default();
        let (armed, armed_step) = view.armed.unwrap_or_default();
        let experts = reading.experts.as_ref().map(|h| h.sets.as_slice()).unwrap_or_default();
        let list =
            |l: &Vec<ExpertId>| ExpertList { experts: l.iter().map(|e| u32::from(e.0)).collect() };
        RankReport {
            agent: self.cfg.name.clone(),
            address: address.clone(),
            service: self.cfg.service.clone(),
            rank: view.rank as u32,
            size: view.size as u32,
            load: Some(RankLoad {
                address,
                group: state.group.clone().unwrap_or_default(),
                epoch: view.epoch,
                open: view.open,
                running: state.running,
                queued: state.queued,
                step: view.step,
                map: view.map,
                ..RankLoad::default()
            }),
            prepared: view.prepared.unwrap_or_default(),
            armed,
            armed_step,
            held: view.held,
            counts: choices.counts,
            counted_from: choices.from,
            counted_to: choices.to,
            experts: experts.iter().map(list).collect(),
            results,
        }
    }

    /// Carries out an order; answers what became of it, as [`OrderResult`] has it.
    async fn carry_out(&self, order: &RankOrder) -> u32 {
        let Ok(address) = order.address.parse() else { return 3 };
        let sets: Vec<Vec<Vec<u32>>> = order.sets.iter().map(set_ranks).collect();
        let (version, step) = (order.version, order.step);
        let engine_order = match order.kind {
            1 => EngineOrder::Prepare { version, sets: &sets },
            2 => EngineOrder::Arm { version, step },
            3 => EngineOrder::Hold { step },
            _ => EngineOrder::Go { step },
        };
        let body = self.dialect.order(order.epoch, engine_order);
        let call = self.call(address, Method::POST, self.dialect.order_path(), body);
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
        let call = self.call(address, Method::GET, path, Bytes::new());
        let (status, body) = timeout(ENGINE_TIMEOUT, call).await.flatten()?;
        status.is_success().then_some(body)
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let client = self.client(address);
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .ok()?;
        let (answer, conn) = client.send(req, false).await.ok()?;
        let status = answer.status();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        client.put_idle(conn);
        Some((status, body))
    }

    fn client(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || {
            let cfg = HttpClientSettings {
                connect_timeout: ENGINE_TIMEOUT,
                ..HttpClientSettings::default()
            };
            Arc::new(HttpClient::with_settings(&self.rt, address, cfg))
        };
        clients.entry(address).or_insert_with(fresh).clone()
    }
}

fn set_ranks(set: &SetMap) -> Vec<Vec<u32>> {
    set.ranks.iter().map(|r| r.experts.clone()).collect()
}
