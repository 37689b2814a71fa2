//! HTTP listeners, client connections, bodies and headers.

pub mod accept_encoding;
pub mod body;
pub mod exchange;
pub mod headers;
pub mod held_body;
pub mod listener;
pub mod observed;
pub mod pool;
pub mod tcp_timeout;
