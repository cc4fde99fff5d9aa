//! Reads settings key by key, so that one problem does not hide the next.

use crate::InvalidSetting;
use figment::Figment;
use figment::value::{Dict, Value};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// Reads keys and collects every problem with its place.
pub struct Reader {
    figment: Figment,
    source: String,
    known: BTreeSet<String>,
    problems: Vec<InvalidSetting>,
}

impl Reader {
    /// A reader of these values; `source` is the place of what is absent.
    pub fn new(figment: Figment, source: String) -> Self {
        Self {
            figment,
            source,
            known: BTreeSet::new(),
            problems: Vec::new(),
        }
    }

    /// A value that must be there.
    pub fn required<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        self.known.insert(key.to_owned());
        if self.is_absent(key) {
            self.message(key, "is missing");
            return None;
        }
        self.extract(key)
    }

    /// A value that may be left out.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        self.known.insert(key.to_owned());
        if self.is_absent(key) {
            return None;
        }
        self.extract(key)
    }

    /// A value with a default; a wrong one is a problem and reads as the default.
    pub fn defaulted<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// A number with a default that must lie in a range.
    pub fn ranged<T>(&mut self, key: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: DeserializeOwned + PartialOrd + Display,
    {
        let value = self.defaulted(key, default);
        if !range.contains(&value) {
            let (least, most) = range.into_inner();
            self.message(key, format!("{value} is not between {least} and {most}"));
        }
        value
    }

    /// Adds a problem with a key's value, placed where the value came from.
    pub fn message(&mut self, key: &str, message: impl Into<String>) {
        let location = format!("{}: {key}", self.origin(key));
        self.problems.push(InvalidSetting {
            location,
            message: message.into(),
        });
    }

    /// All problems, with one for each key that nobody asked for.
    pub fn finish(mut self) -> Vec<InvalidSetting> {
        let values: Dict = self.figment.extract().unwrap_or_default();
        let mut present = Vec::new();
        collect_keys("", &values, &self.known, &mut present);
        for key in present {
            if !self.known.contains(&key) {
                self.message(&key, "is not a known key");
            }
        }
        self.problems
    }

    fn is_absent(&self, key: &str) -> bool {
        self.figment.find_value(key).is_err()
    }

    fn extract<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        match self.figment.extract_inner(key) {
            Ok(value) => Some(value),
            Err(error) => {
                self.message(key, error.kind.to_string());
                None
            }
        }
    }

    fn origin(&self, key: &str) -> String {
        match self.figment.find_metadata(key) {
            Some(metadata) => metadata.name.to_string(),
            None => self.source.clone(),
        }
    }
}

/// Lists the keys that hold a value, without looking into values that are
/// known as a whole.
fn collect_keys(prefix: &str, values: &Dict, known: &BTreeSet<String>, found: &mut Vec<String>) {
    for (name, value) in values {
        let key = match prefix {
            "" => name.clone(),
            _ => format!("{prefix}.{name}"),
        };
        match value {
            Value::Dict(_, inner) if !inner.is_empty() && !known.contains(&key) => {
                collect_keys(&key, inner, known, found);
            }
            Value::Dict(_, inner) if inner.is_empty() && is_table(&key, known) => {}
            _ => found.push(key),
        }
    }
}

/// Returns whether known keys stand under this one.
fn is_table(key: &str, known: &BTreeSet<String>) -> bool {
    let prefix = format!("{key}.");
    known.iter().any(|name| name.starts_with(&prefix))
}
