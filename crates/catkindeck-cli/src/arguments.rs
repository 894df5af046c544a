//! The arguments of the command line.

use {
    argh::FromArgs,
    std::{net::SocketAddr, path::PathBuf},
};

/// Operates catkindeck: plan and apply declarations, manage keys and zones, check, load and report.
#[derive(FromArgs, Debug)]
#[argh(
    example = "Show what the declarations in a directory would change, then confirm:\n  \
        {command_name} plan deployments/directorate/declarations\n  \
        {command_name} apply --plan 7-3f... deployments/directorate/declarations",
    example = "Take a zone out after reviewing the plan:\n  {command_name} zone out vault-a",
    note = "The options --json, --admin and --operator-key-file are accepted at any position. The \
        environment variables CATKINDECK_ADMIN and CATKINDECK_OPERATOR_KEY_FILE give their defaults.",
    note = "docs/errors.md lists every error kind with its exit code.",
    error_code(1, "internal: a bug in catkindeck"),
    error_code(2, "bad_request, too_large, slow_request: the input is not valid"),
    error_code(3, "unauthenticated, key_revoked, forbidden"),
    error_code(4, "not_found"),
    error_code(5, "conflict, fenced: the state changed, or a plan was not confirmed"),
    error_code(
        6,
        "overloaded, no_upstream and others: no capacity now, or an error budget burns too fast"
    ),
    error_code(7, "batch_lost"),
    error_code(8, "store_unavailable, peer_unavailable"),
    error_code(9, "outcome_unknown: query it with `status --outcome ID`")
)]
pub struct CommandArguments {
    /// print one JSON object instead of text
    #[argh(switch)]
    pub json: bool,

    /// admin addresses of entries, separated by commas and tried in order
    #[argh(option)]
    pub admin: Option<String>,

    /// file with the operator key
    #[argh(option)]
    pub operator_key_file: Option<PathBuf>,

    /// subcommand to run
    #[argh(subcommand)]
    pub subcommand: Subcommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Subcommand {
    /// Shows what declarations would change.
    Plan(PlanArguments),
    /// Confirms a plan.
    Apply(ApplyArguments),
    /// Shows the active configuration or a plan's outcome.
    Status(StatusArguments),
    /// Takes a zone out or brings it back in.
    Zone(ZoneArguments),
    /// Manages keys.
    Keys(KeyArguments),
    /// Shows sealed usage windows.
    Usage(UsageArguments),
    /// Shows the open steps of trainers.
    Queue(QueueArguments),
    /// Reports error budget burn rates.
    Burn(BurnArguments),
    /// Checks files.
    CheckConfig(CheckArguments),
    /// Issues development certificates.
    Certs(CertificateArguments),
    /// Generates load.
    Load(LoadArguments),
}

/// Show what declarations would change, cost and need, without changing anything.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "plan",
    example = "{command_name} deployments/directorate/declarations"
)]
pub struct PlanArguments {
    /// declaration files, or directories from which all *.toml files are read
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Confirm a plan; it is refused if the configuration has changed since. Repeating it is safe.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "apply",
    example = "Confirm a plan that was shown before:\n  \
        {command_name} --plan 7-3f... deployments/directorate/declarations",
    example = "Show the plan, ask for confirmation, and apply it:\n  {command_name} deployments/directorate/declarations"
)]
pub struct ApplyArguments {
    /// id of the plan to confirm; without it, the plan is shown and confirmed first
    #[argh(option)]
    pub plan: Option<String>,

    /// confirm the plan without asking
    #[argh(switch)]
    pub yes: bool,

    /// apply even if a service would have too few upstreams for its load
    #[argh(switch)]
    pub accept_shortfall: bool,

    /// longest time to wait until the change is active everywhere, in milliseconds (30000)
    #[argh(option, default = "30_000")]
    pub wait_ms: u64,

    /// declaration files, or directories from which all *.toml files are read
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Show the active configuration, the load of the zones, or the outcome of a plan.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name}",
    example = "{command_name} --outcome 7-3f..."
)]
pub struct StatusArguments {
    /// id of the plan whose outcome to show
    #[argh(option)]
    pub outcome: Option<String>,
}

/// Take an availability zone out or bring it back in, after its plan is shown and confirmed.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "zone",
    example = "Show the plan, ask for confirmation, and apply it:\n  {command_name} out vault-a",
    example = "In two steps, so that another operator can review the plan:\n  {command_name} out vault-a --dry-run\n  \
        {command_name} out vault-a --plan 7-3f..."
)]
pub struct ZoneArguments {
    /// the new state, `out` or `in`
    #[argh(positional)]
    pub state: String,

    /// name of the zone
    #[argh(positional)]
    pub zone: String,

    /// show the plan and stop
    #[argh(switch)]
    pub dry_run: bool,

    /// id of the plan that `--dry-run` showed, to confirm exactly that plan
    #[argh(option)]
    pub plan: Option<String>,

    /// confirm the plan without asking
    #[argh(switch)]
    pub yes: bool,

    /// apply even if a service would have too few upstreams for its load
    #[argh(switch)]
    pub accept_shortfall: bool,

    /// longest time to wait until the change is active everywhere, in milliseconds (30000)
    #[argh(option, default = "30_000")]
    pub wait_ms: u64,
}

/// Create, list and revoke keys.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "keys",
    example = "{command_name} create --customer courts --label courts-2",
    example = "{command_name} revoke courts-1"
)]
pub struct KeyArguments {
    /// subcommand to run
    #[argh(subcommand)]
    pub action: KeyAction,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum KeyAction {
    /// Creates a key.
    Create(KeyCreateArguments),
    /// Prints the digest of a key.
    Digest(KeyDigestArguments),
    /// Lists keys.
    List(KeyListArguments),
    /// Revokes a key.
    Revoke(KeyRevokeArguments),
}

/// Generate a key and show it once, with the lines to add to the declarations.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "create")]
pub struct KeyCreateArguments {
    /// customer to which requests with the key are attributed
    #[argh(option)]
    pub customer: String,

    /// unique name for the key
    #[argh(option)]
    pub label: String,

    /// write the key to this file, readable by its owner only, instead of showing it
    #[argh(option)]
    pub out: Option<PathBuf>,

    /// declaration file to which the lines with the key's digest are appended
    #[argh(option)]
    pub declare: Option<PathBuf>,
}

/// Print the digest of the key in a file, as used in an entry's `operator_digests`.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "digest")]
pub struct KeyDigestArguments {
    /// file with the key
    #[argh(positional)]
    pub file: PathBuf,
}

/// List the active keys, without the keys themselves.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct KeyListArguments {}

/// Revoke a key within seconds, after its plan is shown and confirmed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "revoke")]
pub struct KeyRevokeArguments {
    /// label of the key
    #[argh(positional)]
    pub label: String,

    /// show the plan and stop
    #[argh(switch)]
    pub dry_run: bool,

    /// id of the plan that `--dry-run` showed, to confirm exactly that plan
    #[argh(option)]
    pub plan: Option<String>,

    /// confirm the plan without asking
    #[argh(switch)]
    pub yes: bool,

    /// longest time to wait until the change is active everywhere, in milliseconds (30000)
    #[argh(option, default = "30_000")]
    pub wait_ms: u64,
}

/// Show the sealed usage in the platform's store, by customer and service.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "usage",
    example = "{command_name} --store 127.0.0.1:7701 --zone vault-a --zone vault-b --windows 60"
)]
pub struct UsageArguments {
    /// address of the platform's key-value service
    #[argh(option)]
    pub store: SocketAddr,

    /// availability zone; may be repeated
    #[argh(option)]
    pub zone: Vec<String>,

    /// show only this customer
    #[argh(option)]
    pub customer: Option<String>,

    /// number of 60 s windows, counted back from the last sealed one (10)
    #[argh(option, default = "10")]
    pub windows: u64,
}

/// Show the open steps of trainers: lateness, groups by standing, waiting and running items.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "queue",
    example = "{command_name} --metrics 10.0.0.5:9464 --metrics 10.0.1.5:9464",
    note = "Ask the processes that own jobs; others answer with an empty queue. With --json, one object \
        holds the queues of all processes. The exit code is 8 if a process does not respond."
)]
pub struct QueueArguments {
    /// metrics address of a node; may be repeated
    #[argh(option)]
    pub metrics: Vec<SocketAddr>,
}

/// Scrape counters from /metrics, store them as samples, and report error budget burn rates.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "burn",
    example = "{command_name} --objectives deployments/directorate/objectives.toml --samples \
        burn.jsonl --page burn.html",
    note = "Run it regularly, about once a minute; a rate needs samples at both ends of its window."
)]
pub struct BurnArguments {
    /// file with objectives, windows and sources
    #[argh(option)]
    pub objectives: PathBuf,

    /// file in which the samples are stored
    #[argh(option)]
    pub samples: PathBuf,

    /// write a self-contained HTML page with plots to this file
    #[argh(option)]
    pub page: Option<PathBuf>,

    /// report on the stored samples only, without reading the sources
    #[argh(switch)]
    pub offline: bool,
}

/// Check settings and declarations without contacting any service.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check-config",
    example = "{command_name} --entry entry.toml --agent agent.toml declarations/"
)]
pub struct CheckArguments {
    /// settings file of an entry; may be repeated
    #[argh(option)]
    pub entry: Vec<PathBuf>,

    /// settings file of an agent; may be repeated
    #[argh(option)]
    pub agent: Vec<PathBuf>,

    /// objectives file of the burn report; may be repeated
    #[argh(option)]
    pub objectives: Vec<PathBuf>,

    /// load profile; may be repeated
    #[argh(option)]
    pub load: Vec<PathBuf>,

    /// write the declarations as one configuration to this file, for entries without a store (`config_file`)
    #[argh(option)]
    pub snapshot: Option<PathBuf>,

    /// declaration files, or directories from which all *.toml files are read; checked together
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Issue certificates from a development certificate authority; not for production.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "certs",
    example = "{command_name} --dir certs --entry entry-a1 --agent draft-1 --agent draft-2"
)]
pub struct CertificateArguments {
    /// directory for the authority and the certificates; an existing authority in it is reused
    #[argh(option)]
    pub dir: PathBuf,

    /// host that runs an entry; may be repeated
    #[argh(option)]
    pub entry: Vec<String>,

    /// host that runs an agent; may be repeated
    #[argh(option)]
    pub agent: Vec<String>,

    /// name of an operator; may be repeated
    #[argh(option)]
    pub operator: Vec<String>,

    /// replace existing certificates, for example before they expire
    #[argh(switch)]
    pub renew: bool,
}

/// Generate load on entries and report latencies; with --compare, also on an upstream directly.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} deployments/directorate/load.toml",
    example = "{command_name} deployments/directorate/load.toml --rate-per-s 200 --duration-ms 60000",
    note = "--compare alternates between the entry and a direct call to the upstream in the same \
        run and reports the ratio of the latencies."
)]
pub struct LoadArguments {
    /// profile with targets, customers and the kind of loop
    #[argh(positional)]
    pub profile: PathBuf,

    /// override the profile's duration, in milliseconds
    #[argh(option)]
    pub duration_ms: Option<u64>,

    /// override the profile's number of threads
    #[argh(option)]
    pub threads: Option<u32>,

    /// override the profile's rate and use an open loop, in requests per second
    #[argh(option)]
    pub rate_per_s: Option<u32>,

    /// alternate with direct calls to the profile's `direct` address
    #[argh(switch)]
    pub compare: bool,
}

/// Moves the global options in front of the subcommand.
///
/// Operators write `catkindeck status --json`, but the parser accepts global options only before the
/// subcommand.
pub fn hoist_global_options(arguments: &[String]) -> Vec<String> {
    let mut remaining = arguments.iter();
    let mut leading: Vec<String> = remaining.next().cloned().into_iter().collect();
    let mut trailing = Vec::new();
    while let Some(argument) = remaining.next() {
        match argument.as_str() {
            "--json" => leading.push(argument.clone()),
            "--admin" | "--operator-key-file" => {
                leading.push(argument.clone());
                leading.extend(remaining.next().cloned());
            }
            _ => trailing.push(argument.clone()),
        }
    }
    leading.extend(trailing);
    leading
}
