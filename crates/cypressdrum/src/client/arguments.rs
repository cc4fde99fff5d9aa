//! Subcommands that send requests to a gateway, and their connection options.

use crate::output::OutputFormat;
use api::job::JobState;
use clap::{Args, Subcommand};
use std::path::PathBuf;
use types::{JobId, QueueName, RunnerId, TenantId};

/// Connection options of every client command.
#[derive(Debug, Clone, Args)]
pub struct Connection {
    /// Gateways, separated by commas; tried in turn.
    #[arg(
        long,
        global = true,
        env = "CYPRESSDRUM_GATEWAY",
        value_name = "URL,...",
        value_delimiter = ',',
        default_value = "http://127.0.0.1:7080"
    )]
    pub gateway: Vec<String>,
    /// File with the bearer token; it is never taken from the command line.
    #[arg(long, global = true, env = "CYPRESSDRUM_KEY_FILE", value_name = "FILE")]
    pub key_file: Option<PathBuf>,
    /// Longest wait for one gateway, in milliseconds.
    #[arg(long, global = true, value_name = "MS", default_value_t = 5_000)]
    pub timeout_ms: u64,
    /// Shape of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: OutputFormat,
}

/// Subcommands that send requests to a gateway.
#[derive(Debug, Subcommand)]
pub enum ClientArguments {
    /// Submit jobs: one JSON document after the other. Sending the same again
    /// is safe.
    Submit {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// The jobs.
        #[command(flatten)]
        arguments: SubmitArguments,
    },
    /// Show where a job stands.
    Status {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// The job.
        #[command(flatten)]
        arguments: JobArguments,
    },
    /// List jobs in order of submission.
    Jobs {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// Which jobs.
        #[command(flatten)]
        arguments: ListArguments,
    },
    /// Cancel jobs by name, or all unfinished jobs of a tenant.
    Cancel {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// Which jobs.
        #[command(flatten)]
        arguments: CancelArguments,
    },
    /// Tell why a job's tasks are where they are.
    Explain {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// The job.
        #[command(flatten)]
        arguments: JobArguments,
    },
    /// Queues.
    Queue {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// What to do.
        #[command(subcommand)]
        command: ListCommand,
    },
    /// Licences.
    Licence {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// What to do.
        #[command(subcommand)]
        command: ListCommand,
    },
    /// Tenants.
    Tenant {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// What to do.
        #[command(subcommand)]
        command: ListCommand,
    },
    /// Runners.
    Runner {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// What to do.
        #[command(subcommand)]
        command: RunnerCommand,
    },
    /// List the daemons with their silence and configuration version.
    Members {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
    },
    /// The cluster configuration.
    Config {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// What to do.
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Read the decision log with its reasons.
    Decisions {
        /// How to reach a gateway.
        #[command(flatten)]
        connection: Connection,
        /// Which decisions.
        #[command(flatten)]
        arguments: DecisionsArguments,
    },
}

/// A client command without its connection options.
#[derive(Debug)]
pub enum ClientCommand {
    /// Submits jobs from a file or standard input.
    Submit(SubmitArguments),
    /// Shows the state of a job.
    Status(JobArguments),
    /// Lists jobs in order of submission.
    Jobs(ListArguments),
    /// Cancels jobs by name, or all unfinished jobs of a tenant.
    Cancel(CancelArguments),
    /// Shows why the tasks of a job wait, or on which runners they run.
    Explain(JobArguments),
    /// Lists queues.
    Queues,
    /// Lists licences with their seats.
    Licences,
    /// Lists tenants with their usage.
    Tenants,
    /// Lists runners, or changes the state of one.
    Runner(RunnerCommand),
    /// Lists the daemons of the cluster.
    Members,
    /// Reads or changes the cluster configuration.
    Config(ConfigCommand),
    /// Prints the decision log.
    Decisions(DecisionsArguments),
}

impl ClientArguments {
    /// Splits the arguments into the connection options and the command.
    pub fn split(self) -> (Connection, ClientCommand) {
        match self {
            Self::Submit {
                connection,
                arguments,
            } => (connection, ClientCommand::Submit(arguments)),
            Self::Status {
                connection,
                arguments,
            } => (connection, ClientCommand::Status(arguments)),
            Self::Jobs {
                connection,
                arguments,
            } => (connection, ClientCommand::Jobs(arguments)),
            Self::Cancel {
                connection,
                arguments,
            } => (connection, ClientCommand::Cancel(arguments)),
            Self::Explain {
                connection,
                arguments,
            } => (connection, ClientCommand::Explain(arguments)),
            Self::Queue { connection, .. } => (connection, ClientCommand::Queues),
            Self::Licence { connection, .. } => (connection, ClientCommand::Licences),
            Self::Tenant { connection, .. } => (connection, ClientCommand::Tenants),
            Self::Runner {
                connection,
                command,
            } => (connection, ClientCommand::Runner(command)),
            Self::Members { connection } => (connection, ClientCommand::Members),
            Self::Config {
                connection,
                command,
            } => (connection, ClientCommand::Config(command)),
            Self::Decisions {
                connection,
                arguments,
            } => (connection, ClientCommand::Decisions(arguments)),
        }
    }
}

/// What to submit.
#[derive(Debug, Args)]
pub struct SubmitArguments {
    /// File with jobs, or - for standard input.
    pub file: PathBuf,
}

/// One job.
#[derive(Debug, Args)]
pub struct JobArguments {
    /// The tenant.
    pub tenant: TenantId,
    /// The caller's identifier.
    pub job: JobId,
}

/// Which jobs to list.
#[derive(Debug, Args)]
pub struct ListArguments {
    /// Of this tenant only.
    #[arg(long)]
    pub tenant: Option<TenantId>,
    /// In this state only: waiting, running, done, failed or cancelled.
    #[arg(long, value_parser = parse_state)]
    pub state: Option<JobState>,
    /// After this number: `next` of the page before.
    #[arg(long)]
    pub after: Option<u64>,
    /// At most this many.
    #[arg(long)]
    pub limit: Option<u32>,
}

fn parse_state(text: &str) -> Result<JobState, serde_json::Error> {
    serde_json::from_value(serde_json::Value::from(text))
}

/// Which jobs to cancel.
#[derive(Debug, Args)]
pub struct CancelArguments {
    /// The tenant.
    pub tenant: TenantId,
    /// The callers' identifiers.
    #[arg(required_unless_present = "all")]
    pub jobs: Vec<JobId>,
    /// All unfinished jobs of the tenant.
    #[arg(long, conflicts_with = "jobs")]
    pub all: bool,
    /// With --all: of this queue only.
    #[arg(long, requires = "all", conflicts_with = "jobs")]
    pub queue: Option<QueueName>,
}

/// What to do with a kind of thing that can only be listed.
#[derive(Debug, Subcommand)]
pub enum ListCommand {
    /// List all.
    List,
}

/// What to do with runners.
#[derive(Debug, Subcommand)]
pub enum RunnerCommand {
    /// List all.
    List,
    /// Start nothing new on a runner.
    Drain {
        /// The runner.
        runner: RunnerId,
    },
    /// Use a drained runner again.
    Undrain {
        /// The runner.
        runner: RunnerId,
    },
    /// Declare that a runner is gone for good and runs nothing any more: its
    /// tasks start elsewhere. Wrong when the machine still runs.
    Lost {
        /// The runner.
        runner: RunnerId,
    },
}

/// What to do with the configuration.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print the document in force, as TOML or with --output json.
    Get,
    /// Put a whole new document. Of two operators with the same version one
    /// wins; sending the same again is safe.
    Put {
        /// The document, TOML or JSON, or - for standard input.
        file: PathBuf,
        /// Version it shall have; default is the one in force plus one.
        #[arg(long)]
        version: Option<u64>,
    },
    /// Change named items of the document in force. Of two operators who build
    /// on the same version one wins; sending the same again is safe.
    Update {
        /// The changes, TOML or JSON, or - for standard input: `replaces`,
        /// `upsert` and `remove`.
        file: PathBuf,
        /// Version it shall have; default is the one it replaces plus one.
        #[arg(long)]
        version: Option<u64>,
    },
    /// Compare a document with the one in force; exit code 1 if they differ.
    Diff {
        /// The document, TOML or JSON, or - for standard input.
        file: PathBuf,
    },
    /// Show the version each member has.
    Status,
}

/// Which decisions to read.
#[derive(Debug, Args)]
pub struct DecisionsArguments {
    /// Go on with new ones as they come.
    #[arg(long)]
    pub follow: bool,
    /// After this number; 0 from the oldest kept.
    #[arg(long, default_value_t = 0)]
    pub after: u64,
    /// At most this many at once.
    #[arg(long)]
    pub limit: Option<u32>,
}
