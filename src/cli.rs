//! Command-line arguments of all binaries.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Runs the proxy node of a target VM.
///
/// The node accepts callers' requests, admits and sends requests to the targets of its VM, and gossips
/// with the other nodes. Flags override the settings file.
#[derive(Debug, Default, Parser)]
#[command(name = "marjoramdyke-node", version)]
pub struct NodeArgs {
    /// Read settings from this file, which is JSON with comments.
    #[arg(long, short = 's', value_name = "FILE")]
    pub settings: Option<String>,
    /// Advertise this address to other nodes; it also identifies the VM.
    #[arg(long, value_name = "ADDRESS")]
    pub fleet: Option<String>,
    /// Listen for other nodes on this address, if it differs from the advertised one.
    #[arg(long, value_name = "ADDRESS")]
    pub fleet_listen: Option<String>,
    /// Listen for callers on this address.
    #[arg(long, value_name = "ADDRESS")]
    pub callers: Option<String>,
    /// Listen for the targets and operators of this VM on this address.
    #[arg(long, value_name = "ADDRESS")]
    pub local: Option<String>,
    /// Run in this data centre.
    #[arg(long, value_name = "NAME")]
    pub data_centre: Option<String>,
    /// Use the platform at this address.
    #[arg(long, value_name = "ADDRESS")]
    pub platform: Option<String>,
    /// Join the fleet through this node; may be given several times.
    #[arg(long = "peer", value_name = "ADDRESS")]
    pub peers: Vec<String>,
    /// Read the fleet secret from this file instead of the environment.
    #[arg(long, value_name = "FILE")]
    pub secret_file: Option<String>,
    /// Write log messages of this level and above: error, warn, info or debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: String,
}

/// Checks and changes the configuration of a fleet, and shows which generation is in force.
#[derive(Debug, Parser)]
#[command(name = "marjoramdyke", version)]
pub struct OperatorArgs {
    /// Options of all subcommands.
    #[command(flatten)]
    pub global: GlobalArgs,
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of all subcommands: the platform, the nodes, and whether to wait.
#[derive(Debug, Clone, Args)]
pub struct GlobalArgs {
    /// Use the platform at this address.
    #[arg(
        long,
        global = true,
        env = "MARJORAMDYKE_PLATFORM",
        value_name = "ADDRESS"
    )]
    pub platform: Option<String>,
    /// Query this node; may be given several times, the first one that responds is used.
    #[arg(
        long = "node",
        global = true,
        env = "MARJORAMDYKE_NODES",
        value_delimiter = ',',
        value_name = "ADDRESS"
    )]
    pub nodes: Vec<String>,
    /// Read the fleet secret from this file instead of the environment.
    #[arg(long, global = true, value_name = "FILE")]
    pub secret_file: Option<String>,
    /// Wait until the change is in force everywhere, or list the VMs on which it is not.
    #[arg(long, short = 'w', global = true)]
    pub wait: bool,
    /// Wait no longer than this many seconds.
    #[arg(long, global = true, default_value_t = 30, value_name = "SECONDS")]
    pub wait_limit: u64,
}

/// The subcommands of the operator's command line.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validate a configuration file and list all its errors, without changing anything.
    Check {
        /// The configuration file, JSON with comments.
        file: String,
    },
    /// Apply a configuration file atomically.
    Apply {
        /// The configuration file, JSON with comments.
        file: String,
        /// Fail unless this is the current generation.
        #[arg(long, value_name = "GENERATION")]
        expect: Option<u64>,
    },
    /// Show the generation of the head and which VMs hold it.
    Status {
        /// Find out whether this operation, whose outcome was unknown, took effect.
        #[arg(long, value_name = "ID")]
        operation: Option<String>,
    },
    /// Drain a data centre, so that it gets no new requests.
    Drain {
        /// The name of the data centre.
        data_centre: String,
    },
    /// Return a drained data centre to service.
    Restore {
        /// The name of the data centre.
        data_centre: String,
    },
    /// Withdraw a key permanently.
    Withdraw {
        /// The id of the key.
        key: String,
    },
    /// Create a key for an organisation and print it, which is the only time it is shown.
    Grant {
        /// The name of the organisation.
        organisation: String,
    },
    /// Declare a VM dead, so that other nodes take over the slices of rate limits it owns.
    VmGone {
        /// The fleet address of the VM.
        vm: String,
    },
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Reports how fast services use up their error budgets, the worst-served organisation first.
#[derive(Debug, Parser)]
#[command(name = "marjoramdyke-report", version)]
pub struct ReportArgs {
    /// Read the counts of this node from its local listener; may be given several times.
    #[arg(long = "node", required = true, value_name = "ADDRESS")]
    pub nodes: Vec<String>,
    /// Measure against this objective: the share of requests that should succeed.
    #[arg(long, default_value_t = 0.999, value_name = "SHARE")]
    pub objective: f64,
    /// Print JSON instead of text.
    #[arg(long)]
    pub json: bool,
}
