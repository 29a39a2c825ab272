//! Drawn versions of the configuration, and what each of them allows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

/// Services; each has runners of its own. The first version names only [`FIRST_SERVICES`].
pub const SERVICES: [&str; 5] = ["s0", "s1", "s2", "s3", "s4"];
/// Services that every version names.
pub const FIRST_SERVICES: usize = 2;
/// Routes that every version has.
pub const FIRST_ROUTES: [&str; 2] = ["first0", "first1"];
/// Key that every version has.
pub const FIRST_KEY: &str = "k-first";
/// Routes that may have been added at a time.
const ADDED_ROUTES_MAX: usize = 6;

/// Services of a route with their weights, and its other settings.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    pub targets: Vec<(usize, u32)>,
    timeout_ms: u64,
    host: &'static str,
}

/// Content of a version.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub routes: BTreeMap<String, RouteSpec>,
    /// Keys with their tenants.
    pub keys: BTreeMap<String, String>,
    services: BTreeSet<usize>,
}

/// What became of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was run by this service.
    Run(usize),
    /// It was refused as without route or key: 401, 403 or 404.
    Denied(u16),
}

impl Version {
    pub fn first() -> Self {
        let spec = |target| RouteSpec { targets: vec![(target, 1)], timeout_ms: 1500, host: "h" };
        let routes = FIRST_ROUTES.iter().enumerate().map(|(i, r)| ((*r).to_owned(), spec(i)));
        Self {
            number: 1,
            routes: routes.collect(),
            keys: BTreeMap::from([(FIRST_KEY.to_owned(), "t-first".to_owned())]),
            services: (0..FIRST_SERVICES).collect(),
        }
    }

    /// Whether this version explains what became of a probe for a route with a key.
    pub fn explains(&self, route: &str, key: &str, outcome: Outcome) -> bool {
        let has_key = self.keys.contains_key(key);
        match (self.routes.get(route), outcome) {
            (Some(spec), Outcome::Run(service)) => {
                has_key && spec.targets.iter().any(|(t, weight)| *t == service && *weight > 0)
            }
            (None, Outcome::Run(_)) => false,
            (None, Outcome::Denied(status)) => status == 404 || !has_key,
            (Some(_), Outcome::Denied(status)) => status == 401 && !has_key,
        }
    }

    pub fn allows(&self, route: &str, key: &str) -> bool {
        self.routes.contains_key(route) && self.keys.contains_key(key)
    }

    /// Draws the next version: a few changes, and a route that no other version has.
    pub fn next(&self, rng: &mut ChaCha8Rng, number: u64) -> Self {
        let mut next = self.clone();
        next.number = number;
        next.routes.retain(|name, _| !name.starts_with("only"));
        for _ in 0..rng.random_range(1..4) {
            next.change(rng);
        }
        let only = next.draw_spec(rng);
        next.routes.insert(format!("only{number}"), only);
        let routes = next.routes.values();
        let used = routes.flat_map(|r| r.targets.iter().map(|(t, _)| *t));
        next.services = used.chain(0..FIRST_SERVICES).collect();
        next
    }

    fn change(&mut self, rng: &mut ChaCha8Rng) {
        let added: Vec<String> =
            self.routes.keys().filter(|r| r.starts_with("added")).cloned().collect();
        let keys: Vec<String> = self.keys.keys().filter(|k| *k != FIRST_KEY).cloned().collect();
        match rng.random_range(0..7) {
            0 if added.len() < ADDED_ROUTES_MAX => {
                let spec = self.draw_spec(rng);
                // A name that was dropped may come back.
                self.routes.insert(format!("added{}", rng.random_range(0..12)), spec);
            }
            1 if !added.is_empty() => {
                self.routes.remove(&added[rng.random_range(0..added.len())]);
            }
            2 if keys.len() < 4 => {
                let (key, tenant) = (rng.random_range(0..8), rng.random_range(0..3));
                self.keys.insert(format!("k{key}"), format!("t{tenant}"));
            }
            3 if !keys.is_empty() => {
                self.keys.remove(&keys[rng.random_range(0..keys.len())]);
            }
            4 => {
                let names: Vec<String> = self.routes.keys().cloned().collect();
                let timeout_ms = rng.random_range(800..3000);
                if let Some(r) = self.routes.get_mut(&names[rng.random_range(0..names.len())]) {
                    r.timeout_ms = timeout_ms;
                }
            }
            // A route moves, or is split.
            _ => {
                let names: Vec<String> = self.routes.keys().cloned().collect();
                let spec = self.draw_spec(rng);
                self.routes.insert(names[rng.random_range(0..names.len())].clone(), spec);
            }
        }
    }

    fn draw_spec(&self, rng: &mut ChaCha8Rng) -> RouteSpec {
        let first = rng.random_range(0..SERVICES.len());
        let second = (first + rng.random_range(1..SERVICES.len())) % SERVICES.len();
        let targets = match rng.random_range(0..3) {
            0 => vec![(first, rng.random_range(1..100)), (second, rng.random_range(0..100))],
            _ => vec![(first, 1)],
        };
        let host = if rng.random_bool(0.5) { "h" } else { "H" };
        RouteSpec { targets, timeout_ms: 1500, host }
    }

    /// The document that an operator sends.
    pub fn document(&self) -> Value {
        let routes: Vec<Value> = self.routes.iter().map(|(n, spec)| route(n, spec)).collect();
        let mut tenants: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (key, tenant) in &self.keys {
            tenants.entry(tenant).or_default().push(key);
        }
        let tenants: Vec<Value> = tenants
            .iter()
            .map(|(name, keys)| json!({"name": name, "api-keys": keys, "priority": 1}))
            .collect();
        let services: Vec<Value> = self
            .services
            .iter()
            .map(|s| json!({"name": SERVICES[*s], "max-conns": 200, "cold-per-s": 0.0}))
            .collect();
        json!({
            "version": self.number, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        })
    }

    /// A document that has to be refused: this version with the route `bad` and one fault.
    pub fn invalid_document(&self, rng: &mut ChaCha8Rng) -> String {
        let mut version = self.clone();
        let spec = RouteSpec { targets: vec![(0, 1)], timeout_ms: 1500, host: "h" };
        version.routes.insert("bad".to_owned(), spec.clone());
        let mut doc = version.document();
        let mut faulty = route("faulty", &spec);
        match rng.random_range(0..10) {
            0 => {
                let text = doc.to_string();
                return text[..rng.random_range(1..text.len())].to_owned();
            }
            1 => return format!("{doc}{doc}"),
            2 => faulty["service"] = "unknown".into(),
            3 => faulty = split(faulty, json!([["s0", 1], ["unknown", 0]])),
            4 => faulty = split(faulty, json!([["s0", 0], ["s1", 0]])),
            5 => faulty["timeout-ms"] = 0.into(),
            6 => faulty["path-prefix"] = "/first0/".into(),
            7 => {
                faulty["path-prefix"] = "/bad/".into();
                faulty["host"] = "H".into();
            }
            8 => faulty = split(faulty, json!([])),
            _ => {
                let tenants = doc["tenants"].as_array_mut().unwrap();
                tenants.push(json!({"name": "other", "api-keys": [FIRST_KEY], "priority": 1}));
            }
        }
        // With the same host as the route that it repeats.
        if faulty["path-prefix"] == "/first0/" {
            faulty["host"] = self.routes["first0"].host.into();
        }
        doc["routes"].as_array_mut().unwrap().push(faulty);
        doc.to_string()
    }

    /// Other content under the number of this version: with the route `bad`.
    pub fn other_content(&self) -> String {
        let mut version = self.clone();
        let spec = RouteSpec { targets: vec![(0, 1)], timeout_ms: 1500, host: "h" };
        version.routes.insert("bad".to_owned(), spec);
        version.document().to_string()
    }
}

fn route(name: &str, spec: &RouteSpec) -> Value {
    let route = json!({"name": name, "host": spec.host, "path-prefix": format!("/{name}/"),
        "kind": "safe", "timeout-ms": spec.timeout_ms, "target-latency-ms": 500, "priority": 1,
        "attempts": 2});
    if let [(service, _)] = spec.targets[..] {
        let mut route = route;
        route["service"] = SERVICES[service].into();
        return route;
    }
    let targets = spec.targets.iter().map(|(s, weight)| json!([SERVICES[*s], weight]));
    split(route, targets.collect())
}

/// The route with its requests split over pairs of service and weight.
fn split(mut route: Value, targets: Value) -> Value {
    let targets = targets.as_array().unwrap().iter();
    route["traffic-split"] = targets.map(|t| json!({"service": t[0], "weight": t[1]})).collect();
    if let Some(fields) = route.as_object_mut() {
        fields.remove("service");
    }
    route
}
