//! The implementation of each command.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Map, Value, json};
use wisteriaturn::team::key::TeamKey;

use crate::api::{ApiReply, ApiRequest, NodeClient, error_message};
use crate::change_file::read_change;
use crate::error::CliError;
use crate::options::{ApplyOptions, CliCommand, CliOptions, ExplainOptions, OutputFormat};
use crate::print::print_reply;
use crate::why::print_request_lines;

/// Interval between two queries of the convergence of a version.
const CONVERGENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the command that the options name.
pub(crate) async fn run(options: CliOptions, client: &NodeClient) -> Result<(), CliError> {
    let format = options.output;
    let no_command = || CliError::Usage("missing command; see --help".to_owned());
    match options.command.ok_or_else(no_command)? {
        CliCommand::Apply(options) => apply(client, format, options).await,
        CliCommand::Get(options) => {
            let what = options.what.unwrap_or_else(|| "resources".to_owned());
            get_and_print(client, format, &format!("/v1/{what}")).await
        }
        CliCommand::Delete(options) => {
            let what = options.what.ok_or_else(|| missing_argument("kind/name"))?;
            delete(client, format, &what, options.revision).await
        }
        CliCommand::Status(_) => get_and_print(client, format, "/v1/status").await,
        CliCommand::Watch(options) => watch(client, options.from).await,
        CliCommand::Explain(options) => explain(client, format, options).await,
        CliCommand::Targets(_) => get_and_print(client, format, "/v1/targets").await,
        CliCommand::Rollouts(_) => get_and_print(client, format, "/v1/rollouts").await,
        CliCommand::Allowances(_) => get_and_print(client, format, "/v1/allowances").await,
        CliCommand::Members(_) => get_and_print(client, format, "/v1/members").await,
        CliCommand::Convergence(options) => {
            let query = options.version.map(|version| format!("?version={version}"));
            let path = format!("/v1/convergence{}", query.unwrap_or_default());
            get_and_print(client, format, &path).await
        }
        CliCommand::Change(options) => {
            let id = options.id.ok_or_else(|| missing_argument("change id"))?;
            get_and_print(client, format, &format!("/v1/changes/{id}")).await
        }
        CliCommand::Why(options) => {
            let (request_id, files) = options
                .words
                .split_first()
                .filter(|(_, files)| !files.is_empty())
                .ok_or_else(|| missing_argument("request id and at least one log file"))?;
            let files: Vec<PathBuf> = files.iter().map(PathBuf::from).collect();
            print_request_lines(request_id, &files)
        }
        CliCommand::Check(options) => check(client, format, options.file.as_deref()).await,
    }
}

fn missing_argument(what: &str) -> CliError {
    CliError::Usage(format!("missing argument: {what}; see --help"))
}

async fn get_and_print(
    client: &NodeClient,
    format: OutputFormat,
    path: &str,
) -> Result<(), CliError> {
    let reply = client.get(path).await?;
    print_reply(format, &reply);
    Ok(())
}

async fn apply(
    client: &NodeClient,
    format: OutputFormat,
    options: ApplyOptions,
) -> Result<(), CliError> {
    let mut change = read_change(options.file.as_deref())?;
    if let Some(author) = options.author {
        change.insert("author".to_owned(), json!(author));
    }
    if let Some(id) = options.change_id {
        change.insert("change_id".to_owned(), json!(id));
    }
    let reply = post_change(client, "/v1/changes", &change).await?;
    print_reply(format, &reply.body);
    if !options.wait {
        return Ok(());
    }
    let version = reply.body["version"].as_u64().unwrap_or_default();
    wait_for_convergence(client, version, Duration::from_secs(options.timeout)).await
}

async fn check(
    client: &NodeClient,
    format: OutputFormat,
    file: Option<&Path>,
) -> Result<(), CliError> {
    let change = read_change(file)?;
    let reply = post_change(client, "/v1/changes?dry_run=true", &change).await?;
    print_reply(format, &reply.body);
    Ok(())
}

async fn post_change(
    client: &NodeClient,
    path: &str,
    change: &Map<String, Value>,
) -> Result<ApiReply, CliError> {
    let reply = client
        .send(ApiRequest {
            method: Method::POST,
            path: path.to_owned(),
            body: Value::Object(change.clone()).to_string(),
            revision: None,
        })
        .await?;
    check_write_reply(reply)
}

/// Returns the reply to a write if the write was accepted, and otherwise the
/// matching error. Status 504 means that its outcome is unknown.
fn check_write_reply(reply: ApiReply) -> Result<ApiReply, CliError> {
    let id = reply.body["change_id"].as_str().unwrap_or("-");
    match reply.status {
        200 => Ok(reply),
        504 => Err(CliError::Unknown(format!(
            "{}; to query it, run: wisteriaturn change {id}",
            error_message(&reply)
        ))),
        _ => Err(CliError::Refused(error_message(&reply))),
    }
}

/// Waits until every live node holds a version and prints the progress to
/// standard error.
async fn wait_for_convergence(
    client: &NodeClient,
    version: u64,
    timeout: Duration,
) -> Result<(), CliError> {
    let deadline = Instant::now() + timeout;
    let mut reported_holders = None;
    loop {
        let report = client
            .get(&format!("/v1/convergence?version={version}"))
            .await?;
        let laggards = report["laggards"].as_array().cloned().unwrap_or_default();
        let holders = report["holders"].as_u64().unwrap_or_default();
        if report["converged"] == json!(true) {
            eprintln!("version {version}: all {holders} nodes hold it");
            return Ok(());
        }
        if reported_holders != Some(holders) {
            let live = holders + laggards.len() as u64;
            eprintln!("version {version}: {holders} of {live} nodes hold it");
            reported_holders = Some(holders);
        }
        if Instant::now() >= deadline {
            let names: Vec<&str> = laggards.iter().filter_map(Value::as_str).collect();
            let reason = format!("version {version} is not held by {}", names.join(", "));
            return Err(CliError::TimedOut(reason));
        }
        tokio::time::sleep(CONVERGENCE_POLL_INTERVAL).await;
    }
}

async fn delete(
    client: &NodeClient,
    format: OutputFormat,
    what: &str,
    revision: Option<u64>,
) -> Result<(), CliError> {
    let reply = client
        .send(ApiRequest {
            method: Method::DELETE,
            path: format!("/v1/{what}"),
            body: String::new(),
            revision,
        })
        .await?;
    let reply = check_write_reply(reply)?;
    print_reply(format, &reply.body);
    Ok(())
}

async fn explain(
    client: &NodeClient,
    format: OutputFormat,
    options: ExplainOptions,
) -> Result<(), CliError> {
    let path = options.path.ok_or_else(|| missing_argument("path"))?;
    let mut query = form_urlencoded::Serializer::new(String::new());
    query
        .append_pair("path", &path)
        .append_pair("host", &options.host)
        .append_pair("method", &options.method)
        .append_pair("bytes", &options.bytes.to_string());
    if let Some(key) = &options.key {
        let key: TeamKey = key
            .parse()
            .map_err(|error| CliError::Usage(format!("--key: {error}")))?;
        query.append_pair("key", &key.to_string());
    }
    if let Some(team) = &options.team {
        query.append_pair("team", team);
    }
    let query = query.finish();
    get_and_print(client, format, &format!("/v1/explain?{query}")).await
}

async fn watch(client: &NodeClient, from: u64) -> Result<(), CliError> {
    let mut response = client
        .open(ApiRequest {
            method: Method::GET,
            path: format!("/v1/watch?from={from}"),
            body: String::new(),
            revision: None,
        })
        .await?;
    while let Some(frame) = response.frame().await {
        let frame = frame.map_err(|error| CliError::Unreachable(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            print!("{}", String::from_utf8_lossy(&data));
        }
    }
    Ok(())
}
