//! Tests of malformed and forbidden input from callers, operators and targets.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::process::program_path;

/// Sends raw bytes and returns everything received until the server closes the
/// connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    // A server that rejects the request early may close before all bytes are
    // written.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(30), reading).await;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

async fn start_cluster_with_target() -> Result<TestCluster> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        tuning: "max_body_bytes = 1000000".to_owned(),
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 6)?;
    cluster.wait_targets(1, "portal", 1).await?;
    Ok(cluster)
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_rejected_and_later_calls_succeed() -> Result<()> {
    let mut cluster = start_cluster_with_target().await?;
    let ingress = cluster.ingress(1);
    let long_value = "x".repeat(70_000);
    let many_headers: String = (0..120).map(|number| format!("h{number}: x\r\n")).collect();
    let close = "connection: close\r\n";
    let requests = [
        "nonsense\r\n\r\n".to_owned(),
        format!("GET /{long_value} HTTP/1.1\r\nhost: x\r\n{close}\r\n"),
        format!("GET /portal HTTP/1.1\r\nhost: x\r\nbig: {long_value}\r\n{close}\r\n"),
        format!("GET /portal HTTP/1.1\r\nhost: x\r\n{many_headers}{close}\r\n"),
        format!("GET /portal HTTP/1.1\r\nhost: x\r\nhost: y\r\n{close}\r\n"),
        format!("GET /portal HTTP/1.1\r\n{close}\r\n"),
        format!(
            "POST /portal HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n{close}\r\nzz\r\n"
        ),
        format!(
            "POST /portal HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n{close}\r\nabcdef"
        ),
        format!("POST /portal HTTP/1.1\r\nhost: x\r\ncontent-length: 9999999\r\n{close}\r\n"),
        format!(
            "POST /portal HTTP/1.1\r\nhost: x\r\nidempotency-key: {}\r\n{close}\r\n",
            "k".repeat(300)
        ),
    ];
    for request in requests {
        let answer = send_raw(ingress, request.as_bytes()).await?;
        let status = answer.get(9..12).unwrap_or("");
        let start: String = request.chars().take(60).collect();
        assert!(
            answer.is_empty() || status.starts_with('4'),
            "{start:?}: {answer}"
        );
        assert!(!cluster.has_crashed_node());
    }
    let reply = client::get(ingress, "/portal").await?;
    assert_eq!(reply.outcome(), "done");
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_framing_headers_cannot_smuggle_a_request() -> Result<()> {
    let cluster = start_cluster_with_target().await?;
    // A smuggled request hides in the body: a reader that goes by
    // `transfer-encoding` ends the body at the empty chunk and sees a second
    // request there; one that goes by `content-length` does not.
    let smuggled = "POST /portal HTTP/1.1\r\nhost: x\r\nx-run: front\r\ncontent-length: 6\r\n\
         transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n\
         GET /portal HTTP/1.1\r\nhost: x\r\nx-run: smuggled\r\n\r\n";
    let answer = send_raw(cluster.ingress(1), smuggled.as_bytes()).await?;
    assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
    assert!(!cluster.run_counts().contains_key("smuggled"));
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn mesh_headers_from_a_caller_are_not_trusted() -> Result<()> {
    let cluster = start_cluster_with_target().await?;
    let headers = [
        ("wisteriaturn-call", "00000000000000000000000000000001"),
        ("wisteriaturn-service", "other"),
        ("wisteriaturn-ask", "revoke"),
        ("wisteriaturn-outcome", "not-run"),
        ("connection", "x-private, keep-alive"),
        ("x-private", "secret"),
        ("proxy-authorization", "secret"),
        ("x-public", "kept"),
    ];
    let reply = client::send(cluster.ingress(1), "GET", "/portal", &headers, b"").await?;
    assert_eq!(reply.outcome(), "done", "{}", reply.text());
    let forwarded = reply.json()["headers"].to_string();
    assert!(forwarded.contains("x-public"), "{forwarded}");
    for removed in [
        "x-private",
        "proxy-authorization",
        "wisteriaturn-ask",
        "wisteriaturn-service",
    ] {
        assert!(!forwarded.contains(removed), "{forwarded}");
    }
    let absolute_form = "GET http://portal.example/portal/a?b=c HTTP/1.1\r\nhost: x\r\n\
         connection: close\r\n\r\n";
    let answer = send_raw(cluster.ingress(1), absolute_form.as_bytes()).await?;
    assert!(answer.contains("\"path\":\"/portal/a?b=c\""), "{answer}");
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_announced_only_as_its_service_permits() -> Result<()> {
    let cluster = start_cluster_with_target().await?;
    let operations = json!([{ "put": { "kind": "service", "name": "closed",
        "permit": ["10.0.0.0/8"], "max_slots": 4 } }]);
    let version = cluster.apply_accepted(0, operations).await?;
    cluster.wait_version(version).await?;
    let announce = async |service: &str, address: &str, slots: u16| -> Result<(u16, String)> {
        let body = json!({ "service": service, "address": address, "slots": slots });
        let reply = client::post(cluster.admin(1), "/v1/targets", &body.to_string()).await?;
        Ok((reply.status, reply.text()))
    };
    let (status, text) = announce("closed", "127.0.0.1:9", 1).await?;
    assert!(
        status == 403 && text.contains("does not permit"),
        "{status} {text}"
    );
    let (status, text) = announce("missing", "127.0.0.1:9", 1).await?;
    assert!(
        status == 409 && text.contains("service/missing"),
        "{status} {text}"
    );
    let (status, text) = announce("closed", "10.0.0.1:9", 5).await?;
    assert!(status == 422 && text.contains("1 to 4"), "{status} {text}");
    let operations = json!([{ "put": { "kind": "service", "name": "narrow",
        "permit": ["127.0.0.0/8"], "max_connections": 3 } }]);
    let version = cluster.apply_accepted(0, operations).await?;
    cluster.wait_version(version).await?;
    let (status, text) = announce("narrow", "127.0.0.1:9", 4).await?;
    assert!(status == 422 && text.contains("1 to 3"), "{status} {text}");
    let unknown_field = r#"{"service":"portal","address":"127.0.0.1:9","slots":1,"wheels":4}"#;
    let reply = client::post(cluster.admin(1), "/v1/targets", unknown_field).await?;
    assert!(
        reply.status == 400 && reply.text().contains("wheels"),
        "{}",
        reply.text()
    );
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_require_the_token_and_errors_name_the_cause() -> Result<()> {
    let mut cluster = TestCluster::prepare(ClusterPlan {
        nodes: 1,
        ..ClusterPlan::default()
    })?;
    let settings = cluster.settings_path(0);
    let text = std::fs::read_to_string(&settings)?;
    std::fs::write(&settings, format!("admin_token = \"letmein\"\n{text}"))?;
    cluster.start_log()?;
    cluster.start_node(0)?;
    cluster.wait_ready().await?;
    let valid_change = json!({ "operations": [{ "put": { "kind": "service", "name": "a",
        "permit": [] } }] })
    .to_string();
    let admin = cluster.admin(0);
    let refused = client::post(admin, "/v1/changes", &valid_change).await?;
    assert_eq!(refused.status, 401);
    let token = [("authorization", "Bearer letmein")];
    let accepted = client::send(
        admin,
        "POST",
        "/v1/changes",
        &token,
        valid_change.as_bytes(),
    )
    .await?;
    assert_eq!(accepted.status, 200, "{}", accepted.text());
    for (body, expected) in [
        ("{", "EOF"),
        (r#"{"operations":[{"put":{"kind":"wheel"}}]}"#, "wheel"),
        (r#"{"operations":[{"delete":"service"}]}"#, "not kind/name"),
        (r#"{"operations":[{}]}"#, "exactly one of put and delete"),
        (
            r#"{"operations":[{"delete":"service/a","expect":"often"}]}"#,
            "expect",
        ),
        (
            r#"{"operations":[{"put":{"kind":"service","name":"a b","permit":[]}}]}"#,
            "' '",
        ),
        (
            r#"{"operations":[{"put":{"kind":"service","name":"a","permit":["x"]}}]}"#,
            "10.1.0.0/16",
        ),
        (
            r#"{"operations":[{"put":{"kind":"service","name":"a","permit":[],"x":1}}]}"#,
            "`x`",
        ),
    ] {
        let reply = client::send(admin, "POST", "/v1/changes", &token, body.as_bytes()).await?;
        assert_eq!(reply.status, 400, "{body} {}", reply.text());
        assert!(reply.text().contains(expected), "{body} {}", reply.text());
    }
    assert_eq!(cluster.status(0).await["version"], json!(1));
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn command_line_errors_name_the_cause_and_set_the_exit_code() -> Result<()> {
    let cluster = start_cluster_with_target().await?;
    let invalid_settings = cluster.folder.join("wrong.toml");
    std::fs::write(&invalid_settings, "regoin = \"x\"\n")?;
    let run = |name: &str, arguments: &[&str]| -> Result<(Option<i32>, String)> {
        let output = Command::new(program_path(name)?).args(arguments).output()?;
        let text = [output.stdout, output.stderr].concat();
        Ok((
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        ))
    };
    let path = invalid_settings.display().to_string();
    let (code, text) = run("wisteriaturnd", &["--check", "--config", &path])?;
    assert!(
        code == Some(2) && text.contains("regoin"),
        "{code:?} {text}"
    );
    let valid_settings = cluster.settings_path(0).display().to_string();
    let (code, _) = run("wisteriaturnd", &["--check", "--config", &valid_settings])?;
    assert_eq!(code, Some(0));
    let node = cluster.admin(0).to_string();
    let change_file = cluster.folder.join("bad.toml").display().to_string();
    std::fs::write(
        &change_file,
        "[[route]]\nname = \"x\"\npath = \"/x\"\nservices = [{ service = \"y\" }]\n",
    )?;
    let (code, text) = run("wisteriaturn", &["--node", &node, "check", &change_file])?;
    assert!(
        code == Some(1) && text.contains("service/y"),
        "{code:?} {text}"
    );
    let (code, text) = run("wisteriaturn", &["--node", &node, "apply", &change_file])?;
    assert!(
        code == Some(1) && text.contains("service/y"),
        "{code:?} {text}"
    );
    std::fs::write(&change_file, "[[wheel]]\n")?;
    let (code, text) = run("wisteriaturn", &["--node", &node, "apply", &change_file])?;
    assert!(code == Some(2) && text.contains("wheel"), "{code:?} {text}");
    let (code, text) = run("wisteriaturn", &["--node", &node, "explain", "/portal/x"])?;
    assert!(
        code == Some(0) && text.contains("verdict=chosen"),
        "{code:?} {text}"
    );
    let (code, _) = run("wisteriaturn", &["--node", &node, "explain", "/nowhere"])?;
    assert_eq!(code, Some(1));
    let (code, text) = run("wisteriaturn", &["--node", "127.0.0.1:1", "status"])?;
    assert!(
        code == Some(1) && text.contains("cannot reach"),
        "{code:?} {text}"
    );
    cluster.set_log_behaviour(r#"{"outage":true}"#).await?;
    std::fs::write(&change_file, "[[service]]\nname = \"late\"\npermit = []\n")?;
    let (code, text) = run("wisteriaturn", &["--node", &node, "apply", &change_file])?;
    assert!(
        code == Some(3) && text.contains("wisteriaturn change "),
        "{code:?} {text}"
    );
    for command in [
        "apply",
        "get",
        "delete",
        "status",
        "watch",
        "explain",
        "targets",
        "members",
        "convergence",
        "change",
        "check",
    ] {
        let (code, text) = run("wisteriaturn", &[command, "--help"])?;
        assert!(
            code == Some(0) && text.contains("print this help"),
            "{command} {text}"
        );
    }
    cluster.remove_folder();
    Ok(())
}
