//! Reader of the part of Markdown that the pages use: fences, headings, links,
//! code spans and tables.

use super::{files_below, read, root};

/// A Markdown page, split into blocks.
#[derive(Debug)]
pub struct Page {
    /// Path from the root of the repository.
    pub name: String,
    /// Paragraphs, list items, headings and table rows, without fenced code.
    pub blocks: Vec<Block>,
}

/// A part of a page within which every code span and link begins and ends.
#[derive(Debug)]
pub struct Block {
    /// Line of the page where the block begins, from 1.
    pub line: usize,
    /// Text of the block, joined to one line.
    pub text: String,
}

/// A link of the form `[text](target)`.
#[derive(Debug, PartialEq, Eq)]
pub struct Link {
    /// Text between the brackets.
    pub text: String,
    /// Path or address, with its anchor and without a title.
    pub target: String,
    /// Text of the block after the link.
    pub rest: String,
}

/// Returns all pages that are compared with the code.
pub fn pages() -> Vec<Page> {
    let root = root();
    let docs = files_below(&root.join("docs"), ".md").into_iter();
    let mut names: Vec<String> = docs
        .map(|path| {
            path.strip_prefix(&root)
                .unwrap()
                .to_string_lossy()
                .into_owned()
        })
        .collect();
    names.extend(["README.md".to_owned(), "CONTRIBUTING.md".to_owned()]);
    names.iter().map(|name| Page::read(name)).collect()
}

impl Page {
    /// Reads a page of the repository.
    pub fn read(name: &str) -> Self {
        Self::parse(name, &read(name))
    }

    /// Parses the text of a page.
    pub fn parse(name: &str, text: &str) -> Self {
        Self {
            name: name.to_owned(),
            blocks: blocks(text),
        }
    }

    /// Returns the page and line of a block, for failure messages.
    pub fn location(&self, block: &Block) -> String {
        format!("{}:{}", self.name, block.line)
    }

    /// Returns the anchors that GitHub generates for the headings of the page.
    pub fn anchors(&self) -> Vec<String> {
        let mut anchors: Vec<String> = Vec::new();
        for heading in self.blocks.iter().filter_map(Block::heading) {
            let slug = slug(&heading);
            let earlier = anchors.iter().filter(|known| **known == slug).count();
            anchors.push(slug.clone());
            if earlier > 0 {
                anchors.push(format!("{slug}-{earlier}"));
            }
        }
        anchors
    }

    /// Returns the rows of the table below a heading, without its header, as line
    /// number and cells.
    pub fn table(&self, heading: &str) -> Vec<(usize, Vec<String>)> {
        let is_start = |block: &Block| block.heading().as_deref() == Some(heading);
        let start = self.blocks.iter().position(is_start);
        let start = start.unwrap_or_else(|| panic!("{} has no heading {heading}", self.name));
        let section = self.blocks[start + 1..].iter();
        section
            .take_while(|block| block.heading().is_none())
            .filter(|block| block.text.starts_with('|'))
            .skip(2)
            .map(|row| (row.line, cells(&row.text)))
            .collect()
    }
}

impl Block {
    /// Returns the text of a heading; `None` if the block is not a heading.
    pub fn heading(&self) -> Option<String> {
        let text = self.text.trim_start_matches('#');
        let level = self.text.len() - text.len();
        (level > 0 && text.starts_with(' ')).then(|| text.trim().to_owned())
    }

    /// Returns whether the block is an item of a numbered list.
    pub fn is_numbered(&self) -> bool {
        let digits = self.text.bytes().take_while(u8::is_ascii_digit).count();
        digits > 0 && self.text[digits..].starts_with(". ")
    }

    /// Returns the code spans of the block, without backticks.
    pub fn code_spans(&self) -> Vec<String> {
        split_code(&self.text)
            .into_iter()
            .filter_map(code_of)
            .collect()
    }

    /// Returns the links of the block. Brackets in code spans are ignored.
    pub fn links(&self) -> Vec<Link> {
        let masked = mask_code(&self.text);
        let mut links = Vec::new();
        let mut from = 0;
        while let Some(middle) = masked[from..].find("](").map(|at| at + from) {
            let end = masked[middle..].find(')').map(|at| at + middle);
            let start = masked[..middle].rfind('[');
            if let (Some(start), Some(end)) = (start, end) {
                let target = self.text[middle + 2..end].split_whitespace().next();
                links.push(Link {
                    text: self.text[start + 1..middle].to_owned(),
                    target: target.unwrap_or_default().to_owned(),
                    rest: self.text[end + 1..].to_owned(),
                });
            }
            from = middle + 2;
        }
        links
    }
}

/// A part of a block: plain text, or a code span with its backticks.
enum Segment<'a> {
    Text(&'a str),
    Code(&'a str),
}

fn code_of(segment: Segment<'_>) -> Option<String> {
    match segment {
        Segment::Code(code) => Some(code.trim_matches('`').trim().to_owned()),
        Segment::Text(_) => None,
    }
}

/// Splits a block into text and code. A code span is closed by as many backticks
/// as opened it; unclosed backticks are text.
fn split_code(text: &str) -> Vec<Segment<'_>> {
    let mut segments = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.find('`') {
        let ticks = rest[start..].bytes().take_while(|b| *b == b'`').count();
        let body = start + ticks;
        let Some(length) = find_closing_ticks(&rest[body..], ticks) else {
            segments.push(Segment::Text(&rest[..body]));
            rest = &rest[body..];
            continue;
        };
        let end = body + length + ticks;
        segments.push(Segment::Text(&rest[..start]));
        segments.push(Segment::Code(&rest[start..end]));
        rest = &rest[end..];
    }
    segments.push(Segment::Text(rest));
    segments
}

/// Returns the position of the first run of exactly `ticks` backticks.
fn find_closing_ticks(text: &str, ticks: usize) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = text[from..].find('`').map(|at| at + from) {
        let run = text[at..].bytes().take_while(|b| *b == b'`').count();
        if run == ticks {
            return Some(at);
        }
        from = at + run;
    }
    None
}

/// Returns the text with each byte of a code span replaced by a space, so that
/// positions stay the same.
fn mask_code(text: &str) -> String {
    let segments = split_code(text).into_iter();
    segments
        .map(|segment| match segment {
            Segment::Text(text) => text.to_owned(),
            Segment::Code(code) => " ".repeat(code.len()),
        })
        .collect()
}

fn blocks(text: &str) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    let mut fenced = false;
    let mut continues = false;
    for (number, line) in text.lines().enumerate() {
        let trimmed = line.trim();
        let is_fence = trimmed.starts_with("```");
        if is_fence || fenced || trimmed.is_empty() {
            fenced ^= is_fence;
            continues = false;
            continue;
        }
        let is_single_line = trimmed.starts_with('|') || trimmed.starts_with('#');
        match blocks
            .last_mut()
            .filter(|_| continues && !is_single_line && !begins_item(trimmed))
        {
            Some(block) => {
                block.text.push(' ');
                block.text.push_str(trimmed);
            }
            None => blocks.push(Block {
                line: number + 1,
                text: trimmed.to_owned(),
            }),
        }
        continues = !is_single_line;
    }
    blocks
}

fn begins_item(line: &str) -> bool {
    let digits = line.bytes().take_while(u8::is_ascii_digit).count();
    let numbered = digits > 0 && line[digits..].starts_with(". ");
    numbered || line.starts_with("- ") || line.starts_with("* ")
}

/// Returns GitHub's anchor of a heading: in lower case, without punctuation and
/// link targets, and with hyphens for spaces.
fn slug(heading: &str) -> String {
    let mut text = heading.to_owned();
    while let Some(middle) = text.find("](") {
        let end = text[middle..]
            .find(')')
            .map_or(text.len(), |at| middle + at + 1);
        text.replace_range(middle..end, "");
    }
    let kept = text.to_lowercase();
    let kept = kept
        .chars()
        .filter(|c| c.is_alphanumeric() || " -_".contains(*c));
    kept.map(|c| if c == ' ' { '-' } else { c }).collect()
}

/// Returns the cells of a table row. A bar in a code span or after a backslash
/// does not end a cell.
fn cells(row: &str) -> Vec<String> {
    let masked = mask_code(row).replace("\\|", "  ");
    let bars: Vec<usize> = masked.match_indices('|').map(|(at, _)| at).collect();
    let pairs = bars.windows(2);
    pairs
        .map(|pair| row[pair[0] + 1..pair[1]].trim().to_owned())
        .collect()
}
