//! Checks that a response is the target's answer to the call that was sent.
//!
//! A faulty target may send an answer twice, or so late that it arrives in
//! place of the next one, and a proxy in front of the target may answer for it.
//! Forwarding such a response would give a caller the answer to another
//! caller's call.

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::http::accept_encoding::AcceptedEncodings;
use crate::http::headers::EdgeHeaders;

/// What a response from a target's address is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The target's answer to this call.
    Own,
    /// A response in which the target reports that it did not run the call.
    NotRun,
    /// A response from a different target that now has the address. It did not
    /// run the call.
    OtherTarget,
    /// An answer to another call, or a response that does not come from a
    /// target.
    Foreign,
}

impl AnswerKind {
    /// Classifies a response by its status and headers. `request_id` is the
    /// caller's identifier for the attempt, and `accepted` are the encodings that its
    /// request accepts.
    pub fn classify<B>(
        edge: &EdgeHeaders,
        request_id: Option<&HeaderValue>,
        accepted: &AcceptedEncodings,
        response: &Response<B>,
    ) -> Self {
        let map = response.headers();
        let echoed = map.get(&edge.request_id);
        if let (Some(sent), Some(echoed)) = (request_id, echoed)
            && sent != echoed
        {
            return Self::Foreign;
        }
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Self::OtherTarget;
        }
        if map.contains_key(&edge.not_run) {
            return Self::NotRun;
        }
        if let Some(stamp) = &edge.response_stamp
            && response.status().is_success()
            && !map.contains_key(stamp)
        {
            return Self::Foreign;
        }
        if response.status().is_success() && !accepted.allow(map) {
            return Self::Foreign;
        }
        Self::Own
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::NotRun => "not-run",
            Self::OtherTarget => "other-target",
            Self::Foreign => "foreign",
        }
    }
}
