//! Resource use of a node that knows as many services and members as the users expect.
//! Only a few nodes run; the other members are fake records of other data centres, which
//! are merged into the member table through the peer port.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use futures_util::{SinkExt, StreamExt};
use gumdrop::Options;
use serde_json::json;
use tokio::net::{TcpStream, UdpSocket};
use tokio_util::codec::Framed;
use wisteriaturn::ids::{Incarnation, LinkRate, Sequence, SlotCount};
use wisteriaturn::member::record::{MemberRecord, MemberState, TargetRecord, TargetState};
use wisteriaturn::member::rumor::Rumor;
use wisteriaturn::peer::auth::MeshKeys;
use wisteriaturn::peer::frame::{decode_frame, encode_frame};
use wisteriaturn::peer::message::{Datagram, PeerAnswer, PeerRequest, encode};
use wisteriaturnd::mesh::handshake::{self, PortKind};
use wisteriaturnd::mesh::peer_client::frame_codec;

use crate::cluster::{ClusterPlan, DATA_CENTRES, MESH_SECRET, TestCluster};
use crate::experiment::cost::{NodeCost, print_costs, read_costs};
use crate::experiment::spread::add_services;

/// Number of nodes that run.
const NODES: usize = 4;

/// Options of a scale run.
#[derive(Debug, Options)]
pub struct ScaleOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "total number of members, including the nodes that run",
        default = "1100"
    )]
    members: usize,
    #[options(help = "seconds of measurement in each phase", default = "10")]
    seconds: u64,
    #[options(help = "member updates per second in the last phase", default = "10")]
    updates: u32,
}

/// Runs the experiment and prints the table.
pub async fn run(options: ScaleOptions) -> Result<bool> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: NODES,
        log_level: "warn",
        strict: false,
        ..ClusterPlan::default()
    })
    .await?;
    let duration = Duration::from_secs(options.seconds);
    measure_phase(&cluster, "empty", duration).await?;
    add_services(&cluster).await?;
    measure_phase(&cluster, "170 services", duration).await?;

    let before = read_costs(&cluster, NODES).await;
    let started_at = Instant::now();
    let records: Vec<MemberRecord> = (NODES..options.members)
        .map(|number| fake_member(number, 1))
        .collect();
    exchange_records(cluster.peer(0), &records).await?;
    for index in 0..NODES {
        wait_members(&cluster, index, options.members).await?;
    }
    println!(
        "all know {} members,seconds {:.2}",
        options.members,
        started_at.elapsed().as_secs_f64()
    );
    print_traffic(
        "spreading the members",
        &before,
        &read_costs(&cluster, NODES).await,
    );
    tokio::time::sleep(Duration::from_secs(5)).await;
    measure_phase(&cluster, "170 services and all members", duration).await?;

    measure_restart(&mut cluster, options.members).await?;
    measure_updates(&cluster, &options).await?;
    cluster.remove_folder();
    Ok(true)
}

/// Waits for `duration` and prints what the nodes used in it.
async fn measure_phase(cluster: &TestCluster, name: &str, duration: Duration) -> Result<()> {
    let before = read_costs(cluster, NODES).await;
    let started_at = Instant::now();
    tokio::time::sleep(duration).await;
    let after = read_costs(cluster, NODES).await;
    print_costs(name, &before, &after, started_at.elapsed().as_secs_f64());
    Ok(())
}

/// Restarts one node and prints the time and traffic until it knows all members again.
async fn measure_restart(cluster: &mut TestCluster, members: usize) -> Result<()> {
    let last = NODES - 1;
    cluster.kill_node(last);
    let mut before = read_costs(cluster, NODES).await;
    before[last] = NodeCost::default();
    let started_at = Instant::now();
    cluster.start_node(last)?;
    cluster.wait_node_ready(last).await?;
    println!(
        "restart,seconds until ready,{:.3}",
        started_at.elapsed().as_secs_f64()
    );
    wait_members(cluster, last, members).await?;
    print_traffic("restart", &before, &read_costs(cluster, NODES).await);
    Ok(())
}

/// Sends updates of single members at a fixed rate, as restarts of nodes would cause
/// them, and prints what the nodes used meanwhile.
async fn measure_updates(cluster: &TestCluster, options: &ScaleOptions) -> Result<()> {
    let before = read_costs(cluster, NODES).await;
    let started_at = Instant::now();
    let count = u64::from(options.updates) * options.seconds;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    for number in 0..count {
        let member_number = NODES + number as usize % (options.members - NODES);
        push_record(
            &socket,
            cluster.peer(0),
            fake_member(member_number, 2 + number),
        )
        .await?;
        tokio::time::sleep(Duration::from_secs(1) / options.updates).await;
    }
    let phase = format!("{} updates a second", options.updates);
    let after = read_costs(cluster, NODES).await;
    print_costs(&phase, &before, &after, started_at.elapsed().as_secs_f64());
    Ok(())
}

/// Returns the record of a fake member with one target.
fn fake_member(number: usize, sequence: u64) -> MemberRecord {
    // The nodes that run are in the first data centre.
    let (region, data_centre) = DATA_CENTRES[1 + number % (DATA_CENTRES.len() - 1)];
    let [high, low] = (number as u16).to_be_bytes();
    let address = SocketAddr::from(([127, 255, high, low], 7083));
    MemberRecord {
        address,
        incarnation: Incarnation(1_700_000_000_000),
        sequence: Sequence(sequence),
        state: MemberState::Alive,
        region: region.parse().expect("a name"),
        data_centre: data_centre.parse().expect("a name"),
        hop: address,
        link: LinkRate::default(),
        is_ready: true,
        targets: vec![TargetRecord {
            service: format!("service-{}", number % 170).parse().expect("a name"),
            address,
            slots: SlotCount(6),
            state: TargetState::Serving,
            version: None,
        }],
        departures: Vec::new(),
    }
}

/// Sends records to a node in a full exchange, as a peer would.
async fn exchange_records(peer: SocketAddr, records: &[MemberRecord]) -> Result<()> {
    let keys = MeshKeys::derive([MESH_SECRET]);
    let mut stream = TcpStream::connect(peer).await?;
    handshake::connect(&mut stream, &keys, PortKind::Peer).await?;
    let mut framed = Framed::new(stream, frame_codec());
    let request = PeerRequest::Exchange {
        data_centres: Vec::new(),
        records: records.to_vec(),
    };
    framed.send(Bytes::from(encode_frame(&request)?)).await?;
    let answer = framed.next().await.ok_or_else(|| eyre!("no answer"))??;
    match decode_frame(&answer)? {
        PeerAnswer::Records(_) => Ok(()),
        other => Err(eyre!("unexpected answer {other:?}")),
    }
}

/// Sends one record to a node in a datagram, as a relay would.
async fn push_record(socket: &UdpSocket, peer: SocketAddr, record: MemberRecord) -> Result<()> {
    let datagram = Datagram::Rumors {
        rumors: vec![Rumor::Member(record)],
    };
    let sealed = MeshKeys::derive([MESH_SECRET]).seal(encode(&datagram)?);
    socket.send_to(&sealed, peer).await?;
    Ok(())
}

/// Waits until a node knows `members` live members.
async fn wait_members(cluster: &TestCluster, index: usize, members: usize) -> Result<()> {
    cluster
        .wait_for("a node to know all members", async || {
            cluster.status(index).await["live_members"] == json!(members)
        })
        .await
}

/// Prints the bytes that all nodes together have sent between two readings.
fn print_traffic(name: &str, before: &[NodeCost], after: &[NodeCost]) {
    for kind in ["AntiEntropy", "Transfer", "Push", "Probe"] {
        let total: f64 = before
            .iter()
            .zip(after)
            .map(|(before, after)| after.bytes_sent(kind) - before.bytes_sent(kind))
            .sum();
        println!("{name},bytes sent by all: {kind},{total:.0}");
    }
}
