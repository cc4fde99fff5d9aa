//! Reader of settings, key by key, so that all problems are reported at once.

use crate::InvalidSetting;
use figment::Figment;
use figment::value::{Dict, Value};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// Reads keys and collects all problems with their locations.
pub struct Reader {
    figment: Figment,
    source: String,
    known: BTreeSet<String>,
    problems: Vec<InvalidSetting>,
}

impl Reader {
    /// Creates a reader of the values in `figment`. `source` is the location of problems
    /// with absent keys.
    pub fn new(figment: Figment, source: String) -> Self {
        Self {
            figment,
            source,
            known: BTreeSet::new(),
            problems: Vec::new(),
        }
    }

    /// Reads a required value. Returns `None`, and adds a problem, if it is absent or
    /// invalid.
    pub fn required<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        self.known.insert(key.to_owned());
        if self.is_absent(key) {
            self.add_problem(key, "is missing");
            return None;
        }
        self.extract(key)
    }

    /// Reads an optional value. Returns `None` if it is absent, or, with a problem added,
    /// if it is invalid.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        self.known.insert(key.to_owned());
        if self.is_absent(key) {
            return None;
        }
        self.extract(key)
    }

    /// Reads a value with a default, which is returned if the value is absent or, with a
    /// problem added, if it is invalid.
    pub fn defaulted<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads a number with a default. Adds a problem if it is out of range.
    pub fn ranged<T>(&mut self, key: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: DeserializeOwned + PartialOrd + Display,
    {
        let value = self.defaulted(key, default);
        if !range.contains(&value) {
            let (min, max) = range.into_inner();
            self.add_problem(key, format!("{value} is not between {min} and {max}"));
        }
        value
    }

    /// Adds a problem of a key, located at the file or flag that its value comes from.
    pub fn add_problem(&mut self, key: &str, message: impl Into<String>) {
        let location = format!("{}: {key}", self.origin(key));
        self.problems.push(InvalidSetting {
            location,
            message: message.into(),
        });
    }

    /// Returns all problems, including one for each key that no caller has read.
    pub fn finish(mut self) -> Vec<InvalidSetting> {
        let values: Dict = self.figment.extract().unwrap_or_default();
        let mut present = Vec::new();
        collect_keys("", &values, &self.known, &mut present);
        for key in present {
            if !self.known.contains(&key) {
                self.add_problem(&key, "is not a known key");
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
                self.add_problem(key, error.kind.to_string());
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

/// Lists the keys that have a value. Tables that are themselves known keys are not
/// descended into.
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

/// Returns whether the key is a table that contains known keys.
fn is_table(key: &str, known: &BTreeSet<String>) -> bool {
    let prefix = format!("{key}.");
    known.iter().any(|name| name.starts_with(&prefix))
}
