//! Reading of golden files and comparison with them.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs;
use std::path::{Path, PathBuf};

fn path(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    folder.join("tests/golden").join(name)
}

/// Returns the text of a golden file. The text is empty if the file does not
/// exist.
pub fn text(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap_or_default()
}

/// Compares a text with a golden file. Panics with the first line that differs
/// and with the whole text.
pub fn assert_text(name: &str, actual: &str) {
    let recorded = text(name);
    if recorded == actual {
        return;
    }
    let pairs = recorded.lines().zip(actual.lines());
    let equal_lines = pairs.take_while(|(old, new)| old == new).count();
    let line = |text: &str| {
        text.lines()
            .nth(equal_lines)
            .unwrap_or("(no line)")
            .to_owned()
    };
    panic!(
        "{name} differs from line {} on\nrecorded: {}\nactual:   {}\nthe whole text:\n{actual}",
        equal_lines + 1,
        line(&recorded),
        line(actual),
    );
}

/// Compares a body with a golden file of indented JSON, so that a difference is
/// reported by line.
pub fn assert_body<Body: Serialize>(name: &str, body: &Body) {
    assert_text(name, &pretty(body));
}

/// Parses a golden file and checks that the body is written as the same text.
pub fn read_back<Body: Serialize + DeserializeOwned>(name: &str) -> Body {
    let body = read(name);
    assert_body(name, &body);
    body
}

/// Parses a golden file.
pub fn read<Body: DeserializeOwned>(name: &str) -> Body {
    api::parse_json(text(name).as_bytes()).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Returns a body as indented JSON.
fn pretty<Body: Serialize>(body: &Body) -> String {
    let text = serde_json::to_string_pretty(body).unwrap();
    format!("{text}\n")
}
