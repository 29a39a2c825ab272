//! Gauges and log lines about the groups of each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crocustally_net::sleep;

use crate::Gateway;

/// Interval between two updates of the gauges.
const INTERVAL: Duration = Duration::from_secs(1);
/// Change of a group's limit that is logged, as a share of it.
const LOGGED_CHANGE: f64 = 0.1;

/// State and limit of a group in the last log line about it, by service and key.
type Logged = HashMap<(String, u64), (bool, f64)>;

/// Updates the gauges until the process ends.
pub(crate) async fn report_loop(gateway: Arc<Gateway>) {
    let mut logged = Logged::new();
    loop {
        sleep(INTERVAL).await;
        report(&gateway, &mut logged);
    }
}

fn report(gateway: &Gateway, logged: &mut Logged) {
    let Some(policy) = gateway.policy() else { return };
    let now = gateway.clock.now();
    let mut reported = Logged::new();
    for service in policy.services() {
        let views = gateway.pool(&service.name).with_pool(|pool| pool.group_views(now));
        for view in views {
            let key = format!("{:016x}", view.key);
            let labels = [("service", service.name.clone()), ("group", key.clone())];
            metrics::gauge!("crocustally_group_limit", &labels).set(view.limit);
            metrics::gauge!("crocustally_group_requests", &labels).set(view.load.requests);
            metrics::gauge!("crocustally_group_pass_seconds", &labels)
                .set(view.pass.map_or(0.0, |pass| pass.as_secs_f64()));
            metrics::gauge!("crocustally_group_skew", &labels).set(view.skew);
            // A full group is open: it changes between the two all the time.
            let usable = view.state.is_usable();
            metrics::gauge!("crocustally_group_usable", &labels).set(f64::from(u8::from(usable)));
            let before = logged.get(&(service.name.clone(), view.key)).copied();
            let changed = before.is_none_or(|(was_usable, limit)| {
                was_usable != usable || (view.limit - limit).abs() > LOGGED_CHANGE * limit
            });
            if changed {
                log::info!(
                    service = service.name.as_str(), group = key.as_str(),
                    state = format!("{:?}", view.state).as_str(), endpoints = view.load.endpoints,
                    requests = view.load.requests as u64, limit = view.limit as u64,
                    pass_ms = view.pass.map(|pass| pass.as_millis() as u64), skew = view.skew;
                    "group limit changed"
                );
            }
            let entry = if changed { (usable, view.limit) } else { before.unwrap_or_default() };
            reported.insert((service.name.clone(), view.key), entry);
        }
    }
    *logged = reported;
}
