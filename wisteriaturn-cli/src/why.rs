//! The `why` command: collects the log lines of all nodes about one request, sorted
//! by time.
//!
//! Every log line about a request contains the request id that its caller chose.
//! The path of a request through the mesh can therefore be reconstructed from the
//! logs of the nodes that it passed through, without an index.

use std::io::BufRead;
use std::path::{Path, PathBuf};

use crate::error::CliError;

/// Prefix of the log field that holds the id of the request.
const REQUEST_PREFIX: &str = "request=";

/// Prefix of the log field that holds the time.
const TIMESTAMP_PREFIX: &str = "timestamp=";

/// Prints the log lines about a request, sorted by timestamp.
pub(crate) fn print_request_lines(request_id: &str, files: &[PathBuf]) -> Result<(), CliError> {
    let mut found = Vec::new();
    for file in files {
        find_lines(request_id, file, &mut found)?;
    }
    if found.is_empty() {
        let reason = format!(
            "no log line about request {request_id:?} in {} file(s)",
            files.len()
        );
        return Err(CliError::Refused(reason));
    }
    found.sort();
    for (_, file, line) in found {
        println!("{file}: {line}");
    }
    Ok(())
}

/// Appends the lines about a request to `found`, each with its timestamp and the
/// name of its file.
fn find_lines(
    request_id: &str,
    file: &Path,
    found: &mut Vec<(String, String, String)>,
) -> Result<(), CliError> {
    let name = file.display().to_string();
    let unreadable = |error| CliError::Usage(format!("{name}: {error}"));
    let reader = std::io::BufReader::new(std::fs::File::open(file).map_err(unreadable)?);
    for line in reader.lines() {
        let line = line.map_err(unreadable)?;
        let is_match = line
            .split(' ')
            .any(|field| field.strip_prefix(REQUEST_PREFIX) == Some(request_id));
        if is_match {
            let timestamp = line
                .split(' ')
                .find_map(|field| field.strip_prefix(TIMESTAMP_PREFIX));
            found.push((timestamp.unwrap_or_default().to_owned(), name.clone(), line));
        }
    }
    Ok(())
}
