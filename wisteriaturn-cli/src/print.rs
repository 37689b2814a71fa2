//! Prints responses as text or JSON.

use serde_json::Value;

use crate::options::OutputFormat;

/// Prints a response to standard output, as JSON or as indented `key: value`
/// lines.
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
                    _ => println!("{prefix}{key}: {}", format_inline(field)),
                }
            }
        }
        Value::Array(items) => {
            for item in items {
                if fits_on_one_line(item) {
                    println!("{prefix}- {}", format_inline(item));
                } else {
                    println!("{prefix}-");
                    print_value(item, &format!("{prefix}  "));
                }
            }
        }
        _ => println!("{prefix}{}", format_inline(value)),
    }
}

/// Returns `true` for a scalar, a list of scalars and an empty object.
fn is_flat(value: &Value) -> bool {
    match value {
        Value::Array(items) => items
            .iter()
            .all(|item| !item.is_object() && !item.is_array()),
        Value::Object(fields) => fields.is_empty(),
        _ => true,
    }
}

/// Returns `true` if a value can be printed on one line: it is a scalar, a list
/// of scalars, or an object of those.
fn fits_on_one_line(value: &Value) -> bool {
    match value {
        Value::Object(fields) => fields.values().all(is_flat),
        _ => is_flat(value),
    }
}

/// Formats a value on one line, with `key=value` for the fields of an object.
fn format_inline(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let fields: Vec<String> = fields
                .iter()
                .map(|(key, field)| format!("{key}={}", format_inline(field)))
                .collect();
            fields.join(" ")
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(format_inline).collect();
            format!("[{}]", items.join(", "))
        }
        _ => value.to_string(),
    }
}
