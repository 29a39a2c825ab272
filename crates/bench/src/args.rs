//! The command line of `crocustally-bench`.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use crocustally_net::Runtime;
use serde_json::Value;

use crate::capacity;
use crate::chaos;
use crate::control;
use crate::domain;
use crate::overhead;
use crate::parts;
use crate::route;
use crate::steps;
use crate::steps::MapPolicy;
use crate::steps::StepsSettings;

/// Threads of the tool itself, which run callers and stand-ins.
const THREADS: usize = 4;

fn command() -> Command {
    let seed = Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64));
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue).help("One line of JSON");
    let experiment = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(seed.clone()).arg(json.clone())
    };
    Command::new("crocustally-bench")
        .about("Load and experiments")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            experiment("domain", "Service while a failure domain leaves, is cut off and returns")
                .arg(float_arg("phase-seconds", "4"))
                .arg(float_arg("rate", "150")),
        )
        .subcommand(
            experiment("chaos", "Faults drawn from a seed, under load")
                .arg(float_arg("seconds", "30")),
        )
        .subcommand(experiment("capacity", "Slopes for docs/CAPACITY.md"))
        .subcommand(
            experiment("control", "How soon changes are in force, and what control costs")
                .arg(count_arg("changes", "40"))
                .arg(count_arg("daemons", "20")),
        )
        .subcommand(
            experiment("overhead", "What entry and agent add to a direct call")
                .arg(count_arg("requests", "40000")),
        )
        .subcommand(experiment("parts", "What parts of prompts cost, by the length of prompts"))
        .subcommand(
            experiment("route", "Policies of choosing an endpoint against the same arrivals").arg(
                Arg::new("policy").long("policy").default_value("crocustally").value_parser([
                    "round_robin",
                    "least_load",
                    "two_choices",
                    "crocustally",
                ]),
            ),
        )
        .subcommand(
            experiment("steps", "Step-time skew across ranks and the cost of rebalancing")
                .arg(count_arg("ranks", "32"))
                .arg(count_arg("experts", "256"))
                .arg(count_arg("layers", "8"))
                .arg(count_arg("steps", "4000"))
                .arg(
                    Arg::new("policy").long("policy").default_value("incremental").value_parser([
                        "static",
                        "repack",
                        "incremental",
                    ]),
                ),
        )
}

fn float_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(f64))
}

fn count_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
}

fn steps_settings(m: &ArgMatches, seed: u64) -> StepsSettings {
    let size_arg = |name: &str| arg_value::<u64>(m, name) as usize;
    let (ranks, experts, layers) = (size_arg("ranks"), size_arg("experts"), size_arg("layers"));
    StepsSettings { seed, ranks, experts, layers, steps: arg_value::<u64>(m, "steps") }
}

fn arg_value<T: Copy + Send + Sync + 'static>(m: &ArgMatches, name: &str) -> T {
    // Every argument has a default value.
    m.get_one::<T>(name).copied().unwrap_or_else(|| unreachable!("argument {name}"))
}

/// Parses the command line and runs the experiment.
///
/// The exit status is 1 if the experiment missed a target or failed.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let rt = Runtime::start(THREADS);
    let Some((name, m)) = matches.subcommand() else { return ExitCode::from(2) };
    let seed = arg_value::<u64>(m, "seed");
    let (value, passed) = match name {
        "domain" => {
            let (phase_s, requests_per_s) =
                (arg_value::<f64>(m, "phase-seconds"), arg_value::<f64>(m, "rate"));
            async_io::block_on(domain::run(&rt, seed, phase_s, requests_per_s))
        }
        "chaos" => async_io::block_on(chaos::run(&rt, seed, arg_value::<f64>(m, "seconds"))),
        "capacity" => async_io::block_on(capacity::run(&rt, seed)),
        "control" => {
            let (changes, daemons) =
                (arg_value::<u64>(m, "changes"), arg_value::<u64>(m, "daemons"));
            async_io::block_on(control::run(&rt, seed, changes, daemons as usize))
        }
        "overhead" => {
            let requests = arg_value::<u64>(m, "requests") as usize;
            async_io::block_on(overhead::run(&rt, seed, requests))
        }
        "parts" => parts::run(seed),
        "route" => {
            let policy = m.get_one::<String>("policy").cloned().unwrap_or_default();
            route::run(seed, &policy)
        }
        "steps" => {
            let policy = m.get_one::<String>("policy").and_then(|p| MapPolicy::from_name(p));
            let policy = policy.unwrap_or(MapPolicy::Incremental);
            steps::run(steps_settings(m, seed), policy)
        }
        _ => (Value::Null, false),
    };
    if !m.get_flag("json") {
        println!("{value:#}");
    }
    println!("{value}");
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
