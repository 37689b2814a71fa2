//! What each command does.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Map, Value, json};

use crate::api::{ApiReply, ApiRequest, NodeApi, error_text};
use crate::error::ToolError;
use crate::options::{ApplyOptions, ExplainOptions, OutputFormat, ToolCommand, ToolOptions};
use crate::print::print_reply;
use crate::source::read_change;
use crate::why::why;

/// Pause between two looks at who holds a version.
const WAIT_STEP: Duration = Duration::from_millis(100);

/// Runs a command.
pub(crate) async fn run(options: ToolOptions, api: &NodeApi) -> Result<(), ToolError> {
    let format = options.output;
    let usage = || ToolError::Usage("a command is needed; see --help".to_owned());
    match options.command.ok_or_else(usage)? {
        ToolCommand::Apply(options) => apply(api, format, options).await,
        ToolCommand::Get(options) => {
            let what = options.what.unwrap_or_else(|| "resources".to_owned());
            show(api, format, &format!("/v1/{what}")).await
        }
        ToolCommand::Delete(options) => {
            let what = options.what.ok_or_else(|| missing("kind/name"))?;
            delete(api, format, &what, options.revision).await
        }
        ToolCommand::Status(_) => show(api, format, "/v1/status").await,
        ToolCommand::Watch(options) => watch(api, options.from).await,
        ToolCommand::Explain(options) => explain(api, format, options).await,
        ToolCommand::Targets(_) => show(api, format, "/v1/targets").await,
        ToolCommand::Members(_) => show(api, format, "/v1/members").await,
        ToolCommand::Convergence(options) => {
            let query = options.version.map(|version| format!("?version={version}"));
            let path = format!("/v1/convergence{}", query.unwrap_or_default());
            show(api, format, &path).await
        }
        ToolCommand::Change(options) => {
            let id = options.id.ok_or_else(|| missing("id of the change"))?;
            show(api, format, &format!("/v1/changes/{id}")).await
        }
        ToolCommand::Why(options) => {
            let (request, files) = options
                .words
                .split_first()
                .filter(|(_, files)| !files.is_empty())
                .ok_or_else(|| missing("request's name and a log file"))?;
            let files: Vec<PathBuf> = files.iter().map(PathBuf::from).collect();
            why(request, &files)
        }
        ToolCommand::Check(options) => check(api, format, options.file.as_deref()).await,
    }
}

fn missing(what: &str) -> ToolError {
    ToolError::Usage(format!("the {what} is needed; see --help"))
}

async fn show(api: &NodeApi, format: OutputFormat, path: &str) -> Result<(), ToolError> {
    let reply = api.get(path).await?;
    print_reply(format, &reply);
    Ok(())
}

async fn apply(
    api: &NodeApi,
    format: OutputFormat,
    options: ApplyOptions,
) -> Result<(), ToolError> {
    let mut change = read_change(options.file.as_deref())?;
    if let Some(author) = options.author {
        change.insert("author".to_owned(), json!(author));
    }
    if let Some(id) = options.change_id {
        change.insert("change_id".to_owned(), json!(id));
    }
    let reply = post_change(api, "/v1/changes", &change).await?;
    print_reply(format, &reply.body);
    if !options.wait {
        return Ok(());
    }
    let version = reply.body["version"].as_u64().unwrap_or_default();
    wait_converged(api, version, Duration::from_secs(options.timeout)).await
}

async fn check(api: &NodeApi, format: OutputFormat, file: Option<&Path>) -> Result<(), ToolError> {
    let change = read_change(file)?;
    let reply = post_change(api, "/v1/changes?dry_run=true", &change).await?;
    print_reply(format, &reply.body);
    Ok(())
}

async fn post_change(
    api: &NodeApi,
    path: &str,
    change: &Map<String, Value>,
) -> Result<ApiReply, ToolError> {
    let reply = api
        .send(ApiRequest {
            method: Method::POST,
            path: path.to_owned(),
            body: Value::Object(change.clone()).to_string(),
            revision: None,
        })
        .await?;
    settle(reply)
}

/// Turns the reply to a write into a result.
fn settle(reply: ApiReply) -> Result<ApiReply, ToolError> {
    let id = reply.body["change_id"].as_str().unwrap_or("-");
    match reply.status {
        200 => Ok(reply),
        504 => Err(ToolError::Unknown(format!(
            "{}; ask with: wisteriaturn change {id}",
            error_text(&reply)
        ))),
        _ => Err(ToolError::Refused(error_text(&reply))),
    }
}

/// Waits until every live node holds a version, telling the progress.
async fn wait_converged(api: &NodeApi, version: u64, time: Duration) -> Result<(), ToolError> {
    let until = Instant::now() + time;
    let mut told = None;
    loop {
        let report = api
            .get(&format!("/v1/convergence?version={version}"))
            .await?;
        let laggards = report["laggards"].as_array().cloned().unwrap_or_default();
        let holders = report["holders"].as_u64().unwrap_or_default();
        if report["converged"] == json!(true) {
            eprintln!("version {version}: all {holders} nodes hold it");
            return Ok(());
        }
        if told != Some(holders) {
            let all = holders + laggards.len() as u64;
            eprintln!("version {version}: {holders} of {all} nodes hold it");
            told = Some(holders);
        }
        if Instant::now() >= until {
            let names: Vec<&str> = laggards.iter().filter_map(Value::as_str).collect();
            let text = format!("version {version} is not held by {}", names.join(", "));
            return Err(ToolError::NotReached(text));
        }
        tokio::time::sleep(WAIT_STEP).await;
    }
}

async fn delete(
    api: &NodeApi,
    format: OutputFormat,
    what: &str,
    revision: Option<u64>,
) -> Result<(), ToolError> {
    let reply = api
        .send(ApiRequest {
            method: Method::DELETE,
            path: format!("/v1/{what}"),
            body: String::new(),
            revision,
        })
        .await?;
    let reply = settle(reply)?;
    print_reply(format, &reply.body);
    Ok(())
}

async fn explain(
    api: &NodeApi,
    format: OutputFormat,
    options: ExplainOptions,
) -> Result<(), ToolError> {
    let path = options.path.ok_or_else(|| missing("path"))?;
    let query = form_urlencoded::Serializer::new(String::new())
        .append_pair("path", &path)
        .append_pair("host", &options.host)
        .append_pair("method", &options.method)
        .finish();
    show(api, format, &format!("/v1/explain?{query}")).await
}

async fn watch(api: &NodeApi, from: u64) -> Result<(), ToolError> {
    let mut response = api
        .open(ApiRequest {
            method: Method::GET,
            path: format!("/v1/watch?from={from}"),
            body: String::new(),
            revision: None,
        })
        .await?;
    while let Some(frame) = response.frame().await {
        let frame = frame.map_err(|error| ToolError::Unreachable(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            print!("{}", String::from_utf8_lossy(&data));
        }
    }
    Ok(())
}
