//! What passes between callers, nodes and targets: heads that wait on a
//! connection, and answers that may belong to another call.

use hyper::header::HeaderValue;
use hyper::{Method, Response};
use wisteriaturnd::gate::standing::AnswerStanding;
use wisteriaturnd::http::headers::EdgeNames;
use wisteriaturnd::ingress::pipeline::HeadScanner;
use wisteriaturnd::settings::parse_duration;

const TWO_READS: &str = "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n";

#[yare::parameterized(
    none = { "", &[] },
    two = { TWO_READS, &["/a/1", "/a/2"] },
    cut_in_the_second = { &TWO_READS[..TWO_READS.len() - 3], &["/a/1"] },
    body_by_length = {
        "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzGET /b HTTP/1.1\r\n\r\n", &[]
    },
    body_in_chunks = {
        "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n", &[]
    },
    write = { "POST /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n\r\n", &[] },
    read_then_write = {
        "GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /c HTTP/1.1\r\n\r\n",
        &["/a"]
    },
    garbage = { "\u{1}\u{2}\r\n\r\nGET /b HTTP/1.1\r\n\r\n", &[] },
)]
fn only_reads_without_a_body_are_looked_at(bytes: &str, expected: &[&str]) {
    let whole = HeadScanner::new().feed(bytes.as_bytes());
    let paths: Vec<String> = whole.iter().map(|head| head.uri().to_string()).collect();
    assert_eq!(paths, expected);
    assert!(whole.iter().all(|head| head.method() == Method::GET));
    // The same bytes one at a time give the same heads.
    let mut scanner = HeadScanner::new();
    let mut single = Vec::new();
    for byte in bytes.as_bytes() {
        single.extend(scanner.feed(std::slice::from_ref(byte)));
    }
    let paths: Vec<String> = single.iter().map(|head| head.uri().to_string()).collect();
    assert_eq!(paths, expected);
}

fn signed_edge() -> EdgeNames {
    EdgeNames {
        answer_proof: Some(hyper::header::HeaderName::from_static("signature")),
        ..EdgeNames::own()
    }
}

#[yare::parameterized(
    own = { 200, &[("wisteriaturn-request-id", "a"), ("signature", "s")], AnswerStanding::Own },
    own_failure = { 500, &[("wisteriaturn-request-id", "a")], AnswerStanding::Own },
    of_another_call = {
        200, &[("wisteriaturn-request-id", "b"), ("signature", "s")], AnswerStanding::Foreign
    },
    refusal_of_another_call = {
        503, &[("wisteriaturn-request-id", "b"), ("wisteriaturn-not-run", "1")],
        AnswerStanding::Foreign
    },
    unsigned = { 200, &[("wisteriaturn-request-id", "a")], AnswerStanding::Foreign },
    encoded = {
        200,
        &[("wisteriaturn-request-id", "a"), ("signature", "s"), ("content-encoding", "gzip")],
        AnswerStanding::Foreign
    },
    not_run = { 503, &[("wisteriaturn-not-run", "1")], AnswerStanding::NotRun },
    other_target = { 421, &[], AnswerStanding::OtherTarget },
)]
fn an_answer_is_judged_by_what_it_repeats(
    status: u16,
    headers: &[(&str, &str)],
    expected: AnswerStanding,
) {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let response = builder.body(()).expect("a valid answer");
    let asked = HeaderValue::from_static("a");
    let standing = AnswerStanding::of(&signed_edge(), Some(&asked), false, &response);
    assert_eq!(standing, expected);
}

#[yare::parameterized(
    millis = { "1500ms", Some(1_500) },
    seconds = { "2.5s", Some(2_500) },
    no_unit = { "10", None },
    no_number = { "ms", None },
    negative = { "-1s", None },
    endless = { "1e300s", None },
    not_a_number = { "NaNs", None },
)]
fn a_time_has_a_number_and_a_unit(text: &str, millis: Option<u64>) {
    let expected = millis.map(std::time::Duration::from_millis);
    assert_eq!(parse_duration(text), expected);
}
