//! Files of resources: TOML or JSON.
//!
//! A TOML file has an array of tables for each kind, `[[service]]`,
//! `[[route]]` and `[[policy]]`; `expect` in a table is the revision that the
//! writer expects. A JSON file has the body of `POST /v1/changes`.

use std::io::Read;
use std::path::Path;

use serde_json::{Map, Value, json};

use crate::error::ToolError;

const KINDS: [&str; 3] = ["service", "route", "policy"];

/// Reads a file and returns the body of a change.
pub(crate) fn read_change(file: Option<&Path>) -> Result<Map<String, Value>, ToolError> {
    let Some(path) = file else {
        return Err(ToolError::Usage("a file is needed, or -".to_owned()));
    };
    let text = read_text(path)?;
    let is_json = text.trim_start().starts_with('{');
    let parsed = if is_json {
        parse_json(&text)
    } else {
        parse_toml(&text)
    };
    parsed.map_err(|error| ToolError::Usage(format!("{}: {error}", path.display())))
}

fn read_text(path: &Path) -> Result<String, ToolError> {
    let usage = |error: std::io::Error| ToolError::Usage(format!("{}: {error}", path.display()));
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(usage)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).map_err(usage)
}

fn parse_json(text: &str) -> Result<Map<String, Value>, String> {
    match serde_json::from_str(text) {
        Ok(Value::Object(change)) => Ok(change),
        Ok(_) => Err("not a JSON object".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

fn parse_toml(text: &str) -> Result<Map<String, Value>, String> {
    let file: Map<String, Value> =
        toml::from_str(text).map_err(|error| error.to_string().trim_end().to_owned())?;
    let mut operations = Vec::new();
    for kind in file.keys() {
        if !KINDS.contains(&kind.as_str()) {
            return Err(format!(
                "unknown key {kind:?}; allowed: {}",
                KINDS.join(", ")
            ));
        }
    }
    for kind in KINDS {
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
