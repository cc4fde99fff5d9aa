//! The little of Rust that the tests read: what a formatted source declares,
//! and the lines it logs. The formatter's indentation is relied upon.

use std::str::Chars;

/// Something that a source declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declared {
    /// What stands before the name: `fn`, `struct`, ..., `variant`.
    pub kind: &'static str,
    /// The type or trait that it belongs to.
    pub owner: Option<String>,
    /// Its name.
    pub name: String,
}

const KINDS: [&str; 8] = [
    "fn", "struct", "enum", "trait", "const", "static", "type", "mod",
];
const MODIFIERS: [&str; 6] = ["pub", "async", "unsafe", "const", "extern", "default"];

/// All that a source declares outside of functions.
pub fn declared(source: &str) -> Vec<Declared> {
    let mut found = Vec::new();
    let mut owner: Option<String> = None;
    let mut in_enum = false;
    let mut lines = source.lines();
    while let Some(line) = lines.next() {
        let indent = line.len() - line.trim_start().len();
        if indent == 0 && (line.starts_with("impl ") || line.starts_with("impl<")) {
            let mut head = line.to_owned();
            while !head.contains('{') {
                let Some(next) = lines.next() else { break };
                head.push_str(next);
            }
            owner = implemented(&head);
            in_enum = false;
        } else if indent == 0 && line.starts_with('}') {
            owner = None;
            in_enum = false;
        } else if let Some((kind, name)) = declaration(line.trim_start()).filter(|_| indent <= 4) {
            let belongs = (indent > 0).then(|| owner.clone()).flatten();
            if indent == 0 && matches!(kind, "enum" | "trait") && !line.trim_end().ends_with('}') {
                owner = Some(name.clone());
                in_enum = kind == "enum";
            }
            found.push(Declared {
                kind,
                owner: belongs,
                name,
            });
        } else if in_enum && indent == 4 && line.trim_start().starts_with(char::is_uppercase) {
            found.push(Declared {
                kind: "variant",
                owner: owner.clone(),
                name: word(line.trim_start()).to_owned(),
            });
        }
    }
    found
}

/// The kind and name that a line declares.
fn declaration(line: &str) -> Option<(&'static str, String)> {
    let mut words = line.split_whitespace().peekable();
    while let Some(first) = words.next() {
        let next = words.peek().copied().unwrap_or_default();
        let is_const_fn = first == "const" && next == "fn";
        let kind = KINDS.iter().find(|kind| **kind == first);
        if let Some(kind) = kind.filter(|_| !is_const_fn) {
            let name = word(next);
            return (!name.is_empty()).then(|| (*kind, name.to_owned()));
        }
        if !MODIFIERS.contains(&first) && !first.starts_with("pub(") && !first.ends_with(')') {
            return None;
        }
    }
    None
}

/// The type that an `impl` is for.
fn implemented(head: &str) -> Option<String> {
    let head = head.split('{').next()?;
    let head = head.split(" where ").next()?;
    let subject = match head.split_once(" for ") {
        Some((_, subject)) => subject,
        None => after_generics(head.strip_prefix("impl")?),
    };
    let path = subject.split(['<', ' ']).find(|part| !part.is_empty())?;
    Some(path.rsplit("::").next()?.to_owned())
}

fn after_generics(text: &str) -> &str {
    let text = text.trim_start();
    if !text.starts_with('<') {
        return text;
    }
    let mut depth = 0;
    for (at, c) in text.char_indices() {
        depth += i32::from(c == '<') - i32::from(c == '>');
        if depth == 0 {
            return &text[at + 1..];
        }
    }
    text
}

fn word(text: &str) -> &str {
    let end = text.find(|c: char| !c.is_alphanumeric() && c != '_');
    &text[..end.unwrap_or(text.len())]
}

/// A line of the log as the source writes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logged {
    /// `error`, `warn` or `info`.
    pub level: &'static str,
    /// Line of the source.
    pub line: usize,
    /// Its message; none when the macro has no literal for it.
    pub message: Option<String>,
}

const LEVELS: [&str; 3] = ["error", "warn", "info"];

/// The lines that a source logs at `info` and above.
pub fn logged(source: &str) -> Vec<Logged> {
    let (code, literals) = lex(source);
    let mut found = Vec::new();
    for level in LEVELS {
        let head = format!("{level}!");
        for (at, _) in code.match_indices(&head) {
            let before = code[..at].chars().next_back();
            let is_name = before.is_some_and(|c| c.is_alphanumeric() || c == '_');
            let opened = at + head.len();
            if is_name || !code[opened..].starts_with(['(', '{', '[']) {
                continue;
            }
            found.push(Logged {
                level,
                line: code[..at].matches('\n').count() + 1,
                message: message(&code[opened + 1..], &literals),
            });
        }
    }
    found
}

/// The first argument that is a literal alone.
fn message(arguments: &str, literals: &[String]) -> Option<String> {
    let mut depth = 0;
    let mut start = 0;
    for (at, c) in arguments.char_indices() {
        match c {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ => {}
        }
        if depth < 0 || (depth == 0 && c == ',') {
            if let Some(number) = literal(arguments[start..at].trim()) {
                return literals.get(number).cloned();
            }
            start = at + 1;
        }
        if depth < 0 {
            return None;
        }
    }
    None
}

/// The number of a literal that stands alone; see [`lex`].
fn literal(argument: &str) -> Option<usize> {
    let number = argument.strip_prefix('"')?.strip_suffix('"')?;
    number.parse().ok()
}

/// The code without comments, each literal replaced by its number in quotes,
/// and the literals. Line breaks stay, so that lines can be counted.
fn lex(source: &str) -> (String, Vec<String>) {
    let mut code = String::new();
    let mut literals = Vec::new();
    let mut chars = source.chars();
    while let Some(c) = chars.next() {
        match c {
            '/' if chars.as_str().starts_with('/') => {
                let length = chars.as_str().find('\n').unwrap_or(chars.as_str().len());
                chars = chars.as_str()[length..].chars();
            }
            '/' if chars.as_str().starts_with('*') => {
                let rest = chars.as_str();
                let end = rest.find("*/").map_or(rest.len(), |at| at + 2);
                code.extend(rest[..end].matches('\n'));
                chars = rest[end..].chars();
            }
            '\'' => skip_character(&mut chars),
            '"' => {
                let text = take_literal(&mut chars, raw_hashes(&code));
                code.push_str(&format!("\"{}\"", literals.len()));
                code.extend(text.matches('\n'));
                literals.push(unescape(&text));
            }
            other => code.push(other),
        }
    }
    (code, literals)
}

/// Passes over a character literal; a lifetime has no closing quote.
fn skip_character(chars: &mut Chars<'_>) {
    let rest = chars.as_str();
    let length = match rest.strip_prefix('\\') {
        // What is escaped may be a quote itself.
        Some(escaped) => escaped
            .get(1..)
            .and_then(|rest| rest.find('\''))
            .map(|at| at + 3),
        None => {
            let first = rest.chars().next().map_or(0, char::len_utf8);
            rest[first..].starts_with('\'').then_some(first + 1)
        }
    };
    if let Some(length) = length {
        *chars = rest[length..].chars();
    }
}

/// How many `#` a raw literal that begins here has; none for another literal.
fn raw_hashes(code: &str) -> Option<usize> {
    let unhashed = code.trim_end_matches('#');
    let hashes = code.len() - unhashed.len();
    unhashed.ends_with('r').then_some(hashes)
}

fn take_literal(chars: &mut Chars<'_>, raw: Option<usize>) -> String {
    let rest = chars.as_str();
    let end = match raw {
        Some(hashes) => rest.find(&format!("\"{}", "#".repeat(hashes))),
        None => closing_quote(rest),
    };
    let end = end.unwrap_or(rest.len());
    *chars = rest[(end + 1).min(rest.len())..].chars();
    rest[..end].to_owned()
}

fn closing_quote(text: &str) -> Option<usize> {
    let mut escaped = false;
    text.char_indices().find_map(|(at, c)| {
        let closes = c == '"' && !escaped;
        escaped = c == '\\' && !escaped;
        closes.then_some(at)
    })
}

/// Joins a literal that a backslash carries on to the next line.
fn unescape(text: &str) -> String {
    let mut parts = text.split("\\\n");
    let mut joined = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        joined.push_str(part.trim_start());
    }
    joined.replace("\\\"", "\"")
}
