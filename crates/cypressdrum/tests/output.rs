//! Text tables, differences of documents and splitting of streams into lines.

use cypressdrum::client::decisions::LineBuffer;
use cypressdrum::client::difference::differences;
use cypressdrum::output::Table;
use serde_json::json;

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let mut table = Table::new(&["A", "LONG"]);
    table.row(["value".to_owned(), "1".to_owned()]);
    assert_eq!(table.render(), "A      LONG\nvalue  1\n");
}

#[test]
fn differences_report_path_and_both_values() {
    let before = json!({"queues": {"a": {"pool": "p"}, "b": {}}, "keys": [{"id": "k", "n": 1}]});
    let after = json!({"queues": {"a": {"pool": "q"}, "c": {}}, "keys": [{"id": "k", "n": 1}]});
    let lines: Vec<_> = differences(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            r#"~ queues.a.pool: "p" -> "q""#,
            "- queues.b: {}",
            "+ queues.c: {}"
        ]
    );
    assert!(differences(&before, &before).is_empty());
}

#[test]
fn lists_of_items_with_id_compare_by_id_not_position() {
    let before = json!({"keys": [{"id": "a", "n": 1}, {"id": "b", "n": 2}]});
    let after = json!({"keys": [{"id": "b", "n": 2}]});
    let paths: Vec<_> = differences(&before, &after)
        .into_iter()
        .map(|difference| difference.path)
        .collect();
    assert_eq!(paths, ["keys.[a].id", "keys.[a].n"]);
}

#[test]
fn lines_split_across_chunks_are_reassembled() {
    let mut buffer = LineBuffer::default();
    assert!(buffer.push(b"on").is_empty());
    assert_eq!(buffer.push(b"e\ntwo\nth"), ["one", "two"]);
    assert_eq!(buffer.finish(), Some("th".to_owned()));
    assert_eq!(LineBuffer::default().finish(), None);
}
