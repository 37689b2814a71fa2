//! The integration tests: table tests and property tests of the library, and tests of whole
//! meshes. See `docs/PROOFS.md` for what each of them proves.
//!
//! The modules `process_*` start each node as a process of its own. The modules `embedded_*`
//! run several nodes in the test's process, so that single links between them can be cut.

mod config_fold;
mod document_rules;
mod edge_rules;
mod embedded_link;
mod embedded_partition;
mod embedded_upload;
mod even_load_rules;
mod experiment_rules;
mod gate_rules;
mod hostile_bytes;
mod ledger_rules;
mod limit_rules;
mod load_rules;
mod load_simulation;
mod member_table;
mod overload_rules;
mod process_answers;
mod process_config;
mod process_endless;
mod process_explain;
mod process_input;
mod process_limit;
mod process_once;
mod process_path;
mod process_pipeline;
mod process_routing;
mod process_stop;
mod process_stop_calls;
mod rollout_rules;
mod route_rules;
mod stop_rules;
mod target_announcements;
mod team_rules;
