//! What the nodes wrote about one request, in the order in which it happened.
//!
//! Every line that touches a request names it as its caller did. So the path of
//! a request is found in the logs of the nodes that it passed, without an index.

use std::io::BufRead;
use std::path::{Path, PathBuf};

use crate::error::ToolError;

/// Prefix of the key that names a request.
const REQUEST_KEY: &str = "request=";

/// Prefix of the key that names the time.
const TIME_KEY: &str = "timestamp=";

/// Prints the lines about a request.
pub(crate) fn why(request: &str, files: &[PathBuf]) -> Result<(), ToolError> {
    let mut found = Vec::new();
    for file in files {
        find_lines(request, file, &mut found)?;
    }
    if found.is_empty() {
        let why = format!(
            "no line about request {request:?} in {} file(s)",
            files.len()
        );
        return Err(ToolError::Refused(why));
    }
    found.sort();
    for (_, file, line) in found {
        println!("{file}: {line}");
    }
    Ok(())
}

fn find_lines(
    request: &str,
    file: &Path,
    found: &mut Vec<(String, String, String)>,
) -> Result<(), ToolError> {
    let name = file.display().to_string();
    let unreadable = |error| ToolError::Usage(format!("{name}: {error}"));
    let reader = std::io::BufReader::new(std::fs::File::open(file).map_err(unreadable)?);
    for line in reader.lines() {
        let line = line.map_err(unreadable)?;
        let is_about = line
            .split(' ')
            .any(|part| part.strip_prefix(REQUEST_KEY) == Some(request));
        if is_about {
            let time = line.split(' ').find_map(|part| part.strip_prefix(TIME_KEY));
            found.push((time.unwrap_or_default().to_owned(), name.clone(), line));
        }
    }
    Ok(())
}
