//! Recorded text, and what is compared with it.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs;
use std::path::{Path, PathBuf};

fn path(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    folder.join("tests/golden").join(name)
}

/// The recorded text; empty before there is a file.
pub fn text(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap_or_default()
}

/// Fails with the first line that differs, and with the whole text.
pub fn assert_text(name: &str, actual: &str) {
    let recorded = text(name);
    if recorded == actual {
        return;
    }
    let pairs = recorded.lines().zip(actual.lines());
    let same = pairs.take_while(|(old, new)| old == new).count();
    let line = |text: &str| text.lines().nth(same).unwrap_or("(no line)").to_owned();
    panic!(
        "{name} differs from line {} on\nrecorded: {}\nactual:   {}\nthe whole text:\n{actual}",
        same + 1,
        line(&recorded),
        line(actual),
    );
}

/// Compares a body, in many lines so that a difference is easily found.
pub fn assert_body<Body: Serialize>(name: &str, body: &Body) {
    assert_text(name, &pretty(body));
}

/// Reads a recorded body; it must come out again as it went in.
pub fn read_back<Body: Serialize + DeserializeOwned>(name: &str) -> Body {
    let body = read(name);
    assert_body(name, &body);
    body
}

/// Reads a recorded body.
pub fn read<Body: DeserializeOwned>(name: &str) -> Body {
    api::parse_json(text(name).as_bytes()).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn pretty<Body: Serialize>(body: &Body) -> String {
    let text = serde_json::to_string_pretty(body).unwrap();
    format!("{text}\n")
}
