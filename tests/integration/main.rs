//! The integration tests: table tests and property tests of the library, and tests of whole
//! meshes of node processes. See `docs/PROOFS.md` for what each of them proves.

mod config_fold;
mod document_rules;
mod edge_rules;
mod gate_rules;
mod hostile_bytes;
mod in_process_link;
mod in_process_partition;
mod load_replay;
mod load_rules;
mod member_table;
mod process_answers;
mod process_config;
mod process_input;
mod process_once;
mod process_path;
mod process_pipeline;
mod process_routing;
mod process_stop;
mod route_rules;
mod target_lives;
