//! What a node costs when it knows as many services and members as the users
//! expect: the member table is filled over the peer port with members of other
//! data centres, which do not exist.

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

/// Nodes that run.
const NODES: usize = 4;

/// How the run is made.
#[derive(Debug, Options)]
pub struct ScaleOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "members in all", default = "1100")]
    members: usize,
    #[options(help = "seconds of each part", default = "10")]
    seconds: u64,
    #[options(help = "member updates a second in the last part", default = "10")]
    updates: u32,
}

/// Runs and prints the table.
pub async fn run(options: ScaleOptions) -> Result<bool> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: NODES,
        log_level: "warn",
        strict: false,
        ..ClusterPlan::default()
    })
    .await?;
    let time = Duration::from_secs(options.seconds);
    phase(&cluster, "empty", time).await?;
    add_services(&cluster).await?;
    phase(&cluster, "170 services", time).await?;

    let before = read_costs(&cluster, NODES).await;
    let began = Instant::now();
    let records: Vec<MemberRecord> = (NODES..options.members)
        .map(|number| member(number, 1))
        .collect();
    inject(cluster.peer(0), &records).await?;
    for index in 0..NODES {
        wait_members(&cluster, index, options.members).await?;
    }
    println!(
        "all know {} members,seconds {:.2}",
        options.members,
        began.elapsed().as_secs_f64()
    );
    print_sum(
        "spreading the members",
        &before,
        &read_costs(&cluster, NODES).await,
    );
    tokio::time::sleep(Duration::from_secs(5)).await;
    phase(&cluster, "170 services and all members", time).await?;

    restart(&mut cluster, options.members).await?;
    update(&cluster, &options).await?;
    cluster.remove_folder();
    Ok(true)
}

async fn phase(cluster: &TestCluster, name: &str, time: Duration) -> Result<()> {
    let before = read_costs(cluster, NODES).await;
    let began = Instant::now();
    tokio::time::sleep(time).await;
    let after = read_costs(cluster, NODES).await;
    print_costs(name, &before, &after, began.elapsed().as_secs_f64());
    Ok(())
}

/// Restarts one node and prints what its return costs.
async fn restart(cluster: &mut TestCluster, members: usize) -> Result<()> {
    let last = NODES - 1;
    cluster.kill_node(last);
    let mut before = read_costs(cluster, NODES).await;
    before[last] = NodeCost::default();
    let began = Instant::now();
    cluster.start_node(last)?;
    cluster.wait_node_ready(last).await?;
    println!(
        "restart,seconds until ready,{:.3}",
        began.elapsed().as_secs_f64()
    );
    wait_members(cluster, last, members).await?;
    print_sum("restart", &before, &read_costs(cluster, NODES).await);
    Ok(())
}

/// Spreads updates of members one after the other, as restarts would.
async fn update(cluster: &TestCluster, options: &ScaleOptions) -> Result<()> {
    let before = read_costs(cluster, NODES).await;
    let began = Instant::now();
    let count = u64::from(options.updates) * options.seconds;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    for number in 0..count {
        let place = NODES + number as usize % (options.members - NODES);
        push(&socket, cluster.peer(0), member(place, 2 + number)).await?;
        tokio::time::sleep(Duration::from_secs(1) / options.updates).await;
    }
    let name = format!("{} updates a second", options.updates);
    let after = read_costs(cluster, NODES).await;
    print_costs(&name, &before, &after, began.elapsed().as_secs_f64());
    Ok(())
}

fn member(number: usize, sequence: u64) -> MemberRecord {
    // The first data centre is that of the nodes that run.
    let (region, place) = DATA_CENTRES[1 + number % (DATA_CENTRES.len() - 1)];
    let [high, low] = (number as u16).to_be_bytes();
    let address = SocketAddr::from(([127, 255, high, low], 7083));
    MemberRecord {
        address,
        incarnation: Incarnation(1_700_000_000_000),
        sequence: Sequence(sequence),
        state: MemberState::Alive,
        region: region.parse().expect("a name"),
        data_centre: place.parse().expect("a name"),
        hop: address,
        link: LinkRate::default(),
        is_ready: true,
        targets: vec![TargetRecord {
            service: format!("service-{}", number % 170).parse().expect("a name"),
            address,
            slots: SlotCount(6),
            state: TargetState::Serving,
        }],
        departures: Vec::new(),
    }
}

/// Gives records to a node as a peer would.
async fn inject(peer: SocketAddr, records: &[MemberRecord]) -> Result<()> {
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

/// Pushes one record to a node as a relay would.
async fn push(socket: &UdpSocket, peer: SocketAddr, record: MemberRecord) -> Result<()> {
    let datagram = Datagram::Rumors {
        rumors: vec![Rumor::Member(record)],
    };
    let sealed = MeshKeys::derive([MESH_SECRET]).seal(encode(&datagram)?);
    socket.send_to(&sealed, peer).await?;
    Ok(())
}

async fn wait_members(cluster: &TestCluster, index: usize, members: usize) -> Result<()> {
    cluster
        .wait_for("a node to know all members", async || {
            cluster.status(index).await["live_members"] == json!(members)
        })
        .await
}

fn print_sum(name: &str, before: &[NodeCost], after: &[NodeCost]) {
    for kind in ["AntiEntropy", "Transfer", "Push", "Probe"] {
        let sum: f64 = before
            .iter()
            .zip(after)
            .map(|(before, after)| after.bytes_sent(kind) - before.bytes_sent(kind))
            .sum();
        println!("{name},bytes sent by all: {kind},{sum:.0}");
    }
}
