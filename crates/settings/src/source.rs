//! Where settings come from: a file, and flags that win over it.

use crate::reader::Reader;
use crate::{RoleSettings, SettingsError};
use figment::providers::{Format, Toml};
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A value given by a flag.
#[derive(Debug, Clone, PartialEq)]
pub struct Override {
    /// The flag as its user wrote it, for messages.
    flag: String,
    /// The key, with dots between tables.
    key: String,
    value: Value,
}

/// A flag of the form `KEY=VALUE` that has no `=` or no key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} does not have the form KEY=VALUE")]
pub struct OverrideError {
    text: String,
}

impl Override {
    /// A text value for one key, given by this flag.
    pub fn text(flag: &str, key: &str, value: impl Into<String>) -> Self {
        Self::value(flag, key, Value::from(value.into()))
    }

    /// A list of texts for one key, given by this flag.
    pub fn list(flag: &str, key: &str, values: Vec<String>) -> Self {
        Self::value(flag, key, Value::from(values))
    }

    /// Takes `KEY=VALUE`; the value is TOML where it parses as such (numbers,
    /// lists, quoted text), and plain text otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the text is not `KEY=VALUE`.
    pub fn parse(flag: &str, text: &str) -> Result<Self, OverrideError> {
        let malformed = || OverrideError {
            text: text.to_owned(),
        };
        let (key, value) = text.split_once('=').ok_or_else(malformed)?;
        let key = key.trim();
        if key.is_empty() {
            return Err(malformed());
        }
        Ok(Self::value(flag, key, toml_or_text(value.trim())))
    }

    fn value(flag: &str, key: &str, value: Value) -> Self {
        Self {
            flag: flag.to_owned(),
            key: key.to_owned(),
            value,
        }
    }
}

fn toml_or_text(text: &str) -> Value {
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

/// A settings file that has been read.
struct File {
    path: PathBuf,
    text: String,
}

impl Provider for File {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.path.display().to_string())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        Toml::string(&self.text).data()
    }
}

/// A settings file, flags, or both.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Source {
    /// The file.
    pub file: Option<PathBuf>,
    /// Flags in order; a later one wins, and all win over the file.
    pub overrides: Vec<Override>,
}

impl Source {
    /// What a problem with an absent key names as its place.
    fn name(&self) -> String {
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

fn read_file(path: &Path) -> Result<File, SettingsError> {
    let location = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::single(&location, format!("cannot be read: {error}")))?;
    let file = File {
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

/// Reads and checks the settings of one role.
///
/// # Errors
///
/// Lists every key whose value is missing, unknown or wrong.
pub fn load<S: RoleSettings>(source: &Source) -> Result<S, SettingsError> {
    let mut reader = Reader::new(source.figment()?, source.name());
    let settings = S::read(&mut reader);
    let problems = reader.finish();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(SettingsError { problems }),
    }
}
