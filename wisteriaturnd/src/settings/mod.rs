//! The settings of a node, read from a TOML file.
//!
//! Settings are read in two steps: [`raw::RawSettings`] mirrors the file, and
//! `TryFrom` converts it into [`NodeSettings`], whose values are all validated.
//! An unknown key is an error: if it were ignored, a misspelt key would
//! silently leave the default in force.
//! [docs/SETTINGS.md](../../../docs/SETTINGS.md) lists all keys.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use wisteriaturn::ids::{DataCentre, LinkRate, RegionName, ServiceName};
use wisteriaturn::peer::auth::MeshKeys;
use wisteriaturn::retry::budget::RetryLimit;
use wisteriaturn::route::news::MAX_NEWS;
use wisteriaturn::team::keeper::AllowanceMargin;

use crate::error::SettingsError;
use crate::settings::raw::{RawAllowance, RawLog, RawRetry, RawSettings, RawTuning};

pub mod raw;

/// Minimum length of a mesh secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Validated settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Region in which the VM runs.
    pub region: RegionName,
    /// Data centre in which the VM runs.
    pub data_centre: DataCentre,
    /// Bandwidth of the VM's network link.
    pub link: LinkRate,
    /// Listen address for calls from callers.
    pub ingress: SocketAddr,
    /// Listen address for operators, targets and metrics scrapers.
    pub admin: SocketAddr,
    /// Listen address for calls forwarded by other nodes.
    pub hop: SocketAddr,
    /// Listen address for messages of other nodes, UDP and TCP.
    pub peer: SocketAddr,
    /// Peer addresses of some other nodes, used to join the mesh.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate messages between nodes, derived from the mesh
    /// secrets.
    pub keys: MeshKeys,
    /// Bearer token that writes to the resource API require; none is required if
    /// absent.
    pub admin_token: Option<String>,
    /// Address of the log service.
    pub log_address: SocketAddr,
    /// Data centre in which the log service runs.
    pub log_data_centre: Option<DataCentre>,
    /// Service that runs on this VM; targets are told which service called.
    pub caller_service: Option<ServiceName>,
    /// Limit on the retries that all nodes together may add for one service.
    pub retry: Option<RetryLimit>,
    /// Margin by which all nodes together may exceed a team's allowance.
    pub allowance: Option<AllowanceMargin>,
    /// How calls are placed.
    pub placement: PlacementSettings,
    /// Settings of the program that embeds the node.
    pub extension: toml::Table,
    /// Timeouts, intervals and limits.
    pub tuning: NodeTuning,
    /// Lowest severity that is logged.
    pub log_level: LevelFilter,
    /// Whether a violated invariant terminates the process.
    pub strict: bool,
}

/// Validated settings of how calls are placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementSettings {
    /// Number of other targets of which each answer between nodes brings news; none is
    /// shared if 0.
    pub shared_news: usize,
    /// Whether large answers are sent over a VM's link one after the other.
    pub paced_answers: bool,
    /// Whether calls that run far shorter than the others of their target keep their place
    /// when they are late.
    pub short_calls_first: bool,
}

/// Validated timeouts, intervals and limits.
#[derive(Debug, Clone)]
pub struct NodeTuning {
    /// Interval between two failure-detection probes.
    pub probe_interval: Duration,
    /// How long to wait for the acknowledgement of a probe.
    pub probe_timeout: Duration,
    /// How long a suspect member has to refute the suspicion before it is
    /// declared dead.
    pub suspect_timeout: Duration,
    /// Number of peers to which an update is gossiped at once.
    pub fanout: usize,
    /// How long a graceful shutdown waits for calls in flight.
    pub drain_timeout: Duration,
    /// How long a stopping node still accepts calls while it reports that it is
    /// not ready, so that callers switch to other nodes before its port closes.
    pub lame_duck: Duration,
    /// How long a body may make no progress before its transfer is aborted.
    pub stall_timeout: Duration,
    /// How long a target announcement is valid unless it is renewed.
    pub announce_ttl: Duration,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum number of bytes of a request body that are buffered so that the
    /// request can be retried.
    pub replay_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// How long an idempotency key is remembered.
    pub key_lifetime: Duration,
    /// Minimum interval between two appends of claims to one stream.
    pub claim_interval: Duration,
    /// Number of records after which a relay writes a snapshot.
    pub snapshot_every: u64,
}

impl NodeSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] if the file cannot be read or parsed, or if
    /// a value is not allowed; it then names the key, the value and what is
    /// allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(format!("{}: {error}", path.display())))?;
        text.parse()
    }
}

impl FromStr for NodeSettings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let raw: RawSettings = toml::from_str(text)
            .map_err(|error| SettingsError::Malformed(error.to_string().trim_end().to_owned()))?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for NodeSettings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let mut seeds = Vec::with_capacity(raw.seeds.len());
        for seed in &raw.seeds {
            seeds.push(parse_address("seeds", seed)?);
        }
        let tuning = NodeTuning::try_from(&raw.tuning)?;
        check_retention(&raw.log, &tuning)?;
        let settings = Self {
            region: parse_value("region", &raw.region, "a name")?,
            data_centre: parse_value("data_centre", &raw.data_centre, "a name")?,
            link: parse_link_rate(raw.link_mbps)?,
            ingress: parse_address("listen.ingress", &raw.listen.ingress)?,
            admin: parse_address("listen.admin", &raw.listen.admin)?,
            hop: parse_address("listen.hop", &raw.listen.hop)?,
            peer: parse_address("listen.peer", &raw.listen.peer)?,
            seeds,
            keys: derive_mesh_keys(&raw.mesh_secrets)?,
            admin_token: raw.admin_token,
            log_address: parse_address("log.address", &raw.log.address)?,
            log_data_centre: match &raw.log.data_centre {
                Some(name) => Some(parse_value("log.data_centre", name, "a name")?),
                None => None,
            },
            caller_service: match &raw.caller_service {
                Some(name) => Some(parse_value("caller_service", name, "a name")?),
                None => None,
            },
            retry: match &raw.retry {
                Some(retry) => Some(parse_retry_limit(retry)?),
                None => None,
            },
            allowance: match &raw.allowance {
                Some(allowance) => Some(parse_margin(allowance)?),
                None => None,
            },
            placement: PlacementSettings {
                shared_news: validate_number(
                    "placement.shared_news",
                    raw.placement.shared_news,
                    0,
                    0..=MAX_NEWS as u64,
                )? as usize,
                paced_answers: raw.placement.paced_answers,
                short_calls_first: raw.placement.short_calls_first,
            },
            extension: raw.extension,
            tuning,
            log_level: match &raw.log_level {
                Some(level) => {
                    parse_value("log_level", level, "off, error, warn, info, debug, trace")?
                }
                None => LevelFilter::Info,
            },
            strict: raw.strict,
        };
        settings.check_listen_addresses()?;
        Ok(settings)
    }
}

impl NodeSettings {
    fn check_listen_addresses(&self) -> Result<(), SettingsError> {
        // All four ports accept TCP connections (the peer port uses UDP as
        // well), so no two may share an address.
        let listen_addresses = [
            ("listen.ingress", self.ingress),
            ("listen.admin", self.admin),
            ("listen.hop", self.hop),
            ("listen.peer", self.peer),
        ];
        for (index, (key, value)) in listen_addresses.iter().enumerate() {
            if listen_addresses[..index]
                .iter()
                .any(|(_, other)| other == value)
            {
                return Err(not_allowed(key, value, "an address of its own"));
            }
            if value.ip().is_unspecified() && matches!(*key, "listen.hop" | "listen.peer") {
                return Err(not_allowed(
                    key,
                    value,
                    "an address that other nodes can reach",
                ));
            }
        }
        Ok(())
    }
}

impl TryFrom<&RawTuning> for NodeTuning {
    type Error = SettingsError;

    fn try_from(raw: &RawTuning) -> Result<Self, SettingsError> {
        let millis = Duration::from_millis;
        let secs = Duration::from_secs;
        let probe_interval = validate_number(
            "tuning.probe_interval_ms",
            raw.probe_interval_ms,
            1_000,
            50..=60_000,
        )?;
        let probe_timeout = validate_number(
            "tuning.probe_timeout_ms",
            raw.probe_timeout_ms,
            300,
            10..=10_000,
        )?;
        let suspect_timeout = validate_number(
            "tuning.suspect_timeout_ms",
            raw.suspect_timeout_ms,
            4_000,
            100..=120_000,
        )?;
        let fanout = validate_number("tuning.fanout", raw.fanout, 4, 1..=16)?;
        let drain_timeout = validate_number(
            "tuning.drain_timeout_ms",
            raw.drain_timeout_ms,
            60_000,
            0..=3_600_000,
        )?;
        let lame_duck = validate_number("tuning.lame_duck_ms", raw.lame_duck_ms, 0, 0..=600_000)?;
        let stall_timeout = validate_number(
            "tuning.stall_timeout_ms",
            raw.stall_timeout_ms,
            30_000,
            100..=3_600_000,
        )?;
        let announce_ttl = validate_number(
            "tuning.announce_ttl_ms",
            raw.announce_ttl_ms,
            10_000,
            500..=600_000,
        )?;
        let max_connections = validate_number(
            "tuning.max_connections",
            raw.max_connections,
            4_096,
            1..=1_000_000,
        )?;
        let replay_bytes = validate_number(
            "tuning.replay_bytes",
            raw.replay_bytes,
            65_536,
            0..=16_777_216,
        )?;
        let max_body_bytes = validate_number(
            "tuning.max_body_bytes",
            raw.max_body_bytes,
            1 << 32,
            1..=1_u64 << 50,
        )?;
        let key_lifetime = validate_number(
            "tuning.key_lifetime_s",
            raw.key_lifetime_s,
            900,
            10..=86_400,
        )?;
        let claim_interval = validate_number(
            "tuning.claim_interval_ms",
            raw.claim_interval_ms,
            20,
            0..=1_000,
        )?;
        let snapshot_every = validate_number(
            "tuning.snapshot_every",
            raw.snapshot_every,
            500,
            1..=1_000_000,
        )?;
        Ok(Self {
            probe_interval: millis(probe_interval),
            probe_timeout: millis(probe_timeout),
            suspect_timeout: millis(suspect_timeout),
            fanout: fanout as usize,
            drain_timeout: millis(drain_timeout),
            lame_duck: millis(lame_duck),
            stall_timeout: millis(stall_timeout),
            announce_ttl: millis(announce_ttl),
            max_connections: max_connections as usize,
            replay_bytes: replay_bytes as usize,
            max_body_bytes,
            key_lifetime: secs(key_lifetime),
            claim_interval: millis(claim_interval),
            snapshot_every,
        })
    }
}

fn not_allowed<V>(key: &'static str, value: V, allowed: &str) -> SettingsError
where
    V: ToString,
{
    SettingsError::NotAllowed {
        key,
        value: format!("{:?}", value.to_string()),
        allowed: allowed.to_owned(),
    }
}

fn parse_value<T>(key: &'static str, value: &str, allowed: &str) -> Result<T, SettingsError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    value
        .parse()
        .map_err(|error: T::Err| not_allowed(key, value, &format!("{allowed} ({error})")))
}

fn parse_address(key: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
    let address: SocketAddr =
        parse_value(key, value, "an IP address and port such as 127.0.0.1:7000")?;
    if address.port() == 0 {
        return Err(not_allowed(key, value, "a port from 1 to 65535"));
    }
    Ok(address)
}

fn validate_number(
    key: &'static str,
    value: Option<u64>,
    default: u64,
    range: RangeInclusive<u64>,
) -> Result<u64, SettingsError> {
    let value = value.unwrap_or(default);
    if !range.contains(&value) {
        let allowed = format!("{} to {}", range.start(), range.end());
        return Err(not_allowed(key, value, &allowed));
    }
    Ok(value)
}

/// Maximum link bandwidth, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1e6;

fn parse_link_rate(mbps: Option<f64>) -> Result<LinkRate, SettingsError> {
    let Some(mbps) = mbps else {
        return Ok(LinkRate::default());
    };
    if !(0.001..=MAX_LINK_MBPS).contains(&mbps) {
        return Err(not_allowed("link_mbps", mbps, "0.001 to 1000000"));
    }
    Ok(LinkRate((mbps * 1_000.0).round() as u32))
}

fn parse_retry_limit(raw: &RawRetry) -> Result<RetryLimit, SettingsError> {
    if !(0.0..=1.0).contains(&raw.ratio) {
        return Err(not_allowed("retry.ratio", raw.ratio, "0 to 1"));
    }
    if !(0.0..=1e6).contains(&raw.slack) {
        return Err(not_allowed("retry.slack", raw.slack, "0 to 1000000"));
    }
    let window = parse_duration(&raw.window)
        .filter(|window| !window.is_zero())
        .ok_or_else(|| {
            not_allowed(
                "retry.window",
                &raw.window,
                "a duration such as 10s or 1500ms",
            )
        })?;
    Ok(RetryLimit {
        ratio: raw.ratio,
        slack: raw.slack,
        window,
    })
}

fn parse_margin(raw: &RawAllowance) -> Result<AllowanceMargin, SettingsError> {
    if !(0.0..=1.0).contains(&raw.overage) {
        return Err(not_allowed("allowance.overage", raw.overage, "0 to 1"));
    }
    if !(0.0..=1e6).contains(&raw.slack) {
        return Err(not_allowed("allowance.slack", raw.slack, "0 to 1000000"));
    }
    let window = parse_duration(&raw.window)
        .filter(|window| !window.is_zero())
        .ok_or_else(|| {
            let allowed = "a duration such as 5s or 1500ms";
            not_allowed("allowance.window", &raw.window, allowed)
        })?;
    Ok(AllowanceMargin {
        window,
        overage: raw.overage,
        slack: raw.slack,
    })
}

/// Longest duration that [`parse_duration`] accepts.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);

/// Parses a duration with its unit, such as `1500ms` or `2.5s`. Returns `None`
/// if it is malformed, negative or longer than 30 days.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * unit;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|duration| *duration <= MAX_DURATION)
}

fn derive_mesh_keys(secrets: &[String]) -> Result<MeshKeys, SettingsError> {
    let is_valid = (1..=2).contains(&secrets.len())
        && secrets
            .iter()
            .all(|secret| secret.len() >= MIN_SECRET_BYTES);
    if !is_valid {
        // The error message must not reveal the secrets.
        let value = format!("{} secret(s)", secrets.len());
        return Err(not_allowed(
            "mesh_secrets",
            value,
            "one or two secrets of at least 16 bytes each",
        ));
    }
    Ok(MeshKeys::derive(secrets.iter().map(String::as_str)))
}

fn check_retention(log: &RawLog, tuning: &NodeTuning) -> Result<(), SettingsError> {
    let Some(retention) = log.retention_s else {
        return Ok(());
    };
    // The margin of a whole lifetime covers readers that start late and
    // differences between the writers' clocks.
    if Duration::from_secs(retention) < tuning.key_lifetime * 2 {
        let allowed = "at least twice tuning.key_lifetime_s";
        return Err(not_allowed("log.retention_s", retention, allowed));
    }
    Ok(())
}
