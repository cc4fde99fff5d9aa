//! Tests of the Markdown and Rust readers in `support`. A reader that skips part
//! of a page or source would let the tests of the pages pass on a wrong page.

mod support;

use support::markdown::Page;
use support::rust::{Declaration, declarations, log_calls};

fn page(text: &str) -> Page {
    Page::parse("docs/PAGE.md", text)
}

fn names(source: &str) -> Vec<(&'static str, Option<String>, String)> {
    let tuple = |found: Declaration| (found.kind, found.owner, found.name);
    declarations(source).into_iter().map(tuple).collect()
}

#[test]
fn code_spans_are_read_across_lines_but_not_in_fences() {
    let page = page("Text `a\nb` and ``c`d``, \\\n`e`\n\n```sh\n`fenced`\n```\n- `f`\n");
    let spans: Vec<String> = page
        .blocks
        .iter()
        .flat_map(support::markdown::Block::code_spans)
        .collect();
    assert_eq!(spans, ["a b", "c`d", "e", "f"]);
}

#[test]
fn links_are_read_outside_code_spans_only() {
    let page = page("See [`a.rs`](../a.rs) `f`, [b](B.md#c \"t\") and `[x](y)`.\n");
    let links = page.blocks[0].links();
    let targets: Vec<&str> = links.iter().map(|link| link.target.as_str()).collect();
    assert_eq!(targets, ["../a.rs", "B.md#c"]);
    assert_eq!(links[0].text, "`a.rs`");
    assert!(links[0].rest.starts_with(" `f`,"));
}

#[test]
fn anchors_match_github() {
    let page = page("# A *b*, `c_d`: [e](f.md)\n\n## Twice\n## Twice\n\n```\n# no heading\n```\n");
    let anchors = page.anchors();
    for anchor in ["a-b-c_d-e", "twice", "twice-1"] {
        assert!(anchors.iter().any(|known| known == anchor), "{anchor}");
    }
    assert!(!anchors.iter().any(|known| known == "no-heading"));
}

#[test]
fn table_is_read_by_cell_up_to_next_heading() {
    let page = page("## T\n\n| a | b |\n| --- | --- |\n| `x|y` | 2 |\n\n## U\n\n| c | d |\n");
    let rows = page.table("T");
    assert_eq!(rows, [(5, vec!["`x|y`".to_owned(), "2".to_owned()])]);
}

#[test]
fn declarations_are_read_with_owners() {
    let source = "pub struct S {\n    field: u8,\n}\n\nimpl<T: A<B>> Trait for m::S<T> {\n    \
                  pub(crate) async fn f(&self) {\n        let fn_g = 1;\n    }\n    const K: u8 = 1;\n}\n\n\
                  pub enum E {\n    /// Text.\n    One,\n    Two { x: u8 },\n}\n\nconst fn g() {}\n";
    let owner = |name: &str| Some(name.to_owned());
    let expected = [
        ("struct", None, "S".to_owned()),
        ("fn", owner("S"), "f".to_owned()),
        ("const", owner("S"), "K".to_owned()),
        ("enum", None, "E".to_owned()),
        ("variant", owner("E"), "One".to_owned()),
        ("variant", owner("E"), "Two".to_owned()),
        ("fn", None, "g".to_owned()),
    ];
    assert_eq!(names(source), expected);
}

#[test]
fn log_calls_are_read_in_every_macro_form() {
    let source = "// warn!(\"no\")\n/* info!(\"no\") */\nfn f<'a>(c: char) {\n    if c == '\"' || c == '\\'' {}\n    \
                  let text = \"error!(\\\"no\\\")\";\n    let raw = r#\"info!(\"no\")\"#;\n    \
                  tracing::warn!(\n        node = %self.id(1, \"x\"),\n        role = \"y\",\n        \
                  \"two \\\n         lines\"\n    );\n    \
                  error!(target: \"t\", %error, \"one\");\n    info!(?value);\n    my_info!(\"no\");\n    \
                  tracing::debug!(\"no\");\n}\n";
    let found: Vec<(&str, usize, Option<String>)> = log_calls(source)
        .into_iter()
        .map(|call| (call.level, call.line, call.message))
        .collect();
    let expected = [
        ("error", 13, Some("one".to_owned())),
        ("warn", 7, Some("two lines".to_owned())),
        ("info", 14, None),
    ];
    assert_eq!(found, expected);
}
