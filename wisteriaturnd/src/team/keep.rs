//! Questions to the keepers of allowances, and their answers.
//!
//! Each node works out the keepers of a team from its own member table: the first in line
//! hands out calls. The second one does so only while the first one is silent, which it
//! finds out for itself.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use wisteriaturn::clock::lock;
use wisteriaturn::config::resource::TeamSpec;
use wisteriaturn::ids::{NodeAddress, TeamName};
use wisteriaturn::member::record::{MemberRecord, MemberState};
use wisteriaturn::member::role::choose_members_by_link;
use wisteriaturn::peer::message::Datagram;
use wisteriaturn::team::keeper::{
    AllowanceGrant, AllowanceLimit, AllowanceMargin, KeeperBucket, OVERLAP_TIME,
};
use wisteriaturn::team::wallet::WalletQuestion;

use crate::mesh::gossip;
use crate::metrics::TrafficKind;
use crate::node::NodeHandle;
use crate::team::{KeeperState, SuspectedKeeper, WalletEntry};

/// Number of nodes that may keep a team's allowance.
const LINE_LENGTH: usize = 2;

/// Interval at which roles are worked out anew.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a suspected keeper to answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(120);

/// Age from which on a suspected keeper is asked again.
const MAX_CHECK_AGE: Duration = Duration::from_millis(250);

/// Difference between the starts of two nodes up to which they have started together, in
/// milliseconds.
const SAME_START_MS: u64 = 4_000;

/// Room of a team whose limit this node doesn't know: it may have been given one since.
const UNKNOWN_ROOM: AllowanceGrant = AllowanceGrant {
    calls: 0,
    validity_ms: 0,
    room_in_ms: 100,
};

/// The role of a node for one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeeperRole {
    First,
    Second(NodeAddress),
    Other,
}

/// Works out the roles of this node for as long as it runs.
pub async fn keeper_task(node: NodeHandle) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if node.view.load().config.teams.is_empty() {
            continue;
        }
        update_members(&node);
        drop_foreign_buckets(&node);
    }
}

/// Notes when the set of members that may be keepers last changed.
fn update_members(node: &NodeHandle) {
    let digest = {
        let table = lock(&node.table);
        let mut hasher = DefaultHasher::new();
        for record in candidates(table.iter().map(|entry| &entry.record)) {
            record.address.hash(&mut hasher);
            record.incarnation.hash(&mut hasher);
        }
        hasher.finish()
    };
    let mut keeper = lock(&node.teams.keeper);
    if keeper.members.is_none_or(|(known, _)| known != digest) {
        keeper.members = Some((digest, node.clock.now()));
    }
}

/// Forgets the buckets of teams whose allowance another node keeps now. If this one keeps
/// it again later, it doesn't know what the other one handed out.
fn drop_foreign_buckets(node: &NodeHandle) {
    let teams: Vec<TeamName> = lock(&node.teams.keeper).buckets.keys().cloned().collect();
    for team in teams {
        let is_kept = match role(node, &team) {
            KeeperRole::First => true,
            KeeperRole::Second(first) => is_silent(node, first),
            KeeperRole::Other => false,
        };
        if !is_kept {
            lock(&node.teams.keeper).buckets.remove(&team);
            log::info!(event = "allowance-left", team:% = team; "team");
        }
    }
}

fn candidates<'a, I>(records: I) -> impl Iterator<Item = &'a MemberRecord>
where
    I: Iterator<Item = &'a MemberRecord>,
{
    records.filter(|record| record.state == MemberState::Alive && record.is_ready)
}

/// Returns the nodes that may keep a team's allowance, the first in line first.
fn line(node: &NodeHandle, team: &TeamName) -> Vec<NodeAddress> {
    let table = lock(&node.table);
    let digest = table.digest();
    {
        let keeper = lock(&node.teams.keeper);
        if keeper.chosen.0 == digest
            && let Some(line) = keeper.chosen.1.get(team)
        {
            return line.clone();
        }
    }
    let members: Vec<&MemberRecord> = candidates(table.iter().map(|entry| &entry.record)).collect();
    let line = choose_members_by_link(&format!("team-{team}"), &members, LINE_LENGTH);
    let mut keeper = lock(&node.teams.keeper);
    if keeper.chosen.0 != digest {
        keeper.chosen = (digest, Default::default());
    }
    keeper.chosen.1.insert(team.clone(), line.clone());
    line
}

fn role(node: &NodeHandle, team: &TeamName) -> KeeperRole {
    let line = line(node, team);
    match line.iter().position(|member| *member == node.address()) {
        Some(0) => KeeperRole::First,
        Some(_) => KeeperRole::Second(line[0]),
        None => KeeperRole::Other,
    }
}

/// Sends the wallet's question to the keeper, if it has one.
pub(crate) async fn ask_if_due(node: &NodeHandle, team: &TeamSpec, entry: &WalletEntry) {
    let Some(question) = lock(&entry.wallet).question(node.clock.now()) else {
        return;
    };
    let line = line(node, &team.name);
    // A question that is asked again also goes to the second in line.
    let asked = if question.repeats == 0 {
        1
    } else {
        LINE_LENGTH
    };
    for (place, keeper) in line.into_iter().take(asked).enumerate() {
        if keeper == node.address() {
            let grant = answer(node, &team.name, keeper, question, place > 0);
            if let Some(grant) = grant {
                take_answer(node, &team.name, question.number, grant);
            }
            continue;
        }
        let datagram = Datagram::AllowanceQuestion {
            team: team.name.clone(),
            number: question.number,
            wanted: question.wanted,
            is_first_silent: place > 0,
        };
        gossip::send(node, keeper, &datagram, TrafficKind::Allowance).await;
    }
}

/// Answers the question of another node, if this one keeps the team's allowance.
pub async fn handle_question(
    node: &NodeHandle,
    from: NodeAddress,
    team: TeamName,
    question: WalletQuestion,
    is_first_silent: bool,
) {
    if let Some(grant) = answer(node, &team, from, question, is_first_silent) {
        let datagram = Datagram::AllowanceAnswer {
            team,
            number: question.number,
            grant,
        };
        gossip::send(node, from, &datagram, TrafficKind::Allowance).await;
    }
}

/// Takes the answer of a keeper and wakes the calls that wait for it.
pub fn take_answer(node: &NodeHandle, team: &TeamName, number: u64, grant: AllowanceGrant) {
    let now = node.clock.now();
    let entry = node.teams.wallet(team, now);
    if lock(&entry.wallet).answer(number, grant, now) {
        entry.answered.notify_waiters();
    }
}

/// Hands out calls of a team, or returns `None` if this node does not keep its allowance.
fn answer(
    node: &NodeHandle,
    team: &TeamName,
    asker: NodeAddress,
    question: WalletQuestion,
    is_first_silent: bool,
) -> Option<AllowanceGrant> {
    match role(node, team) {
        KeeperRole::First => {}
        KeeperRole::Second(first) => {
            if !is_first_silent {
                return None;
            }
            check_suspected(node, first);
            if !is_silent(node, first) {
                return None;
            }
        }
        KeeperRole::Other => return None,
    }
    let view = node.view.load();
    let Some(limit) = view.config.teams.get(team).and_then(|spec| spec.limit()) else {
        return Some(UNKNOWN_ROOM);
    };
    let now = node.clock.now();
    let margin = node.teams.margin();
    let is_started_together = is_started_together(node);
    let mut keeper = lock(&node.teams.keeper);
    if !keeper.buckets.contains_key(team) {
        let bucket = new_bucket(
            &keeper,
            limit,
            margin,
            is_started_together,
            is_first_silent,
            now,
        );
        log::info!(
            event = "allowance-kept",
            team:% = team,
            rate:% = limit.rate,
            burst = limit.burst,
            tokens = bucket.tokens(now) as u64,
            is_second = is_first_silent;
            "team"
        );
        keeper.buckets.insert(team.clone(), bucket);
    }
    let bucket = keeper.buckets.get_mut(team)?;
    bucket.set_limit(limit, now);
    Some(bucket.grant(asker, question.number, question.wanted, now))
}

/// Returns the bucket of a team whose allowance this node has not kept so far.
fn new_bucket(
    keeper: &KeeperState,
    limit: AllowanceLimit,
    margin: AllowanceMargin,
    is_started_together: bool,
    is_second: bool,
    now: Instant,
) -> KeeperBucket {
    let stable = keeper
        .members
        .map(|(_, since)| now.saturating_duration_since(since))
        .unwrap_or_default();
    if is_second {
        // The first one is silent, so nobody is asked beside this node.
        KeeperBucket::new(limit, margin, false, now)
    } else if stable > OVERLAP_TIME {
        KeeperBucket::filled(limit, margin, stable - OVERLAP_TIME, now)
    } else if is_started_together {
        KeeperBucket::started(limit, margin, now)
    } else {
        KeeperBucket::new(limit, margin, true, now)
    }
}

/// Returns `true` if no member is older than this node, so that none was a keeper before.
fn is_started_together(node: &NodeHandle) -> bool {
    let table = lock(&node.table);
    let own = table.own().incarnation;
    table
        .iter()
        .map(|entry| &entry.record)
        .filter(|record| record.is_live())
        .all(|record| record.incarnation.0 + SAME_START_MS >= own.0)
}

fn is_silent(node: &NodeHandle, keeper: NodeAddress) -> bool {
    let now = node.clock.now();
    let state = lock(&node.teams.keeper);
    state.suspected.get(&keeper).is_some_and(|suspected| {
        let age = suspected
            .checked_at
            .map(|checked_at| now.saturating_duration_since(checked_at));
        suspected.is_silent && age.is_some_and(|age| age < MAX_CHECK_AGE * 4)
    })
}

/// Asks a keeper that another node could not reach whether it is there, unless that was
/// done a moment ago.
fn check_suspected(node: &NodeHandle, first: NodeAddress) {
    let now = node.clock.now();
    {
        let mut state = lock(&node.teams.keeper);
        let suspected = state.suspected.entry(first).or_insert(SuspectedKeeper {
            checked_at: None,
            is_silent: false,
            is_checking: false,
        });
        let is_recent = suspected
            .checked_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_CHECK_AGE);
        if suspected.is_checking || is_recent {
            return;
        }
        suspected.is_checking = true;
    }
    let node = node.clone();
    tokio::spawn(async move {
        let mut is_silent = true;
        // A datagram may be lost.
        for _ in 0..2 {
            if gossip::ping(&node, first, CHECK_TIMEOUT).await.is_some() {
                is_silent = false;
                break;
            }
        }
        let now = node.clock.now();
        let mut state = lock(&node.teams.keeper);
        let before = state.suspected.insert(
            first,
            SuspectedKeeper {
                checked_at: Some(now),
                is_silent,
                is_checking: false,
            },
        );
        if before.is_none_or(|before| before.is_silent != is_silent) {
            log::info!(event = "keeper-doubted", keeper:% = first, silent = is_silent; "team");
        }
    });
}
