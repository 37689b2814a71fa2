//! A link between two processes that can be cut.

use std::net::SocketAddr;

use eyre::Result;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards connections to one address until it is cut.
#[derive(Debug)]
pub struct TcpForwarder {
    /// Where to connect instead.
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
}

impl TcpForwarder {
    /// Opens a link to `target`.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_cut = watch::Sender::new(false);
        let orders = is_cut.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(forward(near, target, orders.clone()));
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Cuts the link, or heals it: connections break and new ones are closed
    /// at once.
    pub fn set_partitioned(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, mut orders: watch::Receiver<bool>) {
    if *orders.borrow() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        _ = orders.wait_for(|is_cut| *is_cut) => {}
    }
}
