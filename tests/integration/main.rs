//! All tests: tables and properties of the decisions, and whole meshes of
//! real processes. See `docs/PROOFS.md` for what each of them proves.

mod process_config;
mod process_once;
mod process_path;
mod process_stop;
