//! News of targets that nodes pass on to each other with answers.
//!
//! It is designed for many ingresses that each make few calls to many targets. What a node
//! knows of a target from its own calls is then seconds old: with 294 ingresses and 115
//! targets, 30% of the choices fell on a target that the ingress had never heard of. Targets
//! are overrun in turns while others idle. So each answer between nodes also names the
//! newest that its sender knows of some other targets of the same service, with its age. No
//! message is added, and no target is asked.
//!
//! The trade-off: some 50 bytes more for each answer. What is passed on is as old as it is
//! said to be, and a trip older; news of the same age from many nodes would make them all
//! choose alike, which [`crate::route::load`] counters by aging it towards what is usual.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;

use crate::ids::NodeAddress;

/// Maximum number of targets named with one answer.
pub const MAX_NEWS: usize = 8;

/// Age from which on news is not passed on.
pub const MAX_NEWS_AGE: Duration = Duration::from_millis(1_500);

/// Unit of the age of news on the wire.
const AGE_UNIT: Duration = Duration::from_millis(8);

/// Bytes of one item on the wire: an IPv4 address, a port, calls and an age.
const ITEM_BYTES: usize = 8;

/// What a node knows of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetNews {
    /// The node that the target is attached to.
    pub node: NodeAddress,
    /// Calls that it ran or had waiting.
    pub busy: u32,
    /// Time since it said so.
    pub age: Duration,
}

/// News of several targets. Its text form is Base64, as it travels in a header.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewsList(pub Vec<TargetNews>);

impl std::fmt::Display for NewsList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut bytes = Vec::with_capacity(self.0.len() * ITEM_BYTES);
        for news in self.0.iter().take(MAX_NEWS) {
            // Nodes with another kind of address are left out.
            let IpAddr::V4(ip) = news.node.ip() else {
                continue;
            };
            bytes.extend(ip.octets());
            bytes.extend(news.node.port().to_be_bytes());
            bytes.push(u8::try_from(news.busy).unwrap_or(u8::MAX));
            let age = news.age.as_millis() / AGE_UNIT.as_millis();
            bytes.push(u8::try_from(age).unwrap_or(u8::MAX));
        }
        f.write_str(&STANDARD_NO_PAD.encode(bytes))
    }
}

impl FromStr for NewsList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = STANDARD_NO_PAD
            .decode(text)
            .map_err(|error| format!("news is not Base64: {error}"))?;
        if bytes.len() % ITEM_BYTES != 0 || bytes.len() > MAX_NEWS * ITEM_BYTES {
            return Err(format!("news has {} bytes", bytes.len()));
        }
        let items = bytes.chunks_exact(ITEM_BYTES).map(|item| {
            let ip = Ipv4Addr::new(item[0], item[1], item[2], item[3]);
            let port = u16::from_be_bytes([item[4], item[5]]);
            TargetNews {
                node: SocketAddr::from((ip, port)),
                busy: item[6].into(),
                age: AGE_UNIT * u32::from(item[7]),
            }
        });
        Ok(Self(items.collect()))
    }
}
