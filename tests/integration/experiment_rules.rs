//! Tests of the checks that the experiments make, so that a check reports a broken
//! promise only if one was broken.

use serde_json::json;
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
