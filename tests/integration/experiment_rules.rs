//! Tests of the checks that the experiments make, so that a check reports a broken
//! promise only if one was broken.

use serde_json::json;
use wisteriaturn_testing::experiment::known_red::KnownBreak;
use wisteriaturn_testing::experiment::observer::shows_served_version;
use yare::parameterized;

#[parameterized(
    starting = { "starting", false, false },
    stopped_before_it_was_ready = { "stopping", false, false },
    lame_duck_before_it_was_ready = { "lameduck", false, false },
    ready = { "ready", true, true },
    stopping_after_it_was_ready = { "stopping", true, true },
)]
fn only_versions_of_nodes_that_were_ready_are_compared(
    stage: &str,
    was_ready: bool,
    is_compared: bool,
) {
    let status = json!({ "stage": stage, "was_ready": was_ready, "version": 0 });
    assert_eq!(shows_served_version(&status), is_compared);
}

/// Guards against a list of known faults by which every seed may break a promise.
#[parameterized(
    the_pair = { "546:calls cut", 546, "calls cut", true },
    another_seed = { "546:calls cut", 1, "calls cut", false },
    another_promise = { "546:calls cut", 546, "calls cut short", false },
    promise_with_a_colon = { "546:calls: cut", 546, "calls: cut", true },
)]
fn a_known_fault_excuses_one_promise_of_one_seed(
    text: &str,
    seed: u64,
    promise: &str,
    is_excused: bool,
) {
    let entry: KnownBreak = text.parse().expect("an entry");
    assert_eq!(entry.excuses(seed, promise), is_excused);
}

#[parameterized(
    no_seed = { "calls cut" },
    malformed_seed = { "x:calls cut" },
    no_promise = { "546:" },
)]
fn a_malformed_entry_of_known_faults_is_an_error(text: &str) {
    let error = text.parse::<KnownBreak>().expect_err("a malformed entry");
    assert!(error.contains(text), "{error}");
}
