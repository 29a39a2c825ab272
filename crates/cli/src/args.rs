//! The command line of `crocustally`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use crocustally_core::Digest;
use crocustally_core::control::Ticket;
use crocustally_gateway::WhereQuery;
use crocustally_net::Runtime;

use crate::blocked;
use crate::demo;
use crate::operate;
use crate::operate::Change;
use crate::report;
use crate::where_request;

/// Number of worker threads; the daemons of `demo` run on them too.
const THREADS: usize = 6;
/// Exit code for an invalid argument, file or ticket.
const EXIT_INVALID: u8 = 2;

fn command() -> Command {
    let entry = Arg::new("entry")
        .long("entry")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("Peer address of an entry; may be given several times");
    let control = Arg::new("control")
        .long("control")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("Peer address of a control instance; may be given several times");
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    let path = |name: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(PathBuf)).value_name("FILE")
    };
    let file = Arg::new("file").required(true).value_parser(value_parser!(PathBuf));
    let name = Arg::new("name").required(true);
    Command::new("crocustally")
        .about("Operates a crocustally deployment")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("check").about("Check a ticket").arg(file.clone()))
        .subcommand(Command::new("apply").about("Send a ticket").arg(file).arg(entry.clone()))
        .subcommand(
            Command::new("status")
                .about("Show versions in force, lags and cut-off instances")
                .arg(entry.clone())
                .arg(json.clone()),
        )
        .subcommand(
            Command::new("where")
                .about("Show where a gateway would send a request now, without sending it")
                .arg(
                    Arg::new("gateway")
                        .long("gateway")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Admin address of the gateway"),
                )
                .arg(path("token-file").help("File with the token of the admin address"))
                .arg(path("key-file").help("File with the API key of the workspace"))
                .arg(
                    Arg::new("prompt")
                        .long("prompt")
                        .value_name("ID:TOKENS,...")
                        .help("Parts of the prompt in order"),
                )
                .arg(
                    Arg::new("tokens")
                        .long("tokens")
                        .value_parser(value_parser!(u32))
                        .help("Length of the prompt; the sum of the parts if it is missing"),
                )
                .arg(json.clone())
                .arg(Arg::new("host").required(true))
                .arg(Arg::new("path").required(true)),
        )
        .subcommand(
            Command::new("report")
                .about("Show objectives, error budgets and burn rates")
                .arg(entry.clone())
                .arg(json)
                .arg(Arg::new("html").long("html").value_parser(value_parser!(PathBuf))),
        )
        .subcommand(
            Command::new("out")
                .about("Take a failure domain out")
                .arg(name.clone())
                .arg(entry.clone())
                .arg(
                    Arg::new("local")
                        .long("local")
                        .action(ArgAction::SetTrue)
                        .help("At this entry and those it reaches, without a quorum"),
                ),
        )
        .subcommand(
            Command::new("return")
                .about("Bring a failure domain back")
                .arg(name.clone())
                .arg(entry.clone()),
        )
        .subcommand(
            Command::new("drain")
                .about("Let an endpoint leave")
                .arg(name.clone())
                .arg(entry)
                .arg(Arg::new("undo").long("undo").action(ArgAction::SetTrue)),
        )
        .subcommand(
            Command::new("blocked")
                .about("List the parts of prompts whose requests are refused")
                .arg(control.clone()),
        )
        .subcommand(
            Command::new("lift")
                .about("Serve requests with a part of prompts again")
                .arg(Arg::new("service").required(true))
                .arg(Arg::new("part").required(true))
                .arg(control),
        )
        .subcommand(
            Command::new("key-hash")
                .about("Print the hash of a bearer key, for a ticket")
                .arg(name),
        )
        .subcommand(
            Command::new("demo").about("Run a whole deployment inside this process").arg(
                Arg::new("serve")
                    .long("serve")
                    .action(ArgAction::SetTrue)
                    .help("Stay up and print a request that works"),
            ),
        )
}

/// Parses the arguments of the process and runs the subcommand.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let Some((subcommand, m)) = matches.subcommand() else { return ExitCode::from(EXIT_INVALID) };
    let rt = Runtime::start(THREADS);
    match subcommand {
        "check" => check_ticket(m),
        "blocked" => async_io::block_on(blocked::list(&rt, &addresses(m, "control"))),
        "lift" => {
            let (service, part) = (string_arg(m, "service"), string_arg(m, "part"));
            let controls = addresses(m, "control");
            async_io::block_on(blocked::lift(&rt, &controls, &service, &part))
        }
        "key-hash" => {
            println!("{}", Digest::key_hash(string_arg(m, "name").as_bytes()));
            ExitCode::SUCCESS
        }
        "apply" => match read_file(m) {
            Ok(yaml) => async_io::block_on(operate::apply(&rt, &entry_addresses(m), &yaml)),
            Err(code) => code,
        },
        "status" => {
            async_io::block_on(operate::status(&rt, &entry_addresses(m), m.get_flag("json")))
        }
        "where" => match where_query(m) {
            Ok((address, token, query)) => async_io::block_on(where_request::run(
                &rt,
                address,
                token.as_deref(),
                &query,
                m.get_flag("json"),
            )),
            Err(detail) => {
                eprintln!("{detail}");
                ExitCode::from(EXIT_INVALID)
            }
        },
        "report" => {
            let html = m.get_one::<PathBuf>("html");
            async_io::block_on(report::run(&rt, &entry_addresses(m), m.get_flag("json"), html))
        }
        "out" if m.get_flag("local") => {
            async_io::block_on(operate::local_out(&rt, &entry_addresses(m), &string_arg(m, "name")))
        }
        "out" => send_change(&rt, m, Change::DomainOut(string_arg(m, "name"))),
        "return" => send_change(&rt, m, Change::DomainIn(string_arg(m, "name"))),
        "drain" if m.get_flag("undo") => {
            send_change(&rt, m, Change::EndpointServe(string_arg(m, "name")))
        }
        "drain" => send_change(&rt, m, Change::EndpointDrain(string_arg(m, "name"))),
        _ => async_io::block_on(demo::run(&rt, m.get_flag("serve"))),
    }
}

fn send_change(rt: &Runtime, m: &ArgMatches, change: Change) -> ExitCode {
    async_io::block_on(operate::change(rt, &entry_addresses(m), &change))
}

fn check_ticket(m: &ArgMatches) -> ExitCode {
    let yaml = match read_file(m) {
        Ok(yaml) => yaml,
        Err(code) => return code,
    };
    match Ticket::from_yaml(&yaml) {
        Ok(ticket) => {
            println!("ticket {} ok, digest {}", ticket.number(), ticket.digest().hex());
            ticket.changed_objects().iter().for_each(|t| println!("  {t}"));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{} {} {}", e.code.number(), e.code.text(), e.detail);
            ExitCode::from(EXIT_INVALID)
        }
    }
}

/// Address, token and query of `where`, or what is wrong with them.
fn where_query(m: &ArgMatches) -> Result<(SocketAddr, Option<String>, WhereQuery), String> {
    let secret = |name: &str| {
        let read = |path: &PathBuf| {
            let text = std::fs::read_to_string(path);
            text.map(|t| t.trim().to_owned()).map_err(|e| format!("{}: {e}", path.display()))
        };
        m.get_one::<PathBuf>(name).map(read).transpose()
    };
    let address = addresses(m, "gateway").first().copied().ok_or("no gateway")?;
    let prompt = m
        .get_one::<String>("prompt")
        .map_or(Some(Vec::new()), |text| WhereQuery::parse_prompt(text));
    let query = WhereQuery {
        host: string_arg(m, "host"),
        path: string_arg(m, "path"),
        api_key: secret("key-file")?,
        prompt: prompt.ok_or("--prompt must be ID:TOKENS,...")?,
        prompt_tokens: m.get_one::<u32>("tokens").copied().unwrap_or(0),
    };
    if !query.path.starts_with('/') {
        return Err("the path must start with a slash".to_owned());
    }
    Ok((address, secret("token-file")?, query))
}

fn read_file(m: &ArgMatches) -> Result<String, ExitCode> {
    let path = m.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    std::fs::read_to_string(&path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        ExitCode::from(EXIT_INVALID)
    })
}

fn entry_addresses(m: &ArgMatches) -> Vec<SocketAddr> {
    addresses(m, "entry")
}

fn addresses(m: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    m.get_many::<SocketAddr>(name).unwrap_or_default().copied().collect()
}

fn string_arg(m: &ArgMatches, name: &str) -> String {
    m.get_one::<String>(name).cloned().unwrap_or_default()
}
