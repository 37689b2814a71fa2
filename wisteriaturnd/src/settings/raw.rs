//! The settings file as written, before its values are checked.

use serde::Deserialize;

/// The settings file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Region of the VM.
    pub region: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// What the VM's link carries, in Mbit/s.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Addresses that the node listens on.
    pub listen: RawListen,
    /// Peer addresses of some other nodes.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Secrets of the mesh; the first signs.
    pub mesh_secrets: Vec<String>,
    /// Token that writes through the resource API must bear.
    #[serde(default)]
    pub admin_token: Option<String>,
    /// The platform's log.
    pub log: RawLog,
    /// Service that runs on this VM; targets are told which service called.
    #[serde(default)]
    pub caller_service: Option<String>,
    /// Retries that all nodes together may add.
    #[serde(default)]
    pub retry: Option<RawRetry>,
    /// Settings of the program that the node is part of, which checks them.
    #[serde(default)]
    pub extension: toml::Table,
    /// Times and bounds.
    #[serde(default)]
    pub tuning: RawTuning,
    /// Level of the log lines.
    #[serde(default)]
    pub log_level: Option<String>,
    /// Whether a broken invariant ends the process.
    #[serde(default)]
    pub strict: bool,
}

/// Addresses as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawListen {
    /// Where callers connect.
    pub ingress: String,
    /// Where operators, targets and metrics readers connect.
    pub admin: String,
    /// Where other nodes send calls.
    pub hop: String,
    /// Where other nodes send messages, UDP and TCP.
    pub peer: String,
}

/// The shared limit of retries as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRetry {
    /// Retries as a share of the calls.
    pub ratio: f64,
    /// Retries in one window at any rate of calls.
    pub slack: f64,
    /// The window, such as `10s` or `1500ms`.
    pub window: String,
}

/// The log as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    /// Address of the log service.
    pub address: String,
    /// Data centre in which it stands.
    #[serde(default)]
    pub data_centre: Option<String>,
    /// How long it keeps records, in seconds.
    #[serde(default)]
    pub retention_s: Option<u64>,
}

/// Times and bounds as written; all are optional.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTuning {
    /// Time between two probes, in milliseconds.
    pub probe_interval_ms: Option<u64>,
    /// Time for the answer to a probe, in milliseconds.
    pub probe_timeout_ms: Option<u64>,
    /// Time that a suspect has to refute, in milliseconds.
    pub suspect_timeout_ms: Option<u64>,
    /// Nodes to which news is pushed.
    pub fanout: Option<u64>,
    /// Time that a planned stop waits for calls in flight, in milliseconds.
    pub drain_timeout_ms: Option<u64>,
    /// Time in which a stopping node still takes callers, in milliseconds.
    pub lame_duck_ms: Option<u64>,
    /// Time without progress after which a body is given up, in milliseconds.
    pub stall_timeout_ms: Option<u64>,
    /// Time that an announcement of a target lasts, in milliseconds.
    pub announce_ttl_ms: Option<u64>,
    /// Connections from callers that are open at once.
    pub max_connections: Option<u64>,
    /// Bytes of a request body kept so that it can be sent again.
    pub replay_bytes: Option<u64>,
    /// Bytes of one request body at most.
    pub max_body_bytes: Option<u64>,
    /// How long an idempotency key is remembered, in seconds.
    pub key_lifetime_s: Option<u64>,
    /// Least time between two appends of claims to one stream, in milliseconds.
    pub claim_interval_ms: Option<u64>,
    /// Records after which a relay writes a snapshot.
    pub snapshot_every: Option<u64>,
}
