//! The settings file as written, before its values are validated.

use serde::Deserialize;

/// The top level of the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Region in which the VM runs.
    pub region: String,
    /// Data centre in which the VM runs.
    pub data_centre: String,
    /// Bandwidth of the VM's network link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Addresses that the node listens on.
    pub listen: RawListen,
    /// Peer addresses of some other nodes.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Mesh secrets. Messages are signed with the first and accepted with any,
    /// so that a secret can be replaced without downtime.
    pub mesh_secrets: Vec<String>,
    /// Bearer token that writes to the resource API require.
    #[serde(default)]
    pub admin_token: Option<String>,
    /// The log service of the platform.
    pub log: RawLog,
    /// Service that runs on this VM; targets are told which service called.
    #[serde(default)]
    pub caller_service: Option<String>,
    /// Limit on the retries that all nodes together may add.
    #[serde(default)]
    pub retry: Option<RawRetry>,
    /// How calls are placed.
    #[serde(default)]
    pub placement: RawPlacement,
    /// Margin of teams' allowances.
    #[serde(default)]
    pub allowance: Option<RawAllowance>,
    /// Settings of the program that embeds the node; that program validates
    /// them.
    #[serde(default)]
    pub extension: toml::Table,
    /// Timeouts, intervals and limits.
    #[serde(default)]
    pub tuning: RawTuning,
    /// Lowest severity that is logged.
    #[serde(default)]
    pub log_level: Option<String>,
    /// Whether a violated invariant terminates the process.
    #[serde(default)]
    pub strict: bool,
}

/// The `[listen]` table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawListen {
    /// Listen address for calls from callers.
    pub ingress: String,
    /// Listen address for operators, targets and metrics scrapers.
    pub admin: String,
    /// Listen address for calls forwarded by other nodes.
    pub hop: String,
    /// Listen address for messages of other nodes, UDP and TCP.
    pub peer: String,
}

/// The `[retry]` table: a limit on retries that all nodes share.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRetry {
    /// Maximum ratio of retries to calls, from 0 to 1.
    pub ratio: f64,
    /// Number of retries that are allowed per window whatever the number of
    /// calls.
    pub slack: f64,
    /// Length of the window over which calls and retries are counted, such as
    /// `10s` or `1500ms`.
    pub window: String,
}

/// The `[allowance]` table: how far all nodes together may exceed a team's allowance.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAllowance {
    /// Length of the windows in which calls are counted, such as `5s`.
    pub window: String,
    /// Part of the allowance by which it may be exceeded, from 0 to 1.
    pub overage: f64,
    /// Calls by which it may be exceeded besides.
    pub slack: f64,
}

/// The `[placement]` table.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPlacement {
    /// Number of other targets of which each answer between nodes brings news.
    pub shared_news: Option<u64>,
    /// Whether large answers are sent over a VM's link one after the other.
    pub paced_answers: bool,
    /// Whether calls that run far shorter than the others keep their place when late.
    pub short_calls_first: bool,
}

/// The `[log]` table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    /// Address of the log service.
    pub address: String,
    /// Data centre in which the log service runs.
    #[serde(default)]
    pub data_centre: Option<String>,
    /// How long the log service retains records, in seconds.
    #[serde(default)]
    pub retention_s: Option<u64>,
}

/// The `[tuning]` table; every key is optional.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTuning {
    /// Interval between two failure-detection probes, in milliseconds.
    pub probe_interval_ms: Option<u64>,
    /// How long to wait for the acknowledgement of a probe, in milliseconds.
    pub probe_timeout_ms: Option<u64>,
    /// How long a suspect member has to refute the suspicion before it is
    /// declared dead, in milliseconds.
    pub suspect_timeout_ms: Option<u64>,
    /// Number of peers to which an update is gossiped at once.
    pub fanout: Option<u64>,
    /// How long a graceful shutdown waits for calls in flight, in milliseconds.
    pub drain_timeout_ms: Option<u64>,
    /// How long a stopping node still accepts calls while it reports that it is
    /// not ready, in milliseconds.
    pub lame_duck_ms: Option<u64>,
    /// How long a body may make no progress before its transfer is aborted, in
    /// milliseconds.
    pub stall_timeout_ms: Option<u64>,
    /// How long a target announcement is valid unless it is renewed, in
    /// milliseconds.
    pub announce_ttl_ms: Option<u64>,
    /// Maximum number of open connections from callers.
    pub max_connections: Option<u64>,
    /// Maximum number of bytes of a request body that are buffered so that the
    /// request can be retried.
    pub replay_bytes: Option<u64>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: Option<u64>,
    /// How long an idempotency key is remembered, in seconds.
    pub key_lifetime_s: Option<u64>,
    /// Minimum interval between two appends of claims to one stream, in
    /// milliseconds.
    pub claim_interval_ms: Option<u64>,
    /// Number of records after which a relay writes a snapshot.
    pub snapshot_every: Option<u64>,
}
