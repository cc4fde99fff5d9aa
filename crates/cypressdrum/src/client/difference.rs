//! What differs between two documents, by path.

use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// One value that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Path in the document, such as `queues.hover.pool`.
    #[serde(rename = "place")]
    pub path: String,
    /// Value in the first document, if it is there.
    pub before: Option<Value>,
    /// Value in the second document, if it is there.
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

/// All values that differ, in order of their paths.
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let before = flatten(before);
    let mut after = flatten(after);
    let mut found = Vec::new();
    for (path, value) in before {
        let other = after.remove(&path);
        if other.as_ref() != Some(&value) {
            found.push(Difference {
                path,
                before: Some(value),
                after: other,
            });
        }
    }
    found.extend(after.into_iter().map(|(path, value)| Difference {
        path,
        before: None,
        after: Some(value),
    }));
    found.sort_by(|one, other| one.path.cmp(&other.path));
    found
}

fn flatten(document: &Value) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    collect(String::new(), document, &mut leaves);
    leaves
}

fn collect(path: String, value: &Value, leaves: &mut BTreeMap<String, Value>) {
    let inner = |name: &str| match path.as_str() {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                collect(inner(name), field, leaves);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (position, item) in items.iter().enumerate() {
                collect(inner(&item_name(position, item)), item, leaves);
            }
        }
        _ => {
            leaves.insert(path, value.clone());
        }
    }
}

/// Items with an `id` are matched by it, others by their position.
fn item_name(position: usize, item: &Value) -> String {
    match item.get("id").and_then(Value::as_str) {
        Some(id) => format!("[{id}]"),
        None => format!("[{position}]"),
    }
}
