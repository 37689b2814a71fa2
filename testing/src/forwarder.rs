//! A TCP forwarder that simulates a network partition between two processes.

use std::net::SocketAddr;

use eyre::Result;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards TCP connections to one destination while the link is not partitioned.
#[derive(Debug)]
pub struct TcpForwarder {
    /// Address to connect to instead of the destination.
    pub address: SocketAddr,
    is_partitioned: watch::Sender<bool>,
}

impl TcpForwarder {
    /// Starts a forwarder to `destination` on a free loopback port.
    pub async fn start(destination: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_partitioned = watch::Sender::new(false);
        let partition = is_partitioned.subscribe();
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(forward(inbound, destination, partition.clone()));
            }
        });
        Ok(Self {
            address,
            is_partitioned,
        })
    }

    /// Partitions the link or restores it. While it is partitioned, open
    /// connections are dropped and new ones are closed at once.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.send_replace(is_partitioned);
    }
}

async fn forward(
    mut inbound: TcpStream,
    destination: SocketAddr,
    mut partition: watch::Receiver<bool>,
) {
    if *partition.borrow() {
        return;
    }
    let Ok(mut outbound) = TcpStream::connect(destination).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
        _ = partition.wait_for(|is_partitioned| *is_partitioned) => {}
    }
}
