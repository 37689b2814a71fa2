//! All tests: tables and properties of the decisions, and whole meshes of
//! real processes. See `docs/PROOFS.md` for what each of them proves.

mod process_path;
