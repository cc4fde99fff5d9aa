//! Reader of declarations and log calls in Rust sources. It depends on the
//! indentation of rustfmt.

use std::str::Chars;

/// A declaration in a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    /// Keyword of the declaration, such as `fn` or `struct`, or `variant`.
    pub kind: &'static str,
    /// Type or trait that the item belongs to; `None` for other items.
    pub owner: Option<String>,
    /// Name of the item, without its path.
    pub name: String,
}

const KINDS: [&str; 8] = [
    "fn", "struct", "enum", "trait", "const", "static", "type", "mod",
];
const MODIFIERS: [&str; 6] = ["pub", "async", "unsafe", "const", "extern", "default"];

/// Returns all declarations of a source, without those in functions.
pub fn declarations(source: &str) -> Vec<Declaration> {
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
            owner = impl_target(&head);
            in_enum = false;
        } else if indent == 0 && line.starts_with('}') {
            owner = None;
            in_enum = false;
        } else if let Some((kind, name)) =
            parse_declaration(line.trim_start()).filter(|_| indent <= 4)
        {
            let item_owner = (indent > 0).then(|| owner.clone()).flatten();
            if indent == 0 && matches!(kind, "enum" | "trait") && !line.trim_end().ends_with('}') {
                owner = Some(name.clone());
                in_enum = kind == "enum";
            }
            found.push(Declaration {
                kind,
                owner: item_owner,
                name,
            });
        } else if in_enum && indent == 4 && line.trim_start().starts_with(char::is_uppercase) {
            found.push(Declaration {
                kind: "variant",
                owner: owner.clone(),
                name: leading_identifier(line.trim_start()).to_owned(),
            });
        }
    }
    found
}

/// Returns the kind and name that a line declares, or `None` if it declares
/// nothing.
fn parse_declaration(line: &str) -> Option<(&'static str, String)> {
    let mut words = line.split_whitespace().peekable();
    while let Some(first) = words.next() {
        let next = words.peek().copied().unwrap_or_default();
        let is_const_fn = first == "const" && next == "fn";
        let kind = KINDS.iter().find(|kind| **kind == first);
        if let Some(kind) = kind.filter(|_| !is_const_fn) {
            let name = leading_identifier(next);
            return (!name.is_empty()).then(|| (*kind, name.to_owned()));
        }
        if !MODIFIERS.contains(&first) && !first.starts_with("pub(") && !first.ends_with(')') {
            return None;
        }
    }
    None
}

/// Returns the name of the type that an `impl` block is for.
fn impl_target(head: &str) -> Option<String> {
    let head = head.split('{').next()?;
    let head = head.split(" where ").next()?;
    let subject = match head.split_once(" for ") {
        Some((_, subject)) => subject,
        None => skip_generics(head.strip_prefix("impl")?),
    };
    let path = subject.split(['<', ' ']).find(|part| !part.is_empty())?;
    Some(path.rsplit("::").next()?.to_owned())
}

fn skip_generics(text: &str) -> &str {
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

fn leading_identifier(text: &str) -> &str {
    let end = text.find(|c: char| !c.is_alphanumeric() && c != '_');
    &text[..end.unwrap_or(text.len())]
}

/// A call of a logging macro in a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogCall {
    /// `error`, `warn` or `info`.
    pub level: &'static str,
    /// Line of the source where the call begins, from 1.
    pub line: usize,
    /// Message of the log line; `None` if no argument is a string literal.
    pub message: Option<String>,
}

const LEVELS: [&str; 3] = ["error", "warn", "info"];

/// Returns the log calls of a source at `info` and above.
pub fn log_calls(source: &str) -> Vec<LogCall> {
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
            found.push(LogCall {
                level,
                line: code[..at].matches('\n').count() + 1,
                message: message(&code[opened + 1..], &literals),
            });
        }
    }
    found
}

/// Returns the first argument that consists of a string literal only.
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
            if let Some(index) = literal_index(arguments[start..at].trim()) {
                return literals.get(index).cloned();
            }
            start = at + 1;
        }
        if depth < 0 {
            return None;
        }
    }
    None
}

/// Returns the index of the literal if the argument consists of it only; see
/// [`lex`].
fn literal_index(argument: &str) -> Option<usize> {
    let index = argument.strip_prefix('"')?.strip_suffix('"')?;
    index.parse().ok()
}

/// Returns the code without comments, with each string literal replaced by its
/// index in quotes, and the literals. Line breaks are kept, so that lines can be
/// counted.
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
                let text = take_literal(&mut chars, raw_string_hashes(&code));
                code.push_str(&format!("\"{}\"", literals.len()));
                code.extend(text.matches('\n'));
                literals.push(unescape(&text));
            }
            other => code.push(other),
        }
    }
    (code, literals)
}

/// Skips the rest of a character literal. A lifetime has no closing quote, so
/// nothing is skipped.
fn skip_character(chars: &mut Chars<'_>) {
    let rest = chars.as_str();
    let length = match rest.strip_prefix('\\') {
        // The escaped character may be a quote.
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

/// Returns the number of `#` of a raw string literal that begins after `code`;
/// `None` if the literal is not raw.
fn raw_string_hashes(code: &str) -> Option<usize> {
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

/// Joins the lines of a literal that are continued with a backslash, and unescapes
/// quotes.
fn unescape(text: &str) -> String {
    let mut parts = text.split("\\\n");
    let mut joined = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        joined.push_str(part.trim_start());
    }
    joined.replace("\\\"", "\"")
}
