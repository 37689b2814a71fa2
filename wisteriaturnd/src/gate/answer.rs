//! Responses that the node creates itself, and replays of stored answers.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use wisteriaturn::gate::ledger::{CallResult, StoredAnswer};
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::peer::message::InquiryAnswer;

use crate::http::body::{NodeBody, full};
use crate::http::exchange::is_final_status;
use crate::http::headers;
use crate::node::NodeState;

/// Default `Retry-After` of a refusal, in seconds.
const DEFAULT_RETRY_AFTER_SECONDS: &str = "1";

/// Returns the status code of a response that did not come from a target.
fn status_code(outcome: CallOutcome, reason: RefusalReason) -> StatusCode {
    match (outcome, reason) {
        (_, RefusalReason::NoRoute) => StatusCode::NOT_FOUND,
        (_, RefusalReason::BadRequest) => StatusCode::BAD_REQUEST,
        (_, RefusalReason::UnknownKey) => StatusCode::UNAUTHORIZED,
        (CallOutcome::NotRun, RefusalReason::OverAllowance) => StatusCode::TOO_MANY_REQUESTS,
        (CallOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

impl NodeState {
    /// Returns the same response as the function [`refusal`], with `after` as
    /// `Retry-After` if the call was not run.
    pub fn refusal(
        &self,
        outcome: CallOutcome,
        reason: RefusalReason,
        after: Duration,
    ) -> Response<NodeBody> {
        let mut response = refusal(outcome, reason);
        self.set_retry_after(&mut response, after);
        response
    }

    /// Sets `Retry-After` on a response with status 429 or 503, in the format that
    /// callers understand. Leaves other responses unchanged.
    pub fn set_retry_after(&self, response: &mut Response<NodeBody>, after: Duration) {
        if !is_for_later(response.status()) {
            return;
        }
        let seconds = after.as_secs_f64();
        if self.edge_headers.has_fractional_retry_after {
            headers::set(response.headers_mut(), RETRY_AFTER, format!("{seconds:.3}"));
        } else {
            let rounded = seconds.ceil().max(1.0);
            headers::set(response.headers_mut(), RETRY_AFTER, format!("{rounded:.0}"));
        }
    }
}

/// Returns `true` if a response with this status says that the call was not run and may be
/// made again later.
fn is_for_later(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Returns a response that states the outcome and the reason of a call without
/// an answer from a target.
pub fn refusal(outcome: CallOutcome, reason: RefusalReason) -> Response<NodeBody> {
    let text = format!("{outcome}: {reason}\n");
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status_code(outcome, reason);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers::set(headers, headers::OUTCOME, outcome);
    headers::set(headers, headers::REASON, reason);
    if is_for_later(response.status()) {
        let value = HeaderValue::from_static(DEFAULT_RETRY_AFTER_SECONDS);
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns a stored answer as a response. One without a valid status is reported as lost,
/// since it says nothing about the outcome.
pub fn stored_response(answer: &StoredAnswer) -> Response<NodeBody> {
    let status = StatusCode::from_u16(answer.status).ok();
    let Some(status) = status.filter(|status| is_final_status(*status)) else {
        log::error!(event = "stored-status-invalid", status = answer.status; "gate");
        return refusal(CallOutcome::Unknown, RefusalReason::TargetLost);
    };
    let mut response = Response::new(full(answer.body.clone()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name);
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers::set(headers, headers::OUTCOME, CallOutcome::Done);
    response
}

/// Returns the response for a call, given its gate's answer to an inquiry. `reason`
/// is used if the gate does not have the result.
pub fn inquiry_response(answer: &InquiryAnswer, reason: RefusalReason) -> Response<NodeBody> {
    match answer {
        InquiryAnswer::NotRun(cause) => refusal(CallOutcome::NotRun, *cause),
        InquiryAnswer::Ended(CallResult::Answered(stored)) => {
            let mut response = stored_response(stored);
            headers::set(response.headers_mut(), headers::REPLAYED, true);
            response
        }
        InquiryAnswer::Ended(CallResult::Refused(cause)) => refusal(CallOutcome::NotRun, *cause),
        InquiryAnswer::Ended(CallResult::Lost | CallResult::TooLarge) | InquiryAnswer::Unknown => {
            refusal(CallOutcome::Unknown, reason)
        }
    }
}
