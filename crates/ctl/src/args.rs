use {
    clap::{Parser, Subcommand, ValueEnum},
    mango_wire::config::ObjectKind,
    std::path::PathBuf,
};

const EXAMPLES: &str = "\
Examples:
  mangoctl check -f examples/wage-survey
  mangoctl apply -f examples/wage-survey --wait
  mangoctl get team
  mangoctl get pool model-farma --output json
  mangoctl label endpoint farma-07 state=repair
  mangoctl explain --team statistika --work job-title-tagging

Environment:
  MANGOCTL_ROUTER  URL of the router, if --router is not given
  MANGOCTL_TOKEN   operator token, if --token-file is not given

Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or not confirmed";

/// Shows and changes the configuration of a fleet of routers.
#[derive(Clone, Debug, Parser)]
#[command(name = "mangoctl", version, after_help = EXAMPLES)]
pub struct Args {
    /// URL of the operator address of any router.
    #[arg(long, global = true, value_name = "URL")]
    pub router: Option<String>,
    /// File that contains the operator token.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Format of the output.
    #[arg(long, global = true, value_enum, default_value_t = Output::Table)]
    pub output: Output,
    /// Command.
    #[command(subcommand)]
    pub command: Command,
}

/// Format of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Output {
    /// Text for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Commands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Create or replace the objects of a file or of a directory's .json files.
    #[command(after_help = "\
Only objects that differ are sent, as one change. The change is made against the
version in the file, if the file is the output of `get --output json`, or else
against the current version. It is rejected if another change modified one of
its objects after that version.

Examples:
  mangoctl apply -f teams.json
  mangoctl get team --output json > teams.json   # edit, then
  mangoctl apply -f teams.json --wait")]
    Apply {
        /// File or directory.
        #[arg(short, long, value_name = "PATH")]
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// List objects, all or of one kind, or show one object.
    #[command(after_help = "Examples:\n  mangoctl get\n  mangoctl get route\n  \
                            mangoctl get team statistika --output json")]
    Get {
        /// endpoint, pool, team, work or route.
        #[arg(value_parser = parse_kind)]
        kind: Option<ObjectKind>,
        /// Id of one object.
        #[arg(requires = "kind")]
        id: Option<String>,
    },
    /// Delete an object.
    #[command(after_help = "Example:\n  mangoctl delete route drafts-to-farma")]
    Delete {
        /// endpoint, pool, team, work or route.
        #[arg(value_parser = parse_kind)]
        kind: ObjectKind,
        /// Id.
        id: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Set and remove labels of an endpoint, a team or a kind of work.
    #[command(after_help = "Examples:\n  mangoctl label endpoint farma-07 state=repair\n  \
                            mangoctl label team statistika large- --wait")]
    Label {
        /// endpoint, team or work.
        #[arg(value_parser = parse_kind)]
        kind: ObjectKind,
        /// Id.
        id: String,
        /// `key=value` sets a label, `key-` removes it.
        #[arg(required = true, value_name = "KEY=VALUE|KEY-")]
        labels: Vec<String>,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Check files as a complete configuration, without contacting a router.
    #[command(after_help = "Example:\n  mangoctl check -f examples/gas-recalls")]
    Check {
        /// File or directory.
        #[arg(short, long, value_name = "PATH")]
        file: PathBuf,
    },
    /// Explain where a piece of work may run and which conditions decide it.
    ///
    /// On the users' platform, a request is identified by its host name and path.
    #[command(
        after_help = "Examples:\n  mangoctl explain --team tartu --work doorstep-question\n  \
                            mangoctl explain --team tartu --work visit-booking --service broneering\n  \
                            mangoctl explain --host-name ficu95.example --path /lohu930/2f"
    )]
    Explain {
        /// Team id.
        #[arg(long, required_unless_present = "host_name")]
        team: Option<String>,
        /// Id of the kind of work.
        #[arg(long, required_unless_present = "host_name")]
        work: Option<String>,
        /// Host name of a request on the users' platform.
        #[arg(long, requires = "path", conflicts_with_all = ["team", "work"])]
        host_name: Option<String>,
        /// Path of the request.
        #[arg(long, requires = "host_name")]
        path: Option<String>,
        /// Hash of the prompt's prefix, as printed in log lines.
        #[arg(long, requires = "host_name", value_name = "HEX")]
        prefix: Option<String>,
        /// Service in the request path; omitted for model work.
        #[arg(long)]
        service: Option<String>,
        /// Id of a chat, to show the endpoints that are tried for it, in order.
        #[arg(long)]
        chat: Option<String>,
    },
    /// Show the log lines of a request or an endpoint in the order of time.
    #[command(after_help = "\
Shows the log lines of a request, and those that its hosts wrote from 6 s before it
about their start and stop, their settings, the store, the relay, the configuration
and the endpoints of the request. Times are relative to the first matching line. Hosts
whose logs do not cover the time from the first to the last matching line are listed
at the end.

Examples:
  mangoctl trace --request 8e4b4fb3e841e255 --log logs/*.log
  mangoctl trace --endpoint i-f26ca27d79 --from-ms 1767865657000 --log logs/*.log")]
    Trace {
        /// Id of a request.
        #[arg(long, required_unless_present = "endpoint")]
        request: Option<String>,
        /// Id of an endpoint.
        #[arg(long)]
        endpoint: Option<String>,
        /// Earliest time stamp, in Unix milliseconds.
        #[arg(long, value_name = "MS")]
        from_ms: Option<u64>,
        /// Latest time stamp, in Unix milliseconds.
        #[arg(long, value_name = "MS")]
        to_ms: Option<u64>,
        /// Log files of any number of routers.
        #[arg(long, required = true, num_args = 1.., value_name = "FILE")]
        log: Vec<PathBuf>,
    },
    /// Show the state of the router.
    State,
    /// Compare what hosts on the users' platform know from the store's logs.
    #[command(after_help = "\
Hosts that have read the same records and know different things differ: they use other
endpoints, or another configuration. The exit code is 1 if any do.

Example:
  mangoctl copies http://10.1.0.40:7340 http://10.1.0.41:7340")]
    Copies {
        /// URLs of the side addresses of the hosts.
        #[arg(required = true, value_name = "URL")]
        hosts: Vec<String>,
    },
    /// Start a planned stop of the router.
    Drain,
    /// Show accepted and rejected changes, newest first.
    History {
        /// Maximum number of changes to show.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
}

impl Command {
    /// Whether routers on the users' platform support the command too. They require
    /// no token.
    pub(crate) fn is_supported_on_platform(&self) -> bool {
        matches!(self, Command::State | Command::Explain { host_name: Some(_), .. })
    }
}

/// Arguments of commands that change the configuration.
#[derive(Clone, Debug, clap::Args)]
pub struct ChangeArgs {
    /// Wait until all live routers have the change.
    #[arg(long)]
    pub wait: bool,
    /// Maximum time to wait, in milliseconds.
    #[arg(long, default_value_t = 10_000, value_name = "MS")]
    pub wait_ms: u32,
    /// Author of the change; the environment variable USER if not given.
    #[arg(long, value_name = "NAME")]
    pub author: Option<String>,
}

fn parse_kind(text: &str) -> Result<ObjectKind, String> {
    text.parse().map_err(|_| "expected endpoint, pool, team, work or route".to_owned())
}
