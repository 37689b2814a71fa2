//! The settings of a node, read from a TOML file.
//!
//! Reading takes two steps: [`raw::RawSettings`] has the shape of the file, and
//! `TryFrom` turns it into [`NodeSettings`], in which every value was checked.
//! An unknown key is an error, since a misspelt one would silently leave a
//! default in force. [docs/SETTINGS.md](../../../docs/SETTINGS.md) lists all keys.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use wisteriaturn::ids::{DataCentre, LinkRate, RegionName, ServiceName};
use wisteriaturn::peer::auth::MeshKeys;
use wisteriaturn::retry::budget::RetryLimit;

use crate::error::SettingsError;
use crate::settings::raw::{RawLog, RawRetry, RawSettings, RawTuning};

pub mod raw;

/// Shortest secret from which a mesh key is derived, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Checked settings.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Region of the VM.
    pub region: RegionName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// What the VM's link carries.
    pub link: LinkRate,
    /// Where callers connect.
    pub ingress: SocketAddr,
    /// Where operators, targets and metrics readers connect.
    pub admin: SocketAddr,
    /// Where other nodes send calls.
    pub hop: SocketAddr,
    /// Where other nodes send messages.
    pub peer: SocketAddr,
    /// Some other nodes.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the mesh.
    pub keys: MeshKeys,
    /// Token for writes.
    pub admin_token: Option<String>,
    /// Address of the log service.
    pub log_address: SocketAddr,
    /// Data centre of the log service.
    pub log_data_centre: Option<DataCentre>,
    /// Service that runs on this VM.
    pub caller_service: Option<ServiceName>,
    /// Retries that all nodes together may add for one service.
    pub retry: Option<RetryLimit>,
    /// Settings of the program that the node is part of.
    pub extension: toml::Table,
    /// Times and bounds.
    pub tuning: NodeTuning,
    /// Level of the log lines.
    pub log_level: LevelFilter,
    /// Whether a broken invariant ends the process.
    pub strict: bool,
}

/// Checked times and bounds.
#[derive(Debug, Clone)]
pub struct NodeTuning {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time for the answer to a probe.
    pub probe_timeout: Duration,
    /// Time that a suspect has to refute.
    pub suspect_timeout: Duration,
    /// Nodes to which news is pushed.
    pub fanout: usize,
    /// Time that a planned stop waits for calls in flight.
    pub drain_timeout: Duration,
    /// Time in which a stopping node still takes callers, so that they hear
    /// that it is not ready before its port closes.
    pub lame_duck: Duration,
    /// Time without progress after which a body is given up.
    pub stall_timeout: Duration,
    /// Time that an announcement of a target lasts.
    pub announce_ttl: Duration,
    /// Connections from callers that are open at once.
    pub max_connections: usize,
    /// Bytes of a request body kept so that it can be sent again.
    pub replay_bytes: usize,
    /// Bytes of one request body at most.
    pub max_body_bytes: u64,
    /// How long an idempotency key is remembered.
    pub key_lifetime: Duration,
    /// Least time between two appends of claims to one stream.
    pub claim_interval: Duration,
    /// Records after which a relay writes a snapshot.
    pub snapshot_every: u64,
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the key, the value and what is allowed.
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
            seeds.push(address("seeds", seed)?);
        }
        let tuning = NodeTuning::try_from(&raw.tuning)?;
        check_retention(&raw.log, &tuning)?;
        let settings = Self {
            region: parsed("region", &raw.region, "a name")?,
            data_centre: parsed("data_centre", &raw.data_centre, "a name")?,
            link: link_rate(raw.link_mbps)?,
            ingress: address("listen.ingress", &raw.listen.ingress)?,
            admin: address("listen.admin", &raw.listen.admin)?,
            hop: address("listen.hop", &raw.listen.hop)?,
            peer: address("listen.peer", &raw.listen.peer)?,
            seeds,
            keys: mesh_keys(&raw.mesh_secrets)?,
            admin_token: raw.admin_token,
            log_address: address("log.address", &raw.log.address)?,
            log_data_centre: match &raw.log.data_centre {
                Some(name) => Some(parsed("log.data_centre", name, "a name")?),
                None => None,
            },
            caller_service: match &raw.caller_service {
                Some(name) => Some(parsed("caller_service", name, "a name")?),
                None => None,
            },
            retry: match &raw.retry {
                Some(retry) => Some(retry_limit(retry)?),
                None => None,
            },
            extension: raw.extension,
            tuning,
            log_level: match &raw.log_level {
                Some(level) => parsed("log_level", level, "off, error, warn, info, debug, trace")?,
                None => LevelFilter::Info,
            },
            strict: raw.strict,
        };
        settings.check_distinct()?;
        Ok(settings)
    }
}

impl NodeSettings {
    fn check_distinct(&self) -> Result<(), SettingsError> {
        // The peer port uses UDP and TCP, so all four must differ.
        let listens = [
            ("listen.ingress", self.ingress),
            ("listen.admin", self.admin),
            ("listen.hop", self.hop),
            ("listen.peer", self.peer),
        ];
        for (index, (key, value)) in listens.iter().enumerate() {
            if listens[..index].iter().any(|(_, other)| other == value) {
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
        let ms = Duration::from_millis;
        let s = Duration::from_secs;
        let probe = number(
            "tuning.probe_interval_ms",
            raw.probe_interval_ms,
            1_000,
            50..=60_000,
        )?;
        let timeout = number(
            "tuning.probe_timeout_ms",
            raw.probe_timeout_ms,
            300,
            10..=10_000,
        )?;
        let suspect = number(
            "tuning.suspect_timeout_ms",
            raw.suspect_timeout_ms,
            4_000,
            100..=120_000,
        )?;
        let fanout = number("tuning.fanout", raw.fanout, 4, 1..=16)?;
        let drain = number(
            "tuning.drain_timeout_ms",
            raw.drain_timeout_ms,
            60_000,
            0..=3_600_000,
        )?;
        let lame_duck = number("tuning.lame_duck_ms", raw.lame_duck_ms, 0, 0..=600_000)?;
        let stall = number(
            "tuning.stall_timeout_ms",
            raw.stall_timeout_ms,
            30_000,
            100..=3_600_000,
        )?;
        let ttl = number(
            "tuning.announce_ttl_ms",
            raw.announce_ttl_ms,
            10_000,
            500..=600_000,
        )?;
        let connections = number(
            "tuning.max_connections",
            raw.max_connections,
            4_096,
            1..=1_000_000,
        )?;
        let replay = number(
            "tuning.replay_bytes",
            raw.replay_bytes,
            65_536,
            0..=16_777_216,
        )?;
        let body = number(
            "tuning.max_body_bytes",
            raw.max_body_bytes,
            1 << 32,
            1..=1_u64 << 50,
        )?;
        let lifetime = number(
            "tuning.key_lifetime_s",
            raw.key_lifetime_s,
            900,
            10..=86_400,
        )?;
        let claim = number(
            "tuning.claim_interval_ms",
            raw.claim_interval_ms,
            20,
            0..=1_000,
        )?;
        let snapshot = number(
            "tuning.snapshot_every",
            raw.snapshot_every,
            500,
            1..=1_000_000,
        )?;
        Ok(Self {
            probe_interval: ms(probe),
            probe_timeout: ms(timeout),
            suspect_timeout: ms(suspect),
            fanout: fanout as usize,
            drain_timeout: ms(drain),
            lame_duck: ms(lame_duck),
            stall_timeout: ms(stall),
            announce_ttl: ms(ttl),
            max_connections: connections as usize,
            replay_bytes: replay as usize,
            max_body_bytes: body,
            key_lifetime: s(lifetime),
            claim_interval: ms(claim),
            snapshot_every: snapshot,
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

fn parsed<T>(key: &'static str, value: &str, allowed: &str) -> Result<T, SettingsError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    value
        .parse()
        .map_err(|error: T::Err| not_allowed(key, value, &format!("{allowed} ({error})")))
}

fn address(key: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
    let address: SocketAddr = parsed(key, value, "an IP address and port such as 127.0.0.1:7000")?;
    if address.port() == 0 {
        return Err(not_allowed(key, value, "a port from 1 to 65535"));
    }
    Ok(address)
}

fn number(
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

/// Widest link that a setting may name, in Mbit/s.
const WIDEST_LINK: f64 = 1e6;

fn link_rate(mbps: Option<f64>) -> Result<LinkRate, SettingsError> {
    let Some(mbps) = mbps else {
        return Ok(LinkRate::default());
    };
    if !(0.001..=WIDEST_LINK).contains(&mbps) {
        return Err(not_allowed("link_mbps", mbps, "0.001 to 1000000"));
    }
    Ok(LinkRate((mbps * 1_000.0).round() as u32))
}

fn retry_limit(raw: &RawRetry) -> Result<RetryLimit, SettingsError> {
    if !(0.0..=1.0).contains(&raw.ratio) {
        return Err(not_allowed("retry.ratio", raw.ratio, "0 to 1"));
    }
    if !(0.0..=1e6).contains(&raw.slack) {
        return Err(not_allowed("retry.slack", raw.slack, "0 to 1000000"));
    }
    let window = parse_duration(&raw.window)
        .filter(|window| !window.is_zero())
        .ok_or_else(|| not_allowed("retry.window", &raw.window, "a time such as 10s or 1500ms"))?;
    Ok(RetryLimit {
        ratio: raw.ratio,
        slack: raw.slack,
        window,
    })
}

/// Longest time that a setting may name.
const LONGEST_TIME: Duration = Duration::from_secs(30 * 24 * 3600);

/// Reads a time with its unit, such as `1500ms` or `2.5s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * unit;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|time| *time <= LONGEST_TIME)
}

fn mesh_keys(secrets: &[String]) -> Result<MeshKeys, SettingsError> {
    let is_good = (1..=2).contains(&secrets.len())
        && secrets
            .iter()
            .all(|secret| secret.len() >= MIN_SECRET_BYTES);
    if !is_good {
        // The secrets themselves stay out of the message.
        let value = format!("{} secret(s)", secrets.len());
        return Err(not_allowed(
            "mesh_secrets",
            value,
            "one or two of 16 or more bytes",
        ));
    }
    Ok(MeshKeys::derive(secrets.iter().map(String::as_str)))
}

fn check_retention(log: &RawLog, tuning: &NodeTuning) -> Result<(), SettingsError> {
    let Some(retention) = log.retention_s else {
        return Ok(());
    };
    // Twice the lifetime: a reader may start late and writers' clocks differ.
    if Duration::from_secs(retention) < tuning.key_lifetime * 2 {
        let allowed = "at least twice tuning.key_lifetime_s";
        return Err(not_allowed("log.retention_s", retention, allowed));
    }
    Ok(())
}
