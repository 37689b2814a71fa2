//! A TCP forwarder that simulates a network partition between two processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use eyre::Result;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::io::InspectReader;

/// Forwards TCP connections to one destination while the link is not partitioned.
#[derive(Debug)]
pub struct TcpForwarder {
    /// Address to connect to instead of the destination.
    pub address: SocketAddr,
    forwarded_bytes: Arc<AtomicU64>,
    is_partitioned: watch::Sender<bool>,
}

impl TcpForwarder {
    /// Starts a forwarder to `destination` on a free loopback port.
    pub async fn start(destination: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_partitioned = watch::Sender::new(false);
        let partition = is_partitioned.subscribe();
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&forwarded_bytes);
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(forward(
                    inbound,
                    destination,
                    partition.clone(),
                    Arc::clone(&counted),
                ));
            }
        });
        Ok(Self {
            address,
            forwarded_bytes,
            is_partitioned,
        })
    }

    /// Returns the number of bytes that were sent towards the destination.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Partitions the link or restores it. While it is partitioned, open
    /// connections are dropped and new ones are closed at once.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.send_replace(is_partitioned);
    }
}

async fn forward(
    inbound: TcpStream,
    destination: SocketAddr,
    mut partition: watch::Receiver<bool>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    if *partition.borrow() {
        return;
    }
    let Ok(mut outbound) = TcpStream::connect(destination).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let mut inbound = InspectReader::new(inbound, |bytes: &[u8]| {
        forwarded_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    tokio::select! {
        _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
        _ = partition.wait_for(|is_partitioned| *is_partitioned) => {}
    }
}
