//! Replies of the admin port.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, ETAG, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use wisteriaturn::ids::Revision;

use crate::http::body::{NodeBody, full};

/// Returns a JSON reply.
pub fn json_reply<T>(status: StatusCode, value: &T) -> Response<NodeBody>
where
    T: Serialize,
{
    let mut text = serde_json::to_vec(value).unwrap_or_default();
    text.push(b'\n');
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Returns a JSON reply with a revision as its entity tag.
pub fn json_reply_with_etag<T>(revision: Revision, value: &T) -> Response<NodeBody>
where
    T: Serialize,
{
    let mut response = json_reply(StatusCode::OK, value);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

/// Returns a reply that says what is wrong.
pub fn error_reply<T>(status: StatusCode, error: T) -> Response<NodeBody>
where
    T: ToString,
{
    json_reply(status, &json!({ "error": error.to_string() }))
}

/// Returns a plain text reply.
pub fn text_reply(status: StatusCode, text: String) -> Response<NodeBody> {
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
