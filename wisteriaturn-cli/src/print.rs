//! Printing replies for people.

use serde_json::Value;

use crate::options::OutputFormat;

/// Prints a reply: as JSON, or as lines of `key  value`.
pub(crate) fn print_reply(format: OutputFormat, reply: &Value) {
    match format {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => print_value(reply, ""),
    }
}

fn print_value(value: &Value, prefix: &str) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                match field {
                    Value::Object(_) | Value::Array(_) if !is_flat(field) => {
                        println!("{prefix}{key}:");
                        print_value(field, &format!("{prefix}  "));
                    }
                    _ => println!("{prefix}{key}: {}", plain(field)),
                }
            }
        }
        Value::Array(items) => {
            for item in items {
                if fits_a_line(item) {
                    println!("{prefix}- {}", plain(item));
                } else {
                    println!("{prefix}-");
                    print_value(item, &format!("{prefix}  "));
                }
            }
        }
        _ => println!("{prefix}{}", plain(value)),
    }
}

fn is_flat(value: &Value) -> bool {
    match value {
        Value::Array(items) => items
            .iter()
            .all(|item| !item.is_object() && !item.is_array()),
        Value::Object(fields) => fields.is_empty(),
        _ => true,
    }
}

/// Tells whether a value reads well on one line: its fields hold no objects.
fn fits_a_line(value: &Value) -> bool {
    match value {
        Value::Object(fields) => fields.values().all(is_flat),
        _ => is_flat(value),
    }
}

/// Returns a value on one line, `key=value` for the fields of an object.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let fields: Vec<String> = fields
                .iter()
                .map(|(key, field)| format!("{key}={}", plain(field)))
                .collect();
            fields.join(" ")
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            format!("[{}]", items.join(", "))
        }
        _ => value.to_string(),
    }
}
