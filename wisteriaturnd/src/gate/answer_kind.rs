//! Whether what came over a connection is the target's answer to the call.
//!
//! A faulty target may send an answer twice, or late, where the next one is
//! expected; what stands in front of it may answer in its place. Passing such
//! an answer on would give a caller the answer of somebody else's call.

use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::{Response, StatusCode};

use crate::http::headers::EdgeHeaders;

/// Where an answer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The target's answer to the call.
    Own,
    /// The target says that it did not run the call.
    NotRun,
    /// Another target than the one expected has the address, and did not run
    /// the call.
    OtherTarget,
    /// The answer to another call, or not a target's.
    Foreign,
}

impl AnswerKind {
    /// Judges the head of an answer to the call that the caller named
    /// `request_id`. `may_encode` tells whether the caller accepts encodings.
    pub fn classify<B>(
        edge: &EdgeHeaders,
        request_id: Option<&HeaderValue>,
        may_encode: bool,
        response: &Response<B>,
    ) -> Self {
        let map = response.headers();
        let echoed = map.get(&edge.request_id);
        if let (Some(asked), Some(echoed)) = (request_id, echoed)
            && asked != echoed
        {
            return Self::Foreign;
        }
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Self::OtherTarget;
        }
        if map.contains_key(&edge.not_run) {
            return Self::NotRun;
        }
        if let Some(proof) = &edge.response_stamp
            && response.status().is_success()
            && !map.contains_key(proof)
        {
            return Self::Foreign;
        }
        if !may_encode && response.status().is_success() && map.contains_key(CONTENT_ENCODING) {
            return Self::Foreign;
        }
        Self::Own
    }

    /// Returns the name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::NotRun => "not-run",
            Self::OtherTarget => "other-target",
            Self::Foreign => "foreign",
        }
    }
}
