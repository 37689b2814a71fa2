//! Tests that untrusted bytes and text cause no panic and no large allocation,
//! and yield errors that name the cause.

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
use wisteriaturnd::logs::Sanitized;
use wisteriaturnd::mesh::handshake::{self, PortKind};
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
    fn no_strict_prefix_or_extension_of_a_message_decodes(cut in 0..8_usize, nonce in any::<u64>()) {
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
    fn a_frame_of_any_size_round_trips(length in 0..4 * MIN_COMPRESSED_BYTES, cut in 1..64_usize) {
        let answer = PeerAnswer::Snapshot(vec![7; length].into());
        let frame = encode_frame(&answer).expect("a frame");
        prop_assert!(frame.len() <= MIN_COMPRESSED_BYTES, "{} bytes for a repeated byte", frame.len());
        prop_assert_eq!(decode_frame::<PeerAnswer>(&frame), Ok(answer));
        let cut = frame.len().saturating_sub(cut);
        prop_assert!(decode_frame::<PeerAnswer>(&frame[..cut]).is_err());
    }

    #[test]
    fn only_messages_sealed_with_a_known_key_open(
        message in prop::collection::vec(any::<u8>(), 0..64),
        flip in 0..80_usize,
    ) {
        let keys = MeshKeys::derive(["a new secret of the mesh", "an old secret of the mesh"]);
        let old = MeshKeys::derive(["an old secret of the mesh"]);
        let foreign = MeshKeys::derive(["a secret of somebody else"]);
        let from_old = old.seal(message.clone());
        prop_assert_eq!(keys.open(&from_old), Ok(message.as_slice()));
        prop_assert!(keys.open(&foreign.seal(message.clone())).is_err());
        let mut sealed = keys.seal(message).to_vec();
        let index = flip % sealed.len();
        sealed[index] ^= 1;
        prop_assert!(keys.open(&sealed).is_err());
    }

    #[test]
    fn a_value_cannot_forge_a_log_line(text in ".{0,300}") {
        let clean = Sanitized(&text).to_string();
        prop_assert!(!clean.chars().any(char::is_control));
        prop_assert!(!clean.is_empty());
    }
}

#[test]
fn a_huge_list_length_allocates_nothing() {
    // A message of a few bytes whose list length claims 2^60 records.
    let mut bytes = vec![5, 0];
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert!(decode::<PeerAnswer>(&bytes).is_err());
    assert!(decode::<Datagram>(&bytes).is_err());
}

#[test]
fn a_frame_with_an_excessive_length_allocates_nothing() {
    let mut frame = vec![1];
    frame.extend(u32::MAX.to_be_bytes());
    frame.extend([0; 16]);
    let too_large = CodecError::TooLarge {
        length: u32::MAX as usize,
        limit: MAX_FRAME_BYTES,
    };
    assert_eq!(decode_frame::<PeerAnswer>(&frame), Err(too_large));
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
fn the_error_for_an_invalid_setting_names_it(top: &str, ingress: &str, expected: &str) {
    let mut text = format!("{top}\n{TRIAL_SETTINGS}");
    if !ingress.is_empty() {
        text = text.replace("ingress = \"127.0.0.1:7080\"", ingress);
    }
    let error = text.parse::<NodeSettings>().expect_err("invalid settings");
    assert!(error.to_string().contains(expected), "{error}");
}

#[parameterized(
    announce = { "POST", "v1/targets", true },
    withdraw = { "DELETE", "v1/targets/portal", true },
    other_method = { "PUT", "v1/targets/portal", true },
    read = { "GET", "v1/targets", false },
    change = { "POST", "v1/changes", false },
)]
fn writes_to_targets_require_loopback(method: &str, path: &str, expected: bool) {
    let segments: Vec<&str> = path.split('/').collect();
    let method = method.parse().expect("a method");
    assert_eq!(admin::port::requires_loopback(&method, &segments), expected);
}

#[test]
fn a_short_mesh_secret_is_rejected_and_not_shown() {
    let text = TRIAL_SETTINGS.replace("a secret for the trial only", "short");
    let error = text.parse::<NodeSettings>().expect_err("invalid settings");
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
fn log_retention_must_be_twice_the_key_lifetime() {
    let text = format!("{TRIAL_SETTINGS}retention_s = 100\n");
    let error = text.parse::<NodeSettings>().expect_err("invalid settings");
    assert!(error.to_string().contains("log.retention_s"), "{error}");
}

#[parameterized(
    same = { "a secret of the mesh", PortKind::Hop, true },
    other_key = { "a secret of others", PortKind::Hop, false },
    other_port = { "a secret of the mesh", PortKind::Peer, false },
)]
#[test_macro(tokio::test)]
async fn a_handshake_succeeds_only_with_the_right_key_and_port(
    secret: &str,
    port: PortKind,
    is_accepted: bool,
) {
    let (mut client, mut server) = tokio::io::duplex(256);
    let server_keys = MeshKeys::derive(["a secret of the mesh"]);
    let client_keys = MeshKeys::derive([secret]);
    let boot_id = wisteriaturn::ids::BootId(9);
    let server_task = tokio::spawn(async move {
        handshake::accept(&mut server, &server_keys, PortKind::Hop, boot_id)
            .await
            .is_ok()
    });
    let connected = handshake::connect(&mut client, &client_keys, port).await;
    drop(client);
    assert_eq!(connected.ok(), is_accepted.then_some(boot_id));
    assert_eq!(server_task.await.expect("no panic"), is_accepted);
}
