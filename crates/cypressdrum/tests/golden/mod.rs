//! Recorded text, and what is compared with it.

use std::fs;
use std::path::Path;

/// Fails with the first line that differs, and with the whole text.
pub fn assert_text(name: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let recorded = fs::read_to_string(folder.join(name)).unwrap_or_default();
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
