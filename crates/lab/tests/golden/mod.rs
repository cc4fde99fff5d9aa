//! Comparison with recorded text.

use std::fs;
use std::path::Path;

/// Panics if the text differs from the recorded file. The message shows the first
/// line that differs and the whole text.
pub fn assert_text(name: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let recorded = fs::read_to_string(folder.join(name)).unwrap_or_default();
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
