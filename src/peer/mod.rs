//! The messages between nodes, their encoding and their authentication.
//!
//! Received bytes are checked in a fixed order: length, authentication tag,
//! decoding. An unauthenticated sender can therefore neither cause an
//! allocation nor reach the decoder.

pub mod auth;
pub mod frame;
pub mod message;
