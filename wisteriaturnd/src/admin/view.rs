//! Read requests of the admin port: the configuration in force, members,
//! targets, and convergence across the mesh.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::timeout;
use wisteriaturn::clock::lock;
use wisteriaturn::config::resource::ResourceKey;
use wisteriaturn::ids::{ConfigVersion, DataCentre, NodeAddress};
use wisteriaturn::peer::message::{HolderReport, PeerAnswer, PeerRequest};

use crate::admin::change::find_report;
use crate::admin::reply::{error_reply, json_reply, json_reply_with_etag};
use crate::http::body::{BodyError, NodeBody, boxed};
use crate::mesh::peer_client;
use crate::mesh::peer_server::collect_holders;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// How long a relay of another data centre may take to report which of its nodes
/// hold a version.
const HOLDERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Which nodes of the mesh hold a version, over all data centres.
#[derive(Debug, Serialize)]
struct ConvergenceReport {
    version: ConfigVersion,
    converged: bool,
    holders: u32,
    laggards: Vec<NodeAddress>,
    data_centres: Vec<DataCentreReport>,
}

#[derive(Debug, Serialize)]
struct DataCentreReport {
    data_centre: DataCentre,
    reached: bool,
    holders: u32,
    laggards: Vec<NodeAddress>,
}

/// Returns a summary of the state of this node.
pub fn status(node: &NodeState) -> Response<NodeBody> {
    let view = node.view.load();
    let (members, live) = {
        let table = lock(&node.table);
        let live = table.iter().filter(|entry| entry.record.is_live()).count();
        (table.len(), live)
    };
    let report = json!({
        "node": node.address(),
        "region": node.location.region,
        "data_centre": node.location.data_centre,
        "stage": format!("{:?}", node.current_stage()).to_lowercase(),
        "was_ready": node.was_ready.load(Ordering::Acquire),
        "version": view.config.version,
        "refused": *lock(&node.source.refused),
        "services": view.config.services.len(),
        "routes": view.config.route_count(),
        "members": members,
        "live_members": live,
        "relay": node.is_relay(),
        "calls_at_gate": node.targets.in_flight(),
    });
    json_reply(StatusCode::OK, &report)
}

/// Returns the resources in force, all or those of one kind.
pub fn resources(node: &NodeState, kind: Option<&str>) -> Response<NodeBody> {
    let view = node.view.load();
    let resources: Vec<Value> = view
        .config
        .resources
        .iter()
        .filter(|(key, _)| kind.is_none_or(|kind| key.kind.to_string() == kind))
        .map(|(_, entry)| json!({ "revision": entry.revision, "resource": entry.resource }))
        .collect();
    let reply = json!({ "version": view.config.version, "resources": resources });
    json_reply(StatusCode::OK, &reply)
}

/// Returns one resource in force, with its revision as the `ETag`.
pub fn resource(node: &NodeState, key: &ResourceKey) -> Response<NodeBody> {
    let view = node.view.load();
    match view.config.resources.get(key) {
        Some(entry) => {
            let reply = json!({ "revision": entry.revision, "resource": entry.resource });
            json_reply_with_etag(entry.revision, &reply)
        }
        None => error_reply(StatusCode::NOT_FOUND, format!("{key} does not exist")),
    }
}

/// Returns the member table of this node.
pub fn members(node: &NodeState) -> Response<NodeBody> {
    let table = lock(&node.table);
    let members: Vec<Value> = table
        .iter()
        .map(|entry| {
            let record = &entry.record;
            json!({
                "node": record.address,
                "region": record.region,
                "data_centre": record.data_centre,
                "state": format!("{:?}", record.state).to_lowercase(),
                "incarnation": record.incarnation,
                "sequence": record.sequence,
                "ready": record.is_ready,
                "targets": record.targets,
            })
        })
        .collect();
    json_reply(StatusCode::OK, &members)
}

/// Returns the known targets of each configured service.
pub fn targets(node: &NodeState) -> Response<NodeBody> {
    let view = node.view.load();
    let now = node.clock.now();
    let mut services = serde_json::Map::new();
    for name in view.config.services.keys() {
        let entries = view.targets(name);
        let targets: Vec<Value> = entries
            .iter()
            .map(|target| {
                let ejected = node
                    .load
                    .with_service(name, |load| load.get(target).is_ejected(now));
                json!({
                    "node": target.node,
                    "region": target.region,
                    "data_centre": target.data_centre,
                    "slots": target.slots,
                    "suspect": target.is_suspect,
                    "ejected": ejected,
                })
            })
            .collect();
        services.insert(name.to_string(), Value::Array(targets));
    }
    json_reply(StatusCode::OK, &services)
}

/// Returns which nodes hold a version, after querying a relay of every other
/// data centre. The nodes of a data centre that does not respond count as
/// laggards.
pub async fn convergence(node: &NodeHandle, version: ConfigVersion) -> Response<NodeBody> {
    let mut queries = tokio::task::JoinSet::new();
    for (data_centre, relays) in node.remote_relays() {
        let node = node.clone();
        queries.spawn(async move { query_data_centre(&node, data_centre, relays, version).await });
    }
    let mut reports = vec![reached_report(collect_holders(node, version).await)];
    while let Some(Ok(report)) = queries.join_next().await {
        reports.push(report);
    }
    reports.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
    let laggards: Vec<NodeAddress> = reports
        .iter()
        .flat_map(|report| report.laggards.iter().copied())
        .collect();
    let report = ConvergenceReport {
        version,
        converged: laggards.is_empty() && reports.iter().all(|report| report.reached),
        holders: reports.iter().map(|report| report.holders).sum(),
        laggards,
        data_centres: reports,
    };
    json_reply(StatusCode::OK, &report)
}

fn reached_report(report: HolderReport) -> DataCentreReport {
    DataCentreReport {
        data_centre: report.data_centre,
        reached: true,
        holders: report.holders,
        laggards: report.laggards,
    }
}

async fn query_data_centre(
    node: &NodeHandle,
    data_centre: DataCentre,
    relays: Vec<NodeAddress>,
    version: ConfigVersion,
) -> DataCentreReport {
    for relay in relays {
        let request = PeerRequest::Holders { version };
        let response = peer_client::request(node, relay, &request, TrafficKind::Convergence);
        if let Ok(Ok(PeerAnswer::Holders(report))) = timeout(HOLDERS_TIMEOUT, response).await {
            return reached_report(report);
        }
    }
    let live_nodes = lock(&node.table)
        .live_in(&data_centre)
        .map(|record| record.address)
        .collect();
    DataCentreReport {
        data_centre,
        reached: false,
        holders: 0,
        laggards: live_nodes,
    }
}

/// Streams the outcomes of the changes after version `from` that this node still
/// remembers, one line of JSON each. An `in_force` line with the version reached
/// follows each batch.
pub fn watch(node: &NodeHandle, from: ConfigVersion) -> Response<NodeBody> {
    let receiver = node.version.subscribe();
    let state = (node.clone(), receiver, from);
    let lines = stream::unfold(state, |(node, mut receiver, after)| async move {
        let version = *receiver.wait_for(|version| *version > after).await.ok()?;
        let text = change_lines(&node, after, version);
        let frame = Ok::<_, BodyError>(Frame::data(Bytes::from(text)));
        Some((frame, (node, receiver, version)))
    });
    let mut response = Response::new(boxed(StreamBody::new(lines)));
    let content_type = hyper::header::HeaderValue::from_static("application/x-ndjson");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Returns the JSON lines for the changes after version `after` up to and
/// including `last`.
fn change_lines(node: &NodeState, after: ConfigVersion, last: ConfigVersion) -> String {
    let verdicts = lock(&node.store).state().recent();
    let mut text = String::new();
    for (id, version, _) in verdicts {
        if version > after
            && version <= last
            && let Some(report) = find_report(node, id)
        {
            text.push_str(&serde_json::to_string(&report).unwrap_or_default());
            text.push('\n');
        }
    }
    text.push_str(&json!({ "in_force": last }).to_string());
    text.push('\n');
    text
}
