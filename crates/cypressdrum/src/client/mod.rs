//! Commands of callers and operators, sent to a gateway over HTTP.

pub mod arguments;
pub mod configuration;
pub mod decisions;
pub mod difference;
pub mod error;
pub mod http;
pub mod jobs;
pub mod operator;
pub mod show;

pub use arguments::{ClientArguments, Connection};
pub use error::ClientError;
pub use http::GatewayClient;

use crate::Exit;
use crate::output::OutputFormat;
use arguments::ClientCommand;

/// Gateway client and output format of a client command.
pub struct Context {
    /// Client of the gateways given by `--gateway`.
    pub gateways: GatewayClient,
    /// Output format given by `--output`.
    pub format: OutputFormat,
}

/// Runs one client command and returns its exit code.
pub fn run(command: ClientArguments) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(execute(command)),
        Err(error) => Err(ClientError::Runtime(error)),
    };
    match result {
        Ok(exit) => exit,
        Err(error) => {
            let exit = error.exit();
            if exit != Exit::Done {
                eprintln!("{error}");
            }
            exit
        }
    }
}

async fn execute(command: ClientArguments) -> Result<Exit, ClientError> {
    let (connection, command) = command.split();
    let context = Context {
        format: connection.output,
        gateways: GatewayClient::connect(&connection)?,
    };
    match command {
        ClientCommand::Submit(arguments) => jobs::submit(&context, arguments).await,
        ClientCommand::Status(arguments) => jobs::status(&context, arguments).await,
        ClientCommand::Jobs(arguments) => jobs::list(&context, arguments).await,
        ClientCommand::Cancel(arguments) => jobs::cancel(&context, arguments).await,
        ClientCommand::Explain(arguments) => jobs::explain(&context, arguments).await,
        ClientCommand::Queues => operator::queues(&context).await,
        ClientCommand::Licences => operator::licences(&context).await,
        ClientCommand::Tenants => operator::tenants(&context).await,
        ClientCommand::Runner(command) => operator::runner(&context, command).await,
        ClientCommand::Members => operator::members(&context).await,
        ClientCommand::Config(command) => configuration::run(&context, command).await,
        ClientCommand::Decisions(arguments) => decisions::run(&context, arguments).await,
    }
}
