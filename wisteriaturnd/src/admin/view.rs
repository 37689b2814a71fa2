//! Reads of the admin port: what is in force, where, and why a call would go
//! where it would.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::{Method, Response, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::timeout;
use wisteriaturn::clock::lock;
use wisteriaturn::config::resource::ResourceKey;
use wisteriaturn::config::view::RouteEntry;
use wisteriaturn::ids::{ConfigVersion, DataCentre, NodeAddress};
use wisteriaturn::peer::message::{HolderReport, PeerAnswer, PeerRequest};
use wisteriaturn::route::choose::choose_target;

use crate::admin::change::find_report;
use crate::admin::reply::{error_reply, json_reply, json_reply_with_etag};
use crate::http::body::{BodyError, NodeBody, boxed};
use crate::mesh::peer_client;
use crate::mesh::peer_server::holders;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// Time for another data centre to say who holds a version.
const HOLDERS_TIME: Duration = Duration::from_secs(2);

/// Who holds a version, over all data centres.
#[derive(Debug, Serialize)]
struct ConvergenceReport {
    version: ConfigVersion,
    converged: bool,
    holders: u32,
    laggards: Vec<NodeAddress>,
    data_centres: Vec<PlaceReport>,
}

#[derive(Debug, Serialize)]
struct PlaceReport {
    data_centre: DataCentre,
    reached: bool,
    holders: u32,
    laggards: Vec<NodeAddress>,
}

/// Returns the state of this node.
pub fn status(node: &NodeState) -> Response<NodeBody> {
    let view = node.view.load();
    let (members, live) = {
        let table = lock(&node.table);
        let live = table.iter().filter(|entry| entry.record.is_live()).count();
        (table.len(), live)
    };
    let report = json!({
        "node": node.address(),
        "region": node.place.region,
        "data_centre": node.place.data_centre,
        "stage": format!("{:?}", node.current_stage()).to_lowercase(),
        "version": view.config.version,
        "services": view.config.services.len(),
        "routes": view.config.route_count(),
        "members": members,
        "live_members": live,
        "relay": node.is_relay(),
        "calls_at_gate": node.targets.in_flight(),
    });
    json_reply(StatusCode::OK, &report)
}

/// Returns all resources in force.
pub fn resources(node: &NodeState, kind: Option<&str>) -> Response<NodeBody> {
    let view = node.view.load();
    let resources: Vec<Value> = view
        .config
        .resources
        .iter()
        .filter(|(key, _)| kind.is_none_or(|kind| key.kind.to_string() == kind))
        .map(|(_, held)| json!({ "revision": held.revision, "resource": held.resource }))
        .collect();
    let reply = json!({ "version": view.config.version, "resources": resources });
    json_reply(StatusCode::OK, &reply)
}

/// Returns one resource in force.
pub fn resource(node: &NodeState, key: &ResourceKey) -> Response<NodeBody> {
    let view = node.view.load();
    match view.config.resources.get(key) {
        Some(held) => {
            let reply = json!({ "revision": held.revision, "resource": held.resource });
            json_reply_with_etag(held.revision, &reply)
        }
        None => error_reply(StatusCode::NOT_FOUND, format!("{key} does not exist")),
    }
}

/// Returns the members as this node knows them.
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

/// Returns the targets of each service in force.
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

/// Says which target a call would take now, and why not the others.
pub fn explain(node: &NodeState, host: &str, path: &str, method: &str) -> Response<NodeBody> {
    let Ok(method) = method.parse::<Method>() else {
        let error = format!("method = {method:?} is not a method");
        return error_reply(StatusCode::BAD_REQUEST, error);
    };
    let view = node.view.load();
    let Some(route) = view.config.find_route(host, path) else {
        let error = format!("no route matches host {host:?} and path {path:?}");
        return error_reply(StatusCode::NOT_FOUND, error);
    };
    let services: Vec<Value> = route
        .services
        .iter()
        .map(|(service, weight)| {
            let name = &service.spec.name;
            let targets = view.targets(name);
            // A copy, so that asking does not move the reach of real calls.
            let mut load = lock(&node.load.service(name)).clone();
            let choice = choose_target(
                &node.place,
                &targets,
                &service.policy,
                &mut load,
                &[],
                node.clock.now(),
                &mut rand::rng(),
            );
            json!({ "service": name, "weight": weight, "reach": load.max_distance,
                "candidates": choice.candidates })
        })
        .collect();
    let reply = json!({
        "version": view.config.version,
        "route": route.spec.name,
        "class": route.spec.class,
        "deadline_ms": route.spec.deadline_ms,
        "idempotent": is_idempotent(route, &method),
        "services": services,
    });
    json_reply(StatusCode::OK, &reply)
}

fn is_idempotent(route: &RouteEntry, method: &Method) -> bool {
    route
        .spec
        .idempotent
        .unwrap_or_else(|| method.is_idempotent())
}

/// Asks all data centres who holds a version.
pub async fn convergence(node: &NodeHandle, version: ConfigVersion) -> Response<NodeBody> {
    let mut asked = tokio::task::JoinSet::new();
    for (place, relays) in node.far_relays() {
        let node = node.clone();
        asked.spawn(async move { ask_place(&node, place, relays, version).await });
    }
    let mut places = vec![reached(holders(node, version).await)];
    while let Some(Ok(place)) = asked.join_next().await {
        places.push(place);
    }
    places.sort_by(|one, other| one.data_centre.cmp(&other.data_centre));
    let laggards: Vec<NodeAddress> = places
        .iter()
        .flat_map(|place| place.laggards.iter().copied())
        .collect();
    let report = ConvergenceReport {
        version,
        converged: laggards.is_empty() && places.iter().all(|place| place.reached),
        holders: places.iter().map(|place| place.holders).sum(),
        laggards,
        data_centres: places,
    };
    json_reply(StatusCode::OK, &report)
}

fn reached(report: HolderReport) -> PlaceReport {
    PlaceReport {
        data_centre: report.data_centre,
        reached: true,
        holders: report.holders,
        laggards: report.laggards,
    }
}

async fn ask_place(
    node: &NodeHandle,
    place: DataCentre,
    relays: Vec<NodeAddress>,
    version: ConfigVersion,
) -> PlaceReport {
    for relay in relays {
        let request = PeerRequest::Holders { version };
        let asked = peer_client::request(node, relay, &request, TrafficKind::Convergence);
        if let Ok(Ok(PeerAnswer::Holders(report))) = timeout(HOLDERS_TIME, asked).await {
            return reached(report);
        }
    }
    let members = lock(&node.table)
        .live_in(&place)
        .map(|record| record.address)
        .collect();
    PlaceReport {
        data_centre: place,
        reached: false,
        holders: 0,
        laggards: members,
    }
}

/// Streams what becomes of changes after a version, a line of JSON each.
pub fn watch(node: &NodeHandle, from: ConfigVersion) -> Response<NodeBody> {
    let receiver = node.version.subscribe();
    let state = (node.clone(), receiver, from);
    let lines = stream::unfold(state, |(node, mut receiver, seen)| async move {
        let version = *receiver.wait_for(|version| *version > seen).await.ok()?;
        let text = lines_after(&node, seen, version);
        let frame = Ok::<_, BodyError>(Frame::data(Bytes::from(text)));
        Some((frame, (node, receiver, version)))
    });
    let mut response = Response::new(boxed(StreamBody::new(lines)));
    let kind = hyper::header::HeaderValue::from_static("application/x-ndjson");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

fn lines_after(node: &NodeState, seen: ConfigVersion, upto: ConfigVersion) -> String {
    let recent = lock(&node.store).state().recent();
    let mut text = String::new();
    for (id, version, _) in recent {
        if version > seen
            && version <= upto
            && let Some(report) = find_report(node, id)
        {
            text.push_str(&serde_json::to_string(&report).unwrap_or_default());
            text.push('\n');
        }
    }
    text.push_str(&json!({ "in_force": upto }).to_string());
    text.push('\n');
    text
}
