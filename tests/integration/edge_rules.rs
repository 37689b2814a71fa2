//! Parsing at the edges of the mesh: pipelined request heads on a caller's
//! connection, responses that may belong to another call, and durations in the
//! settings.

use bytes::Bytes;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue};
use hyper::{HeaderMap, Method, Response, StatusCode};
use proptest::prelude::*;
use wisteriaturn::gate::ledger::StoredAnswer;
use wisteriaturnd::gate::answer::stored_response;
use wisteriaturnd::gate::answer_kind::AnswerKind;
use wisteriaturnd::http::accept_encoding::AcceptedEncodings;
use wisteriaturnd::http::headers::EdgeHeaders;
use wisteriaturnd::ingress::pipeline::HeadScanner;
use wisteriaturnd::settings::parse_duration;

const TWO_GETS: &str = "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n";

#[yare::parameterized(
    none = { "", &[] },
    two = { TWO_GETS, &["/a/1", "/a/2"] },
    second_head_incomplete = { &TWO_GETS[..TWO_GETS.len() - 3], &["/a/1"] },
    body_with_content_length = {
        "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzGET /b HTTP/1.1\r\n\r\n", &[]
    },
    chunked_body = {
        "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n", &[]
    },
    post = { "POST /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n\r\n", &[] },
    get_then_post = {
        "GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /c HTTP/1.1\r\n\r\n",
        &["/a"]
    },
    garbage = { "\u{1}\u{2}\r\n\r\nGET /b HTTP/1.1\r\n\r\n", &[] },
)]
fn the_scanner_returns_only_leading_gets_without_a_body(bytes: &str, expected_paths: &[&str]) {
    let heads = HeadScanner::new().feed(bytes.as_bytes());
    let paths: Vec<String> = heads.iter().map(|head| head.uri().to_string()).collect();
    assert_eq!(paths, expected_paths);
    assert!(heads.iter().all(|head| head.method() == Method::GET));
    // Feeding the same bytes one at a time gives the same heads.
    let mut scanner = HeadScanner::new();
    let mut heads_by_byte = Vec::new();
    for byte in bytes.as_bytes() {
        heads_by_byte.extend(scanner.feed(std::slice::from_ref(byte)));
    }
    let paths: Vec<String> = heads_by_byte
        .iter()
        .map(|head| head.uri().to_string())
        .collect();
    assert_eq!(paths, expected_paths);
}

/// Returns header names for targets that sign their successful responses.
fn edge_with_signatures() -> EdgeHeaders {
    EdgeHeaders {
        response_stamp: Some(hyper::header::HeaderName::from_static("signature")),
        ..EdgeHeaders::standard()
    }
}

#[yare::parameterized(
    response_to_the_call = { 200, &[("wisteriaturn-request-id", "a"), ("signature", "s")], AnswerKind::Own },
    error_response_to_the_call = { 500, &[("wisteriaturn-request-id", "a")], AnswerKind::Own },
    response_to_another_call = {
        200, &[("wisteriaturn-request-id", "b"), ("signature", "s")], AnswerKind::Foreign
    },
    refusal_of_another_call = {
        503, &[("wisteriaturn-request-id", "b"), ("wisteriaturn-not-run", "1")],
        AnswerKind::Foreign
    },
    unsigned_success = { 200, &[("wisteriaturn-request-id", "a")], AnswerKind::Foreign },
    unrequested_content_encoding = {
        200,
        &[("wisteriaturn-request-id", "a"), ("signature", "s"), ("content-encoding", "gzip")],
        AnswerKind::Foreign
    },
    not_run = { 503, &[("wisteriaturn-not-run", "1")], AnswerKind::NotRun },
    other_target = { 421, &[], AnswerKind::OtherTarget },
)]
fn a_response_is_classified_by_its_status_and_headers(
    status: u16,
    headers: &[(&str, &str)],
    expected: AnswerKind,
) {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let response = builder.body(()).expect("a valid response");
    let request_id = HeaderValue::from_static("a");
    let kind = AnswerKind::classify(
        &edge_with_signatures(),
        Some(&request_id),
        &AcceptedEncodings::default(),
        &response,
    );
    assert_eq!(kind, expected);
}

fn headers_with(name: hyper::header::HeaderName, values: &[&str]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for value in values {
        map.append(&name, HeaderValue::from_str(value).expect("a value"));
    }
    map
}

// Guards against an encoded body that passes as the target's because the request has any
// `Accept-Encoding` header at all.
#[yare::parameterized(
    no_encoding = { &[], &[], true },
    absent = { &[], &["gzip"], false },
    empty = { &[""], &["gzip"], false },
    identity = { &["identity"], &["gzip"], false },
    asked_for = { &["gzip"], &["gzip"], true },
    another = { &["br"], &["gzip"], false },
    one_of_a_list = { &["br, gzip;q=0.5"], &["gzip"], true },
    in_a_second_header = { &["br", "gzip"], &["gzip"], true },
    excluded = { &["gzip;q=0"], &["gzip"], false },
    excluded_with_decimals = { &["gzip; q=0.000, *"], &["gzip"], false },
    any = { &["*"], &["zstd"], true },
    any_excluded = { &["gzip, *;q=0"], &["zstd"], false },
    any_but_one = { &["*, gzip;q=0"], &["gzip"], false },
    upper_case = { &["GZIP"], &["Gzip"], true },
    alias = { &["x-gzip"], &["gzip"], true },
    all_of_several = { &["gzip, br"], &["gzip, br"], true },
    not_all_of_several = { &["gzip"], &["gzip, br"], false },
    not_all_of_several_headers = { &["gzip"], &["gzip", "br"], false },
    answer_names_identity = { &["identity"], &["identity"], false },
    answer_names_nothing = { &["*"], &[""], false },
    weight_out_of_range = { &["gzip;q=2"], &["gzip"], false },
    weight_without_number = { &["gzip;q=x"], &["gzip"], false },
    other_parameter = { &["gzip;level=9"], &["gzip"], false },
)]
fn an_encoding_is_allowed_if_the_request_accepts_it(
    accepted: &[&str],
    named: &[&str],
    is_allowed: bool,
) {
    let accepted = AcceptedEncodings::from_request(&headers_with(ACCEPT_ENCODING, accepted));
    let answer = headers_with(CONTENT_ENCODING, named);
    assert_eq!(accepted.allow(&answer), is_allowed);
}

proptest! {
    #[test]
    fn an_encoding_that_no_request_names_is_never_allowed(text in "[a-z0-9;=., -]{0,40}") {
        let accepted = headers_with(ACCEPT_ENCODING, &[&text]);
        let accepted = AcceptedEncodings::from_request(&accepted);
        let answer = headers_with(CONTENT_ENCODING, &["UNNAMED"]);
        prop_assume!(!text.contains("unnamed"));
        prop_assert!(!accepted.allow(&answer));
    }
}

#[yare::parameterized(
    millis = { "1500ms", Some(1_500) },
    seconds = { "2.5s", Some(2_500) },
    no_unit = { "10", None },
    no_number = { "ms", None },
    negative = { "-1s", None },
    out_of_range = { "1e300s", None },
    not_a_number = { "NaNs", None },
)]
fn a_duration_needs_a_number_and_a_unit(text: &str, millis: Option<u64>) {
    let expected = millis.map(std::time::Duration::from_millis);
    assert_eq!(parse_duration(text), expected);
}

/// Guards against a stored answer whose status is none and that is replayed as a success.
#[yare::parameterized(
    zero = { 0 },
    interim = { 101 },
    above_the_classes = { 600 },
    above_three_digits = { 2000 },
)]
fn a_stored_answer_without_a_valid_status_is_unknown(status: u16) {
    let response = stored_response(&StoredAnswer {
        status,
        headers: Vec::new(),
        body: Bytes::from_static(b"ok"),
    });
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(response.headers()["wisteriaturn-outcome"], "unknown");
}
