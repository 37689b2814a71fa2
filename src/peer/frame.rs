//! Framing of requests and answers between nodes.
//!
//! Most messages are small. A whole configuration is not: a thousand routes
//! take about 300 kB, most of it repetitive, and they go to every member over
//! links that are slow or billed by volume. Large messages are therefore
//! compressed; small ones would only grow.

use lz4_flex::block::{compress, decompress};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CodecError;
use crate::peer::message::{MAX_FRAME_BYTES, decode, encode};

/// Length in bytes from which a message is compressed: about one packet.
pub const MIN_COMPRESSED_BYTES: usize = 1_200;

/// First byte of the frame of an uncompressed message.
const PLAIN: u8 = 0;

/// First byte of the frame of a compressed message. The uncompressed length
/// follows in four bytes, big-endian.
const COMPRESSED: u8 = 1;

/// Encodes a message as a frame.
///
/// # Errors
///
/// Returns a [`CodecError`] if the message cannot be encoded.
pub fn encode_frame<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    let bytes = encode(message)?;
    let mut frame = Vec::with_capacity(bytes.len() + 1);
    if bytes.len() < MIN_COMPRESSED_BYTES {
        frame.push(PLAIN);
        frame.extend(bytes);
        return Ok(frame);
    }
    let too_large = |_| CodecError::TooLarge {
        length: bytes.len(),
        limit: MAX_FRAME_BYTES,
    };
    let length = u32::try_from(bytes.len()).map_err(too_large)?;
    frame.push(COMPRESSED);
    frame.extend(length.to_be_bytes());
    frame.extend(compress(&bytes));
    Ok(frame)
}

/// Decodes a frame. The declared length is checked before memory is allocated
/// for it.
///
/// # Errors
///
/// Returns a [`CodecError`] if the frame is malformed, too large or of an
/// unknown format.
pub fn decode_frame<T>(frame: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let (format, rest) = frame.split_first().ok_or(CodecError::Malformed)?;
    match *format {
        PLAIN => decode(rest),
        COMPRESSED => {
            let (length, rest) = rest.split_first_chunk().ok_or(CodecError::Malformed)?;
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(CodecError::TooLarge {
                    length,
                    limit: MAX_FRAME_BYTES,
                });
            }
            let bytes = decompress(rest, length).map_err(|_| CodecError::Malformed)?;
            decode(&bytes)
        }
        format => Err(CodecError::UnknownFormat(format)),
    }
}
