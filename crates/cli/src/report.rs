//! The burn report: error budgets left and burn rates, summed over all entries reached.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use crocustally_core::burn::burn_rate;
use crocustally_entry::BurnReport;
use crocustally_net::OperatorClient;
use crocustally_net::Runtime;
use serde::Serialize;

use crate::plot;

/// Burn of one service and workspace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnLine {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Number of requests in the last six hours.
    pub requests: u64,
    /// Share left of the six-hour error budget for complete responses; negative when overspent.
    pub whole_budget_left: f64,
    /// Burn rates for complete responses over 5 minutes, 1 hour, 30 minutes and 6 hours.
    pub whole_burn: [f64; 4],
    /// Share left of the six-hour error budget for the first-byte time; negative when overspent.
    pub first_budget_left: f64,
    /// Burn rates for the first-byte time over the same windows.
    pub first_burn: [f64; 4],
}

/// Sums the counts of all entries by service and workspace and compares them with the objectives.
pub fn merge_reports(reports: &[BurnReport]) -> Vec<BurnLine> {
    let mut sums: BTreeMap<(String, String), [[u64; 4]; 4]> = BTreeMap::new();
    for row in reports.iter().flat_map(|r| &r.rows) {
        let key = (row.service.clone(), row.workspace.clone());
        let sum = sums.entry(key).or_default();
        for (s, w) in sum.iter_mut().flatten().zip(row.windows.iter().flatten()) {
            *s += w;
        }
    }
    let to_line = |((service, workspace), w): ((String, String), [[u64; 4]; 4])| {
        let objectives = reports.iter().find_map(|r| r.objectives.get(&service));
        let objective = objectives.copied().unwrap_or_default();
        let whole_burn = w.map(|[all, bad, _, _]| burn_rate((all, bad), objective.whole_per_100k));
        let first_burn =
            w.map(|[_, _, all, late]| burn_rate((all, late), objective.first_per_100k));
        BurnLine {
            service,
            workspace,
            requests: w[3][0],
            whole_budget_left: 1.0 - whole_burn[3],
            whole_burn,
            first_budget_left: 1.0 - first_burn[3],
            first_burn,
        }
    };
    sums.into_iter().map(to_line).collect()
}

/// Fetches the reports of all entries and prints the merged report; writes it to `html` if given.
pub(crate) async fn run(
    rt: &Runtime,
    entries: &[SocketAddr],
    json: bool,
    html: Option<&PathBuf>,
) -> ExitCode {
    let mut reports: Vec<BurnReport> = Vec::new();
    let mut missing = Vec::new();
    for address in entries {
        let text = OperatorClient::new(rt, *address).report().await;
        match text.and_then(|t| serde_json::from_str(&t).ok()) {
            Some(report) => reports.push(report),
            None => missing.push(address.to_string()),
        }
    }
    let lines = merge_reports(&reports);
    if json {
        println!("{}", serde_json::json!({"lines": lines, "not_reached": missing}));
    } else {
        print_table(&lines, &missing);
    }
    if let Some(path) = html
        && let Err(e) = plot::write(path, &lines, &missing)
    {
        eprintln!("{}: {e}", path.display());
        return ExitCode::FAILURE;
    }
    if missing.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_table(lines: &[BurnLine], missing: &[String]) {
    println!(
        "{:<12} {:<10} {:>9} {:>12} {:>26} {:>12} {:>26}",
        "service",
        "workspace",
        "requests",
        "whole left",
        "burn 5m 1h 30m 6h",
        "first left",
        "burn 5m 1h 30m 6h"
    );
    let join_rates = |r: &[f64; 4]| r.map(|x| format!("{x:.1}")).join(" ");
    for l in lines {
        println!(
            "{:<12} {:<10} {:>9} {:>11.1}% {:>26} {:>11.1}% {:>26}",
            l.service,
            l.workspace,
            l.requests,
            l.whole_budget_left * 100.0,
            join_rates(&l.whole_burn),
            l.first_budget_left * 100.0,
            join_rates(&l.first_burn)
        );
    }
    missing.iter().for_each(|m| println!("{m}: not reached"));
}
