//! Bytes and text from strangers: no panic, no large allocation, clear errors.

use proptest::prelude::*;
use wisteriaturn::config::change::Change;
use wisteriaturn::config::fold::ConfigState;
use wisteriaturn::config::snapshot::decode_snapshot;
use wisteriaturn::error::CodecError;
use wisteriaturn::gate::claim::{ClaimBatch, ClaimTable};
use wisteriaturn::peer::auth::MeshKeys;
use wisteriaturn::peer::frame::{MIN_COMPRESSED_BYTES, decode_frame, encode_frame};
use wisteriaturn::peer::message::{
    Datagram, MAX_FRAME_BYTES, PeerAnswer, PeerRequest, decode, encode,
};
use wisteriaturnd::admin;
use wisteriaturnd::error::SettingsError;
use wisteriaturnd::logs::Clean;
use wisteriaturnd::mesh::handshake::{self, PortUse};
use wisteriaturnd::settings::NodeSettings;
use wisteriaturnd::trial::TRIAL_SETTINGS;
use yare::parameterized;

proptest! {
    #[test]
    fn no_decoder_panics(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<Datagram>(&bytes);
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerAnswer>(&bytes);
        let _ = decode_frame::<PeerAnswer>(&bytes);
        let _ = Change::try_from(bytes.as_slice());
        let _ = ClaimBatch::try_from(bytes.as_slice());
        let _ = decode_snapshot(&bytes);
        ConfigState::new().fold(&bytes);
        ClaimTable::default().apply(&bytes);
    }

    #[test]
    fn no_prefix_of_a_good_message_decodes(cut in 0..8_usize, nonce in any::<u64>()) {
        let datagram = Datagram::IndirectAck { nonce };
        let bytes = encode(&datagram).expect("a message");
        prop_assert_eq!(decode::<Datagram>(&bytes), Ok(datagram));
        let cut = cut.min(bytes.len() - 1);
        prop_assert_eq!(decode::<Datagram>(&bytes[..cut]), Err(CodecError::Malformed));
        let mut longer = bytes;
        longer.push(0);
        prop_assert_eq!(decode::<Datagram>(&longer), Err(CodecError::Malformed));
    }

    #[test]
    fn a_frame_of_any_size_comes_back(length in 0..4 * MIN_COMPRESSED_BYTES, cut in 1..64_usize) {
        let answer = PeerAnswer::Snapshot(vec![7; length].into());
        let frame = encode_frame(&answer).expect("a frame");
        prop_assert!(frame.len() <= MIN_COMPRESSED_BYTES, "{} bytes of one kind", frame.len());
        prop_assert_eq!(decode_frame::<PeerAnswer>(&frame), Ok(answer));
        let cut = frame.len().saturating_sub(cut);
        prop_assert!(decode_frame::<PeerAnswer>(&frame[..cut]).is_err());
    }

    #[test]
    fn only_a_known_key_opens_a_message(
        message in prop::collection::vec(any::<u8>(), 0..64),
        flip in 0..80_usize,
    ) {
        let keys = MeshKeys::derive(["a new secret of the mesh", "an old secret of the mesh"]);
        let old = MeshKeys::derive(["an old secret of the mesh"]);
        let other = MeshKeys::derive(["a secret of somebody else"]);
        let from_old = old.seal(message.clone());
        prop_assert_eq!(keys.open(&from_old), Ok(message.as_slice()));
        prop_assert!(keys.open(&other.seal(message.clone())).is_err());
        let mut sealed = keys.seal(message).to_vec();
        let place = flip % sealed.len();
        sealed[place] ^= 1;
        prop_assert!(keys.open(&sealed).is_err());
    }

    #[test]
    fn a_value_cannot_forge_a_log_line(text in ".{0,300}") {
        let clean = Clean(&text).to_string();
        prop_assert!(!clean.chars().any(char::is_control));
        prop_assert!(!clean.is_empty());
    }
}

#[test]
fn a_huge_length_takes_no_memory() {
    // A list that claims 2^60 records in a message of a few bytes.
    let mut bytes = vec![5, 0];
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert!(decode::<PeerAnswer>(&bytes).is_err());
    assert!(decode::<Datagram>(&bytes).is_err());
}

#[test]
fn a_frame_that_claims_too_much_takes_no_memory() {
    let mut frame = vec![1];
    frame.extend(u32::MAX.to_be_bytes());
    frame.extend([0; 16]);
    let refused = CodecError::TooLarge {
        length: u32::MAX as usize,
        limit: MAX_FRAME_BYTES,
    };
    assert_eq!(decode_frame::<PeerAnswer>(&frame), Err(refused));
    assert_eq!(
        decode_frame::<PeerAnswer>(&[9]),
        Err(CodecError::UnknownFormat(9))
    );
}

#[parameterized(
    unknown_key = { "seedz = []", "", "unknown field `seedz`" },
    bad_address = { "", "ingress = \"nowhere\"", "listen.ingress = \"nowhere\"" },
    port_zero = { "", "ingress = \"127.0.0.1:0\"", "a port from 1 to 65535" },
    same_port = { "", "ingress = \"127.0.0.1:7081\"", "an address of its own" },
    level = { "log_level = \"loud\"", "", "log_level = \"loud\"" },
    interval = { "tuning.probe_interval_ms = 1", "", "50 to 60000" },
    fanout = { "tuning.fanout = 99", "", "tuning.fanout = \"99\"" },
    seed = { "seeds = [\"x\"]", "", "seeds = \"x\"" },
    wrong_type = { "strict = 3", "", "invalid type" },
)]
fn a_wrong_setting_is_named(top: &str, ingress: &str, expected: &str) {
    let mut text = format!("{top}\n{TRIAL_SETTINGS}");
    if !ingress.is_empty() {
        text = text.replace("ingress = \"127.0.0.1:7080\"", ingress);
    }
    let error = text.parse::<NodeSettings>().expect_err("not allowed");
    assert!(error.to_string().contains(expected), "{error}");
}

#[parameterized(
    announce = { "POST", "v1/targets", true },
    withdraw = { "DELETE", "v1/targets/portal", true },
    other_method = { "PUT", "v1/targets/portal", true },
    read = { "GET", "v1/targets", false },
    change = { "POST", "v1/changes", false },
)]
fn only_the_local_target_speaks_for_itself(method: &str, path: &str, requires_loopback: bool) {
    let parts: Vec<&str> = path.split('/').collect();
    let method = method.parse().expect("a method");
    assert_eq!(
        admin::port::requires_loopback(&method, &parts),
        requires_loopback
    );
}

#[test]
fn a_secret_is_long_enough_and_stays_out_of_messages() {
    let text = TRIAL_SETTINGS.replace("a secret for the trial only", "short");
    let error = text.parse::<NodeSettings>().expect_err("not allowed");
    assert!(matches!(
        error,
        SettingsError::NotAllowed {
            key: "mesh_secrets",
            ..
        }
    ));
    assert!(!error.to_string().contains("short"));
}

#[test]
fn keys_live_no_longer_than_half_the_retention() {
    let text = format!("{TRIAL_SETTINGS}retention_s = 100\n");
    let error = text.parse::<NodeSettings>().expect_err("not allowed");
    assert!(error.to_string().contains("log.retention_s"), "{error}");
}

#[parameterized(
    same = { "a secret of the mesh", PortUse::Hop, true },
    other_key = { "a secret of others", PortUse::Hop, false },
    other_port = { "a secret of the mesh", PortUse::Peer, false },
)]
#[test_macro(tokio::test)]
async fn a_handshake_needs_the_key_and_the_port(secret: &str, port: PortUse, is_good: bool) {
    let (mut near, mut far) = tokio::io::duplex(256);
    let ours = MeshKeys::derive(["a secret of the mesh"]);
    let theirs = MeshKeys::derive([secret]);
    let life = wisteriaturn::ids::BootId(9);
    let accepting = tokio::spawn(async move {
        handshake::accept(&mut far, &ours, PortUse::Hop, life)
            .await
            .is_ok()
    });
    let connected = handshake::connect(&mut near, &theirs, port).await;
    drop(near);
    assert_eq!(connected.ok(), is_good.then_some(life));
    assert_eq!(accepting.await.expect("no panic"), is_good);
}
