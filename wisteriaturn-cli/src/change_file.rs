//! Reads a change from a TOML or JSON file.
//!
//! A TOML file has an array of tables for each kind of resource, `[[service]]`,
//! `[[route]]` and `[[policy]]`; the key `expect` of a table is the revision
//! that the resource must have. A JSON file holds the body of
//! `POST /v1/changes`.

use std::io::Read;
use std::path::Path;

use serde_json::{Map, Value, json};

use crate::error::CliError;

/// Kinds of resources, in the order in which their operations are written.
const RESOURCE_KINDS: [&str; 4] = ["service", "route", "policy", "team"];

/// Reads a change file, or standard input for `-`, and returns the body of the
/// request that submits the change.
pub(crate) fn read_change(file: Option<&Path>) -> Result<Map<String, Value>, CliError> {
    let Some(path) = file else {
        return Err(CliError::Usage(
            "expected a file, or - for standard input".to_owned(),
        ));
    };
    let text = read_text(path)?;
    let is_json = text.trim_start().starts_with('{');
    let parsed = if is_json {
        parse_json(&text)
    } else {
        parse_toml(&text)
    };
    parsed.map_err(|error| CliError::Usage(format!("{}: {error}", path.display())))
}

fn read_text(path: &Path) -> Result<String, CliError> {
    let usage_error =
        |error: std::io::Error| CliError::Usage(format!("{}: {error}", path.display()));
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(usage_error)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).map_err(usage_error)
}

fn parse_json(text: &str) -> Result<Map<String, Value>, String> {
    match serde_json::from_str(text) {
        Ok(Value::Object(change)) => Ok(change),
        Ok(_) => Err("expected a JSON object".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

fn parse_toml(text: &str) -> Result<Map<String, Value>, String> {
    let file: Map<String, Value> =
        toml::from_str(text).map_err(|error| error.to_string().trim_end().to_owned())?;
    let mut operations = Vec::new();
    for kind in file.keys() {
        if !RESOURCE_KINDS.contains(&kind.as_str()) {
            return Err(format!(
                "unknown key {kind:?}; allowed: {}",
                RESOURCE_KINDS.join(", ")
            ));
        }
    }
    for kind in RESOURCE_KINDS {
        let Some(tables) = file.get(kind) else {
            continue;
        };
        let tables = tables
            .as_array()
            .ok_or_else(|| format!("{kind} must be written as [[{kind}]]"))?;
        for table in tables {
            operations.push(put_operation(kind, table)?);
        }
    }
    let mut change = Map::new();
    change.insert("operations".to_owned(), Value::Array(operations));
    Ok(change)
}

fn put_operation(kind: &str, table: &Value) -> Result<Value, String> {
    let mut resource = table
        .as_object()
        .ok_or_else(|| format!("{kind} must be written as [[{kind}]]"))?
        .clone();
    let expect = resource.remove("expect");
    resource.insert("kind".to_owned(), json!(kind));
    let mut operation = json!({ "put": resource });
    if let Some(expect) = expect {
        operation["expect"] = expect;
    }
    Ok(operation)
}
