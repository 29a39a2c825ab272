//! Tests of prompts that endpoints retain, with simulated time.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crocustally_core::control::PromptPart;
use crocustally_core::dispatch::DispatchDecision;
use crocustally_core::dispatch::DispatchRequest;
use crocustally_core::dispatch::ENTRIES_MAX;
use crocustally_core::dispatch::EarlierSends;
use crocustally_core::dispatch::EndpointWait;
use crocustally_core::dispatch::FirstEvent;
use crocustally_core::dispatch::GatewaySet;
use crocustally_core::dispatch::LimiterSettings;
use crocustally_core::dispatch::MemberKey;
use crocustally_core::dispatch::Pool;
use crocustally_core::dispatch::PoolSettings;
use crocustally_core::dispatch::PromptCache;
use crocustally_core::dispatch::RankState;
use crocustally_core::dispatch::RequestOutcome;
use crocustally_core::dispatch::RetentionCheck;
use crocustally_core::dispatch::RetentionSettings;
use crocustally_core::dispatch::SizedPart;
use crocustally_core::dispatch::StartedPrompt;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::fleet::HeartbeatState;
use crocustally_core::fleet::Registration;
use crocustally_core::traffic::EngineSpec;

const MS: Duration = Duration::from_millis(1);
const TTL: Duration = Duration::from_secs(60);
const SLOTS: u32 = 10;
const PROMPT_TOKENS: u32 = 4000;

fn parts(ids: &[(u64, u32)]) -> Vec<SizedPart> {
    ids.iter().map(|(id, tokens)| SizedPart { part: PromptPart(*id), tokens: *tokens }).collect()
}

/// Parts of a prompt that begins like all others and then has `own`.
fn prompt(own: u64) -> Vec<SizedPart> {
    parts(&[(1, 3000), (own, 1000)])
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: SLOTS,
        step_time: Duration::from_micros(4840),
        step_time_per_request: Duration::from_micros(435),
        prefill_tokens_per_s: 74_800.0,
        steps_per_pass: 7,
        prefill_chunk_tokens: 512,
        mean_prompt_tokens: 835,
        mean_response_tokens: 97,
        kv_capacity_tokens: 411_666,
        layer_sets: 0,
        experts_per_set: 0,
        expert_slots_per_set: 0,
        new_experts_per_set_max: 0,
        expert_share: 0.0,
        expert_copy_time: Duration::ZERO,
    }
}

fn retention() -> RetentionSettings {
    RetentionSettings { ttl: TTL, kv_share: 0.5, engine: engine() }
}

fn pool_settings(own: u64, gateways: u64, retention: Option<RetentionSettings>) -> PoolSettings {
    let limiter = LimiterSettings { floor: 1000.0, ceiling: 1000.0, ..Default::default() };
    PoolSettings {
        domain: "d0".to_owned(),
        limiter: Some(limiter),
        gateways: GatewaySet::new(own, 0..gateways, true),
        connections_max: 1000,
        retention,
        seed: own,
        ..PoolSettings::default()
    }
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn registration(now: Instant, n: u8, born_ms: u64) -> Registration {
    let heartbeat = Heartbeat {
        id: format!("e{n}"),
        service: "s".to_owned(),
        address: address(n),
        domain: "d0".to_owned(),
        born_ms,
        sequence: 1,
        slots: SLOTS,
        state: HeartbeatState::Ready,
        cold_remaining: Duration::ZERO,
    };
    Registration { heartbeat, received_at: now, replaced: false }
}

fn report(pool: &mut Pool, now: Instant, n: u8, requests: u32) {
    pool.record_rank_state(
        address(n),
        RankState { open: true, requests, observed_at: now, group: 0 },
    );
}

/// A pool of 8 endpoints, each with `load` requests.
fn pool_with_load(now: Instant, cfg: PoolSettings, load: u32) -> Pool {
    let mut pool = Pool::new(cfg);
    for n in 0..8 {
        pool.update_registration(&registration(now, n, 1));
        report(&mut pool, now, n, load);
    }
    pool
}

fn request(now: Instant, parts: &[SizedPart]) -> DispatchRequest {
    DispatchRequest {
        urgency: 0,
        is_caller_retry: false,
        workspace: 0,
        prompt_tokens: PROMPT_TOKENS,
        max_response_tokens: 0,
        parts: parts.iter().copied().collect(),
        queue_deadline: now,
        late_deadline: now,
        return_time_max: 2500 * MS,
        outage_deadline: now,
        tried: Default::default(),
        earlier: EarlierSends::None,
    }
}

fn send(pool: &mut Pool, now: Instant, parts: &[SizedPart]) -> Option<MemberKey> {
    match pool.dispatch(now, &request(now, parts)) {
        DispatchDecision::Send(key) => Some(key),
        _ => None,
    }
}

fn start(pool: &mut Pool, now: Instant, key: MemberKey, parts: &[SizedPart]) {
    let saved_tokens = pool.believed_saving(now, key, parts);
    let prompt_tokens = PROMPT_TOKENS;
    let prompt = StartedPrompt { parts, prompt_tokens, saved_tokens, latency: 100 * MS };
    pool.response_started(now, key, prompt_tokens, 100 * MS);
    pool.record_prompt_started(now, key, &prompt);
}

/// Sends a prompt and completes it; returns the endpoint, which holds it afterwards.
fn serve(pool: &mut Pool, now: Instant, parts: &[SizedPart]) -> MemberKey {
    let key = send(pool, now, parts).unwrap();
    start(pool, now, key, parts);
    pool.complete(now, key, RequestOutcome::Whole, 100 * MS);
    report_again(pool, now, key);
    key
}

/// Repeats the last report of an endpoint, which then covers all that was sent to it.
fn report_again(pool: &mut Pool, now: Instant, key: MemberKey) {
    let requests = pool.member(key).unwrap().reported_load(now).unwrap();
    let n = key_number(pool, key);
    report(pool, now, n, requests);
}

/// Number of 40 requests with the prompt that go to the endpoint `key`.
fn sent_to(pool: &mut Pool, now: Instant, key: MemberKey, parts: &[SizedPart]) -> usize {
    (0..40)
        .filter(|_| {
            let chosen = send(pool, now, parts).unwrap();
            pool.response_started(now, chosen, PROMPT_TOKENS, 100 * MS);
            pool.complete(now, chosen, RequestOutcome::Unused, Duration::ZERO);
            report_again(pool, now, chosen);
            chosen == key
        })
        .count()
}

fn key_number(pool: &Pool, key: MemberKey) -> u8 {
    pool.member(key).unwrap().registration.heartbeat.id[1..].parse().unwrap()
}

/// Guards against parts counted as held behind a different beginning.
#[test]
fn only_leading_parts_in_order_are_saved() {
    let (now, endpoint) = (Instant::now(), MemberKey(1));
    let mut cache = PromptCache::new(TTL, 100);
    cache.record_sent(now, endpoint, &parts(&[(1, 10), (2, 20), (3, 30)]), 1000);
    let saved = |ids: &[(u64, u32)]| cache.saved(now, endpoint, &parts(ids));
    assert_eq!(saved(&[(1, 10), (2, 20), (4, 40)]), 30);
    assert_eq!(saved(&[(1, 10), (2, 20), (3, 30), (4, 40)]), 60);
    assert_eq!(saved(&[(2, 20), (3, 30)]), 0);
    assert_eq!(saved(&[(1, 10), (3, 30)]), 10);
    assert_eq!(cache.saved(now, MemberKey(2), &parts(&[(1, 10)])), 0);
}

/// Guards against a session that does not return to the endpoint that holds it.
#[test]
fn prompt_returns_to_the_endpoint_that_holds_it() {
    let now = Instant::now();
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(retention())), 3);
    let key = serve(&mut pool, now, &prompt(7));
    assert_eq!(sent_to(&mut pool, now, key, &prompt(7)), 40);
}

/// Guards against a change of behavior where the settings do not mention retention.
#[test]
fn without_the_setting_the_same_endpoints_are_chosen_as_without_parts() {
    let now = Instant::now();
    let mut choices = Vec::new();
    for prompt in [prompt(7), Vec::new()] {
        let mut pool = pool_with_load(now, pool_settings(0, 1, None), 3);
        let keys: Vec<MemberKey> = (0..40).map(|_| serve(&mut pool, now, &prompt)).collect();
        choices.push(keys);
    }
    assert_eq!(choices[0], choices[1]);
}

/// Hot prefix: guards against gateways that send all requests with a common beginning to the endpoint
/// that they know to hold it. All reports are 200 ms old.
#[test]
fn hot_prefix_does_not_pile_onto_one_endpoint() {
    const GATEWAYS: u64 = 15;
    let start_time = Instant::now();
    let mut pools: Vec<Pool> = (0..GATEWAYS)
        .map(|g| pool_with_load(start_time, pool_settings(g, GATEWAYS, Some(retention())), 0))
        .collect();
    // Every gateway knows the same endpoint to hold the beginning.
    let hot = MemberKey(1);
    pools.iter_mut().for_each(|p| start(p, start_time, hot, &prompt(7)));
    let mut running: Vec<(Instant, usize, MemberKey)> = Vec::new();
    let (mut most, mut to_hot, mut sent) = (0, 0, 0);
    for step in 0..500_u32 {
        let now = start_time + step * 10 * MS;
        while running.first().is_some_and(|(end, ..)| *end <= now) {
            let (_, g, key) = running.remove(0);
            pools[g].complete(now, key, RequestOutcome::Whole, 1000 * MS);
        }
        if step % 20 == 0 {
            for n in 0..8 {
                let at = |(_, _, k): &&(Instant, usize, MemberKey)| k.0 == u32::from(n) + 1;
                let load = running.iter().filter(at).count() as u32;
                pools.iter_mut().for_each(|p| report(p, now, n, load));
            }
        }
        // 40 requests per second, 5 per endpoint in the mean; all begin the same way.
        if step % 5 < 2 {
            let g = (sent * 7) % GATEWAYS as usize;
            if let Some(key) = send(&mut pools[g], now, &prompt(1000 + sent as u64)) {
                start(&mut pools[g], now, key, &prompt(1000 + sent as u64));
                running.push((now + 1000 * MS, g, key));
                to_hot += usize::from(key == hot);
            }
            sent += 1;
        }
        let at_hot = running.iter().filter(|(_, _, k)| *k == hot).count();
        most = most.max(at_hot);
    }
    assert!(most <= SLOTS as usize, "{most} requests at the endpoint that holds the beginning");
    assert!(to_hot < sent / 3, "{to_hot} of {sent} went to the endpoint that holds the beginning");
}

/// Hot prefix: guards against gateways that all send to the same endpoint between two of its reports.
#[test]
fn unreported_request_counts_once_for_each_gateway() {
    let now = Instant::now();
    for (gateways, certain) in [(1, true), (15, false)] {
        let mut pool = pool_with_load(now, pool_settings(0, gateways, Some(retention())), 3);
        let key = serve(&mut pool, now, &prompt(7));
        let is_certain = |pool: &Pool| {
            let explained = pool.explain(now + MS, &request(now + MS, &prompt(7)));
            explained.members.iter().any(|m| m.key == key && m.probability == 1.0)
        };
        assert!(is_certain(&pool));
        assert_eq!(send(&mut pool, now + MS, &prompt(7)), Some(key));
        pool.response_started(now + MS, key, PROMPT_TOKENS, MS);
        assert_eq!(is_certain(&pool), certain, "{gateways} gateways");
    }
}

/// Full endpoint: guards against a saving that overrides the slots of an endpoint.
#[test]
fn full_endpoint_is_not_chosen_for_what_it_holds() {
    let now = Instant::now();
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(retention())), 3);
    let key = serve(&mut pool, now, &prompt(7));
    let n = key_number(&pool, key);
    report(&mut pool, now + MS, n, SLOTS);
    assert_eq!(sent_to(&mut pool, now + MS, key, &prompt(7)), 0);
}

/// Lost incarnation: guards against savings believed of an endpoint that has been restarted, and
/// against a late response that revives the belief.
#[test]
fn lost_incarnation_holds_nothing() {
    let now = Instant::now();
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(retention())), 3);
    let key = serve(&mut pool, now, &prompt(7));
    let n = key_number(&pool, key);
    // One request of the old incarnation is still open.
    let open = send(&mut pool, now, &prompt(7)).unwrap();
    assert_eq!(open, key);
    pool.update_registration(&registration(now, n, 2));
    assert_eq!(pool.retention_status(now).unwrap().entries, 0);
    start(&mut pool, now, open, &prompt(7));
    assert_eq!(pool.retention_status(now).unwrap().entries, 0);
}

/// Lost incarnation: guards against savings believed of an endpoint at whose address no process
/// listens.
#[test]
fn ended_endpoint_holds_nothing() {
    let now = Instant::now();
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(retention())), 3);
    let key = serve(&mut pool, now, &prompt(7));
    assert_eq!(send(&mut pool, now, &prompt(7)), Some(key));
    pool.complete(now, key, RequestOutcome::Ended, MS);
    assert_eq!(pool.retention_status(now).unwrap().entries, 0);
}

/// Busy endpoint: guards against a wait that is longer than what is saved.
#[test]
fn busy_endpoint_is_not_chosen_when_the_wait_exceeds_the_saving() {
    let now = Instant::now();
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(retention())), 3);
    let key = serve(&mut pool, now, &prompt(7));
    let n = key_number(&pool, key);
    // 4,000 tokens save 53 ms, and one request ahead costs 0.435 ms for each of 97 tokens: 42 ms.
    report(&mut pool, now + MS, n, 4);
    assert_eq!(sent_to(&mut pool, now + MS, key, &prompt(7)), 40);
    report(&mut pool, now + 2 * MS, n, 6);
    assert_eq!(sent_to(&mut pool, now + 2 * MS, key, &prompt(7)), 0);
}

/// Slow group: guards against a weighing that leaves out the pass time or the prefill of others.
#[test]
fn saving_is_weighed_in_time_against_load_prefill_pass_and_domain() {
    let cfg = retention();
    let wait = |w: EndpointWait| cfg.wait_s(&w);
    let usual = wait(EndpointWait { requests: 3.0, ..Default::default() });
    let gain =
        |w: EndpointWait| cfg.gain_s(cfg.prefill_time(4000).as_secs_f64(), wait(w), 0.0, usual);
    let same = EndpointWait { requests: 3.0, ..Default::default() };
    assert!((gain(same) - 0.0535).abs() < 1e-3);
    assert!(gain(EndpointWait { requests: 4.0, ..same }) > 0.0);
    assert!(gain(EndpointWait { requests: 5.0, ..same }) < 0.0);
    assert!(gain(EndpointWait { pending_prompt_tokens: 4100, ..same }) < 0.0);
    assert!(gain(EndpointWait { group_pass: Some(60 * MS), ..same }) < 0.0);
    assert!(gain(EndpointWait { other_domain: true, ..same }) < gain(same));
    // An idle endpoint is not worth more than what it saves.
    assert_eq!(gain(EndpointWait::default()), gain(same));
    // What most endpoints hold is worth nothing.
    assert!(cfg.gain_s(0.05, usual, 0.05, usual) <= 0.0);
}

/// Memory short: guards against savings believed of prompts that running requests have displaced.
#[test]
fn short_memory_drops_the_least_recently_used_parts() {
    let (now, endpoint) = (Instant::now(), MemberKey(1));
    let mut cache = PromptCache::new(TTL, 100);
    cache.record_sent(now, endpoint, &parts(&[(1, 100), (2, 50)]), 300);
    cache.record_sent(now + MS, endpoint, &parts(&[(1, 100), (3, 50)]), 300);
    cache.record_sent(now + 2 * MS, endpoint, &parts(&[(4, 100)]), 300);
    assert_eq!((cache.len(), cache.tokens(endpoint)), (4, 300));
    cache.trim(endpoint, 250);
    let saved = |c: &PromptCache, ids: &[(u64, u32)]| c.saved(now + 3 * MS, endpoint, &parts(ids));
    assert_eq!(saved(&cache, &[(1, 100), (2, 50)]), 100);
    assert_eq!(saved(&cache, &[(1, 100), (3, 50)]), 150);
    // The first part outlives those behind it.
    cache.trim(endpoint, 200);
    assert_eq!(saved(&cache, &[(1, 100), (3, 50)]), 100);
    cache.trim(endpoint, 0);
    assert!(cache.is_empty() && cache.tokens(endpoint) == 0);
}

/// Memory short: guards against a room that ignores running requests, the share or other gateways.
#[test]
fn running_requests_and_other_gateways_reduce_the_room() {
    let cfg = retention();
    assert_eq!(cfg.room(0.0, 1), 205_833);
    assert_eq!(cfg.room(0.0, 31), 6639);
    assert_eq!(cfg.room(400.0, 1), 411_666 - 400 * 932);
    assert_eq!(cfg.room(1000.0, 1), 0);
}

/// Memory short: guards against savings that outlive a rise of the endpoint's load.
#[test]
fn rise_of_load_ends_the_belief() {
    let now = Instant::now();
    let small = EngineSpec { kv_capacity_tokens: 12_000, ..engine() };
    let cfg = RetentionSettings { engine: small, kv_share: 1.0, ..retention() };
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(cfg)), 3);
    let key = serve(&mut pool, now, &prompt(7));
    assert_eq!(pool.believed_saving(now, key, &prompt(7)), 4000);
    (0..8).for_each(|n| report(&mut pool, now + MS, n, 9));
    send(&mut pool, now + MS, &prompt(7));
    assert_eq!(pool.believed_saving(now + MS, key, &prompt(7)), 3000);
}

/// Stale records: guards against entries that outlive the retention time.
#[test]
fn entries_expire() {
    let (now, endpoint) = (Instant::now(), MemberKey(1));
    let mut cache = PromptCache::new(TTL, 100);
    cache.record_sent(now, endpoint, &parts(&[(1, 100)]), 1000);
    assert_eq!(cache.saved(now + TTL - MS, endpoint, &parts(&[(1, 100)])), 100);
    assert_eq!(cache.saved(now + TTL, endpoint, &parts(&[(1, 100)])), 0);
    cache.record_sent(now + TTL, MemberKey(2), &parts(&[(2, 100)]), 1000);
    assert_eq!(cache.len(), 1);
}

fn first_event(latency: Duration, saving: Duration) -> FirstEvent {
    FirstEvent { latency, full_prefill: 50 * MS, believed_saving: saving }
}

/// Stale records: guards against endpoints that keep nothing but are chosen as if they did.
#[test]
fn service_that_keeps_nothing_is_found_out_and_examined_again_later() {
    let now = Instant::now();
    let mut check = RetentionCheck::default();
    // The latency varies with the remainder of the current pass.
    let latency = |i: u32| (100 + i * 37 % 80) * MS;
    let found: Vec<u32> = (0..200)
        .filter(|i| check.record(now, first_event(latency(*i), 40 * MS * (i % 2))))
        .collect();
    assert_eq!(found, [199]);
    assert!(check.keeps_nothing(now) && check.keeps_nothing(now + Duration::from_secs(299)));
    let later = now + Duration::from_secs(300);
    assert!(!check.keeps_nothing(later));
    // An operator has set up the engines anew.
    for i in 0..2000 {
        let saving = 40 * MS * (i % 2);
        assert!(!check.record(later, first_event(latency(i) - saving, saving)));
    }
}

/// Stale records: guards against a record that is kept or grows while endpoints keep nothing.
#[test]
fn service_that_keeps_nothing_costs_nothing() {
    let now = Instant::now();
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(retention())), 3);
    // Latencies are the same with and without a saving.
    for i in 0..300 {
        serve(&mut pool, now, &parts(&[(2 + i, 3000)]));
        serve(&mut pool, now, &parts(&[(2 + i, 3000)]));
    }
    let status = pool.retention_status(now).unwrap();
    assert!(status.keeps_nothing && status.entries == 0, "{status:?}");
    let key = serve(&mut pool, now, &prompt(7));
    assert!(sent_to(&mut pool, now, key, &prompt(7)) < 40);
}

/// Bounded record: guards against growth with the number of prompts, endpoints or parts.
#[test]
fn record_is_bounded() {
    let now = Instant::now();
    let mut cache = PromptCache::new(TTL, 50);
    for i in 0..1000_u64 {
        let endpoint = MemberKey(i as u32 % 9);
        cache.record_sent(now, endpoint, &parts(&[(i, 1), (i, 2), (i, 3)]), u64::MAX);
        assert!(cache.len() <= 50);
        assert_eq!(cache.saved(now, endpoint, &parts(&[(i, 1), (i, 2), (i, 3)])), 6);
    }
    for endpoint in 0..9 {
        cache.forget(MemberKey(endpoint));
    }
    assert!(cache.is_empty());
    const { assert!(ENTRIES_MAX * PromptCache::ENTRY_BYTES <= 2 << 20) };
}

/// Guards against a record that survives a change of the model or of the engines' figures.
#[test]
fn changed_settings_forget() {
    let now = Instant::now();
    let mut pool = pool_with_load(now, pool_settings(0, 1, Some(retention())), 3);
    serve(&mut pool, now, &prompt(7));
    pool.configure(pool_settings(0, 2, Some(retention())));
    assert_eq!(pool.retention_status(now).unwrap().entries, 2);
    let other = EngineSpec { prefill_tokens_per_s: 50_000.0, ..engine() };
    pool.configure(pool_settings(0, 2, Some(RetentionSettings { engine: other, ..retention() })));
    assert_eq!(pool.retention_status(now).unwrap().entries, 0);
}
