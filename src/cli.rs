//! The arguments of all binaries.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Runs the one small process of a target VM.
///
/// It takes callers, guards the targets of its VM, and gossips with the other nodes. Flags go before
/// the settings file.
#[derive(Debug, Default, Parser)]
#[command(name = "marjoramdyke-node", version)]
pub struct NodeArgs {
    /// Read settings from this file: JSON with comments.
    #[arg(long, short = 's', value_name = "FILE")]
    pub settings: Option<String>,
    /// Be reached by other nodes at this address.
    #[arg(long, value_name = "ADDRESS")]
    pub fleet: Option<String>,
    /// Listen for other nodes on this address, if it differs from the one they use.
    #[arg(long, value_name = "ADDRESS")]
    pub fleet_listen: Option<String>,
    /// Listen for callers on this address.
    #[arg(long, value_name = "ADDRESS")]
    pub callers: Option<String>,
    /// Listen for targets and operators of this VM on this address.
    #[arg(long, value_name = "ADDRESS")]
    pub local: Option<String>,
    /// Be in this data centre.
    #[arg(long, value_name = "NAME")]
    pub data_centre: Option<String>,
    /// Use the platform at this address.
    #[arg(long, value_name = "ADDRESS")]
    pub platform: Option<String>,
    /// Start from this node; may be given several times.
    #[arg(long = "peer", value_name = "ADDRESS")]
    pub peers: Vec<String>,
    /// Read the fleet secret from this file instead of the environment.
    #[arg(long, value_name = "FILE")]
    pub secret_file: Option<String>,
    /// Log from this level on: error, warn, info or debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: String,
}

/// Checks and changes the configuration of a fleet, and tells what is in force.
#[derive(Debug, Parser)]
#[command(name = "marjoramdyke", version)]
pub struct OperatorArgs {
    /// Where the platform and the nodes are.
    #[command(flatten)]
    pub reach: Reach,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Where the platform and the nodes are.
#[derive(Debug, Clone, Args)]
pub struct Reach {
    /// Use the platform at this address.
    #[arg(
        long,
        global = true,
        env = "MARJORAMDYKE_PLATFORM",
        value_name = "ADDRESS"
    )]
    pub platform: Option<String>,
    /// Ask this node; may be given several times, the first that answers counts.
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
    /// Wait until the change is in force everywhere, or say where it is not.
    #[arg(long, short = 'w', global = true)]
    pub wait: bool,
    /// Wait at most this many seconds.
    #[arg(long, global = true, default_value_t = 30, value_name = "SECONDS")]
    pub wait_limit: u64,
}

/// What the operator's command line does.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a file and list all its mistakes, without changing anything.
    Check {
        /// The file: JSON with comments.
        file: String,
    },
    /// Apply a file as a whole, or not at all.
    Apply {
        /// The file: JSON with comments.
        file: String,
        /// Refuse unless the present generation is this one.
        #[arg(long, value_name = "GENERATION")]
        expect: Option<u64>,
    },
    /// Tell the generation of the head and which VMs hold it.
    Status {
        /// Find out whether an operation with an unknown result took effect.
        #[arg(long, value_name = "ID")]
        operation: Option<String>,
    },
    /// Take a data centre out: it gets no new work.
    Drain {
        /// The data centre.
        data_centre: String,
    },
    /// Bring a drained data centre back.
    Restore {
        /// The data centre.
        data_centre: String,
    },
    /// Withdraw a key for good.
    Withdraw {
        /// The key's id.
        key: String,
    },
    /// Make a key for an organisation and print it once.
    Grant {
        /// The organisation.
        organisation: String,
    },
    /// Declare a VM dead, so that others take over the rates it keeps.
    VmGone {
        /// The VM's fleet address.
        vm: String,
    },
    /// Print the completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Reports the burn of service levels, worst-served organisation first.
#[derive(Debug, Parser)]
#[command(name = "marjoramdyke-report", version)]
pub struct ReportArgs {
    /// Read from the local listener of this node; may be given several times.
    #[arg(long = "node", required = true, value_name = "ADDRESS")]
    pub nodes: Vec<String>,
    /// Count answers against this objective, as a share of successes.
    #[arg(long, default_value_t = 0.999, value_name = "SHARE")]
    pub objective: f64,
    /// Print JSON instead of text.
    #[arg(long)]
    pub json: bool,
}
