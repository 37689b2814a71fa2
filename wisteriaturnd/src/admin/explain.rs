//! Explains where a call would go now and why, without sending it.
//!
//! The answer is worked out on copies of what the ingress of this node knows, by the same
//! decisions, so that explaining changes nothing. Each input is given with its age.

use std::time::{Duration, Instant};

use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};
use wisteriaturn::clock::lock;
use wisteriaturn::config::view::{RouteEntry, ServiceEntry, ServingView, TargetEntry};
use wisteriaturn::ids::{NodeAddress, TeamName};
use wisteriaturn::route::choose::{TargetChoice, choose_target};
use wisteriaturn::route::cost::{CallRequirements, PlacementRequest, choose_cheapest_target};
use wisteriaturn::route::load::ServiceLoad;
use wisteriaturn::team::key::TeamKey;

use crate::admin::reply::{error_reply, json_reply};
use crate::http::body::NodeBody;
use crate::node::{NodeHandle, NodeStage};

/// A call to explain.
#[derive(Debug, Clone, Default)]
pub struct ExplainedCall {
    /// Host of the call.
    pub host: String,
    /// Path of the call.
    pub path: String,
    /// Method of the call.
    pub method: String,
    /// Key of the caller's team, hashed or not.
    pub key: Option<String>,
    /// Name of the caller's team, in place of its key.
    pub team: Option<String>,
    /// Size of the request's body in bytes.
    pub bytes: u64,
}

/// Returns where a call would go now, what it would go to next, and what would refuse it.
pub fn explain(node: &NodeHandle, call: &ExplainedCall) -> Response<NodeBody> {
    let Ok(method) = call.method.parse::<Method>() else {
        let error = format!("method = {:?} is not a valid HTTP method", call.method);
        return error_reply(StatusCode::BAD_REQUEST, error);
    };
    let view = node.view.load();
    let Some(route) = view.config.find_route(&call.host, &call.path) else {
        let error = format!(
            "no route matches host {:?} and path {:?}",
            call.host, call.path
        );
        return error_reply(StatusCode::NOT_FOUND, error);
    };
    let team = match explain_team(node, &view, route, call) {
        Ok(team) => team,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, error),
    };
    let services: Vec<Value> = route
        .services
        .iter()
        .map(|(service, weight)| explain_service(node, &view, route, service, *weight, call))
        .collect();
    let is_idempotent = route.spec.idempotent;
    let mut refused_by: Vec<Value> = Vec::new();
    if node.current_stage() != NodeStage::Ready {
        refused_by.push(json!(format!("this node is {:?}", node.current_stage())));
    }
    if let Some(reason) = team.get("refused_by").filter(|reason| !reason.is_null()) {
        refused_by.push(reason.clone());
    }
    for service in &services {
        if let Some(reason) = service.get("refused_by").filter(|reason| !reason.is_null()) {
            refused_by.push(reason.clone());
        }
    }
    let reply = json!({
        "version": view.config.version,
        "route": route.spec.name,
        "class": route.spec.class,
        "deadline_ms": route.spec.deadline_ms,
        "idempotent": is_idempotent.unwrap_or_else(|| method.is_idempotent()),
        "team": team,
        "services": services,
        "refused_by": refused_by,
    });
    json_reply(StatusCode::OK, &reply)
}

/// Explains whose call it is and whether the team has room.
fn explain_team(
    node: &NodeHandle,
    view: &ServingView,
    route: &RouteEntry,
    call: &ExplainedCall,
) -> Result<Value, String> {
    let teams = &view.config.teams;
    if teams.is_empty() || route.spec.public {
        return Ok(json!({ "needed": false }));
    }
    let spec = match (&call.key, &call.team) {
        (Some(key), _) => {
            let key: TeamKey = key.parse().map_err(|error| format!("key: {error}"))?;
            teams.find(key)
        }
        (None, Some(name)) => {
            let name: TeamName = name.parse().map_err(|error| format!("team {error}"))?;
            teams.get(&name)
        }
        (None, None) => {
            return Ok(json!({ "needed": true, "refused_by": "the call shows no key" }));
        }
    };
    let Some(spec) = spec else {
        return Ok(json!({ "needed": true, "refused_by": "no team holds this key" }));
    };
    let now = node.clock.now();
    let wallet = node.teams.describe_wallet(&spec.name, now);
    let refused_for = wallet.map(|wallet| wallet.refused_for).unwrap_or_default();
    let refused_by = (!refused_for.is_zero()).then(|| {
        let millis = refused_for.as_millis();
        format!(
            "team {} has used up its allowance, for {millis} ms",
            spec.name
        )
    });
    Ok(json!({
        "needed": true,
        "name": spec.name,
        "priority": spec.priority,
        "rate_per_s": spec.rate_per_s.per_second(),
        "burst": spec.burst,
        "held_calls": wallet.map(|wallet| wallet.held_calls),
        "waiting_calls": wallet.map(|wallet| wallet.waiting_calls),
        "answer_age_ms": wallet.map(|wallet| wallet.answer_age.as_millis() as u64),
        "refused_by": refused_by,
    }))
}

fn explain_service(
    node: &NodeHandle,
    view: &ServingView,
    route: &RouteEntry,
    service: &ServiceEntry,
    weight: u32,
    call: &ExplainedCall,
) -> Value {
    let name = &service.spec.name;
    let now = node.clock.now();
    let targets = view.targets(name);
    let rollout = node.rollouts.get(name);
    // A copy, because a call on trial would count.
    let allowed = node
        .rollouts
        .with_board(|board| board.clone().filter(name, &targets, false, now));
    let targets: Vec<TargetEntry> = allowed.unwrap_or_else(|| targets.to_vec());
    // A copy, because choosing updates what real calls use.
    let mut load = lock(&node.load.service(name)).clone();
    let inputs = ChoiceInputs {
        node,
        route,
        service,
        targets: &targets,
        request_bytes: call.bytes,
        now,
    };
    let first = inputs.choose(&mut load, &[]);
    let chosen = first.chosen.map(|index| targets[index].node);
    let next = chosen.and_then(|chosen| {
        let mut load = load.clone();
        let choice = inputs.choose(&mut load, &[chosen]);
        choice.chosen.map(|index| targets[index].node)
    });
    let throttle = *load.throttle(&route.spec.name);
    let refused_by = if chosen.is_none() {
        Some(format!(
            "service {name} has no target that the call may go to"
        ))
    } else if throttle.is_overloaded() {
        Some(format!(
            "service {name} admits {:.0} of {:.0} recent calls, so some are refused here",
            throttle.admitted(),
            throttle.calls()
        ))
    } else {
        None
    };
    let candidates: Vec<Value> = first
        .candidates
        .iter()
        .zip(&targets)
        .map(|(candidate, target)| {
            let known = load.get(target);
            let mut value = json!(candidate);
            value["report_age_ms"] =
                json!(candidate.believed.age.map(|age| age.as_millis() as u64));
            value["report_weight"] = json!(candidate.believed.weight);
            value["run_time_ms"] = json!(
                known
                    .mean_run_time(&route.spec.name, now)
                    .map(|time| time.as_millis() as u64)
            );
            value["failure_rate"] = json!(known.failure_rate(now));
            value["software_version"] = json!(target.version);
            value
        })
        .collect();
    json!({
        "service": name,
        "weight": weight,
        "reach": load.max_distance,
        "chosen": chosen,
        "next": next,
        "max_wait_ms": (first.max_wait < Duration::MAX).then_some(first.max_wait.as_millis() as u64),
        "rollout": rollout.map(|rollout| json!({
            "version": rollout.state.order.version,
            "phase": rollout.state.phase.name(),
            "share_permille": rollout.state.share,
            "heard_ms_ago": now.saturating_duration_since(rollout.heard_at).as_millis() as u64,
        })),
        "refused_by": refused_by,
        "candidates": candidates,
    })
}

/// What the choice of a target depends on, apart from the load.
struct ChoiceInputs<'a> {
    node: &'a NodeHandle,
    route: &'a RouteEntry,
    service: &'a ServiceEntry,
    targets: &'a [TargetEntry],
    request_bytes: u64,
    now: Instant,
}

impl ChoiceInputs<'_> {
    /// Chooses a target as the ingress does for a call that arrives now.
    fn choose(&self, load: &mut ServiceLoad, tried: &[NodeAddress]) -> TargetChoice {
        let Self { node, targets, .. } = *self;
        let (location, policy) = (&node.location, &self.service.policy);
        let (spec, now) = (&self.route.spec, self.now);
        let mut rng = rand::rng();
        if spec.target_latency_ms.is_none() {
            return choose_target(location, targets, policy, load, tried, now, &mut rng);
        }
        let estimate = node.answer_estimates.estimate(&spec.name);
        let requirements = CallRequirements {
            soft_deadline: spec.target_latency(),
            deadline: spec.deadline(),
            request_bytes: self.request_bytes,
            answer_bytes: estimate.bytes,
            expected_run_time: estimate.run_time,
        };
        let request = PlacementRequest {
            route: &spec.name,
            requirements: &requirements,
            tried,
            own_node: Some(node.address()),
        };
        choose_cheapest_target(location, targets, policy, load, request, now, &mut rng)
    }
}

/// Returns the roll-outs that this node knows of.
pub fn rollouts(node: &NodeHandle) -> Response<NodeBody> {
    let now = node.clock.now();
    let rollouts: Vec<Value> = node.rollouts.with_board(|board| {
        let entries = board.iter().map(|rollout| {
            json!({
                "service": rollout.state.order.service,
                "version": rollout.state.order.version,
                "order": rollout.state.order.offset,
                "phase": rollout.state.phase.name(),
                "share_permille": rollout.state.share,
                "leader": rollout.state.leader,
                "elapsed_ms": rollout.elapsed(now).as_millis() as u64,
                "limit_ms": rollout.state.order.duration_ms,
                "heard_ms_ago": now.saturating_duration_since(rollout.heard_at).as_millis() as u64,
                "own_calls": rollout.counter.reached(),
                "own_calls_on_trial": rollout.counter.tried(),
            })
        });
        entries.collect()
    });
    json_reply(StatusCode::OK, &rollouts)
}

/// Returns the allowances that this node keeps, with the calls that are left.
pub fn allowances(node: &NodeHandle) -> Response<NodeBody> {
    let now = node.clock.now();
    let kept = node.teams.describe_buckets(now);
    let kept: Vec<Value> = kept
        .into_iter()
        .map(|(team, rate, tokens)| {
            json!({ "team": team, "rate_per_s": rate.per_second(), "calls_left": tokens as u64 })
        })
        .collect();
    json_reply(StatusCode::OK, &kept)
}
