//! Constructors for the HTTP responses of the admin port.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, ETAG, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use wisteriaturn::ids::Revision;

use crate::http::body::{NodeBody, full};

/// Returns a response whose body is `value` as one line of JSON.
pub fn json_reply<T>(status: StatusCode, value: &T) -> Response<NodeBody>
where
    T: Serialize,
{
    let mut body = serde_json::to_vec(value).unwrap_or_default();
    body.push(b'\n');
    let mut response = Response::new(full(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a JSON response with status 200 and the revision as its `ETag`.
pub fn json_reply_with_etag<T>(revision: Revision, value: &T) -> Response<NodeBody>
where
    T: Serialize,
{
    let mut response = json_reply(StatusCode::OK, value);
    if let Ok(etag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(ETAG, etag);
    }
    response
}

/// Returns a JSON response of the form `{"error": "..."}`.
pub fn error_reply<T>(status: StatusCode, error: T) -> Response<NodeBody>
where
    T: ToString,
{
    json_reply(status, &json!({ "error": error.to_string() }))
}

/// Returns a plain text response, with the content type of the Prometheus text
/// format.
pub fn text_reply(status: StatusCode, text: String) -> Response<NodeBody> {
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
