//! Sources of settings: a file, and flags that override it.

use crate::reader::Reader;
use crate::{RoleSettings, SettingsError};
use figment::providers::{Format, Toml};
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Value of a key given by a flag.
#[derive(Debug, Clone, PartialEq)]
pub struct Override {
    /// Flag as the user wrote it, for error messages.
    flag: String,
    /// Key, with dots between the names of tables.
    key: String,
    value: Value,
}

/// Error for a flag of the form `KEY=VALUE` without `=` or key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} does not have the form KEY=VALUE")]
pub struct OverrideError {
    text: String,
}

impl Override {
    /// Creates an override of a key with a text.
    pub fn text(flag: &str, key: &str, value: impl Into<String>) -> Self {
        Self::value(flag, key, Value::from(value.into()))
    }

    /// Creates an override of a key with a list of texts.
    pub fn list(flag: &str, key: &str, values: Vec<String>) -> Self {
        Self::value(flag, key, Value::from(values))
    }

    /// Parses `KEY=VALUE`. A value that is valid TOML (number, list, quoted text) is
    /// read as TOML, any other as plain text.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have the form `KEY=VALUE`.
    pub fn parse(flag: &str, text: &str) -> Result<Self, OverrideError> {
        let malformed = || OverrideError {
            text: text.to_owned(),
        };
        let (key, value) = text.split_once('=').ok_or_else(malformed)?;
        let key = key.trim();
        if key.is_empty() {
            return Err(malformed());
        }
        Ok(Self::value(flag, key, parse_value(value.trim())))
    }

    fn value(flag: &str, key: &str, value: Value) -> Self {
        Self {
            flag: flag.to_owned(),
            key: key.to_owned(),
            value,
        }
    }
}

fn parse_value(text: &str) -> Value {
    let document = format!("value = {text}");
    let parsed = Figment::from(Toml::string(&document)).extract_inner::<Value>("value");
    parsed.unwrap_or_else(|_| Value::from(text))
}

impl Provider for Override {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.flag.clone())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let nested = figment::util::nest(&self.key, self.value.clone());
        let dict = nested.into_dict().unwrap_or_default();
        Ok(Profile::Default.collect(dict))
    }
}

/// Content of a settings file.
struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl Provider for SettingsFile {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.path.display().to_string())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        Toml::string(&self.text).data()
    }
}

/// Source of settings: a file, flags, or both.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Source {
    /// Path of the settings file; `None` if all settings come from flags.
    pub file: Option<PathBuf>,
    /// Flags in order. Later flags override earlier ones, and all override the file.
    pub overrides: Vec<Override>,
}

impl Source {
    /// Returns the location reported for problems with absent keys.
    fn location(&self) -> String {
        match &self.file {
            Some(path) => path.display().to_string(),
            None => "flags".to_owned(),
        }
    }

    fn figment(&self) -> Result<Figment, SettingsError> {
        let mut figment = Figment::new();
        if let Some(path) = &self.file {
            figment = figment.merge(read_file(path)?);
        }
        for flag in &self.overrides {
            figment = figment.merge(flag.clone());
        }
        Ok(figment)
    }
}

fn read_file(path: &Path) -> Result<SettingsFile, SettingsError> {
    let location = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::single(&location, format!("cannot be read: {error}")))?;
    let file = SettingsFile {
        path: path.to_owned(),
        text,
    };
    match file.data() {
        Ok(_) => Ok(file),
        Err(error) => Err(SettingsError::single(
            location,
            format!("is not TOML: {}", error.kind),
        )),
    }
}

/// Reads and validates the settings of one role.
///
/// # Errors
///
/// Fails if the file cannot be read or is not TOML, or with a problem for each key that
/// is missing, unknown or invalid.
pub fn load<S: RoleSettings>(source: &Source) -> Result<S, SettingsError> {
    let mut reader = Reader::new(source.figment()?, source.location());
    let settings = S::read(&mut reader);
    let problems = reader.finish();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(SettingsError { problems }),
    }
}
