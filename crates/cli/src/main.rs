//! `heatherrun`, the operators' command-line client.

use std::{fs, path::PathBuf};

use anyhow::Context as _;
use heatherrun_schema::CallError;
use heatherrun_schema::v1::{self, OperatorClient};
use oxhttp::Client;
use oxhttp::model::{Body, Request, Uri};

/// The operators' client of the query tier.
#[derive(argh::FromArgs)]
struct Arguments {
    /// operator address of a node, as IP:port
    #[argh(option, default = "String::from(\"127.0.0.1:7003\")")]
    node: String,
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(Apply),
    Status(Status),
}

/// write a configuration file
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// configuration file, in JSON with comments
    #[argh(positional)]
    file: PathBuf,
}

/// show the state of the tier
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let node = arguments.node;
    let client = OperatorClient {
        send: |call: &str, body: Vec<u8>| send(&node, call, body),
    };
    match arguments.command {
        Command::Apply(apply) => {
            let file = apply.file.display().to_string();
            let text = fs::read_to_string(&apply.file)
                .with_context(|| format!("cannot read {file}; name a readable file"))?;
            let request = v1::ApplyRequest {
                config: Some(heatherrun_settings::read_tier(&file, &text)?.value),
                ..v1::ApplyRequest::default()
            };
            let answer = client.apply(&request)?;
            println!("{}", serde_json::to_string_pretty(&answer)?);
        }
        Command::Status(Status {}) => {
            let answer = client.status(&v1::StatusRequest {})?;
            println!("{}", serde_json::to_string_pretty(&answer)?);
        }
    }
    Ok(())
}

fn send(node: &str, call: &str, body: Vec<u8>) -> Result<Vec<u8>, CallError> {
    let fault = |e: &dyn std::fmt::Display| CallError::Transport(e.to_string());
    let uri: Uri = format!("http://{node}/operator/{call}")
        .parse()
        .map_err(|e: oxhttp::model::uri::InvalidUri| fault(&e))?;
    let request = Request::post(uri)
        .body(Body::from(body))
        .map_err(|e| fault(&e))?;
    let response = Client::new().request(request).map_err(|e| fault(&e))?;
    let ok = response.status().is_success();
    let body = response.into_body().to_vec().map_err(|e| fault(&e))?;
    if ok {
        Ok(body)
    } else {
        Err(CallError::Refused(
            String::from_utf8_lossy(&body).into_owned(),
        ))
    }
}
