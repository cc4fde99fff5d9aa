//! Differences between two JSON documents, by path.

use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// A value that differs between two documents.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Path in the document, such as `queues.hover.pool`.
    #[serde(rename = "place")]
    pub path: String,
    /// Value in the first document; `None` if the path exists only in the second.
    pub before: Option<Value>,
    /// Value in the second document; `None` if the path exists only in the first.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, "~ {path}: {before} -> {after}"),
            (None, Some(after)) => write!(formatter, "+ {path}: {after}"),
            (Some(before), None) => write!(formatter, "- {path}: {before}"),
            (None, None) => Ok(()),
        }
    }
}

/// Returns all values that differ, sorted by path.
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let before = flatten(before);
    let mut after = flatten(after);
    let mut found = Vec::new();
    for (path, value) in before {
        let new_value = after.remove(&path);
        if new_value.as_ref() != Some(&value) {
            found.push(Difference {
                path,
                before: Some(value),
                after: new_value,
            });
        }
    }
    found.extend(after.into_iter().map(|(path, value)| Difference {
        path,
        before: None,
        after: Some(value),
    }));
    found.sort_by(|left, right| left.path.cmp(&right.path));
    found
}

fn flatten(document: &Value) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    collect_leaves(String::new(), document, &mut leaves);
    leaves
}

fn collect_leaves(path: String, value: &Value, leaves: &mut BTreeMap<String, Value>) {
    let child_path = |name: &str| match path.as_str() {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                collect_leaves(child_path(name), field, leaves);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (position, item) in items.iter().enumerate() {
                collect_leaves(child_path(&item_name(position, item)), item, leaves);
            }
        }
        _ => {
            leaves.insert(path, value.clone());
        }
    }
}

/// Returns the path component of a list item: its `id` if it has one, so that
/// items are compared by identifier, else its position.
fn item_name(position: usize, item: &Value) -> String {
    match item.get("id").and_then(Value::as_str) {
        Some(id) => format!("[{id}]"),
        None => format!("[{position}]"),
    }
}
