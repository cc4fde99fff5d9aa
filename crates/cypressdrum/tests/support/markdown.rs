//! The little of Markdown that the pages use: fences, headings, links, code
//! spans, tables.

use super::{files_below, read, root};

/// A page.
#[derive(Debug)]
pub struct Page {
    /// Its path from the root.
    pub name: String,
    /// Paragraphs, items, headings and rows, each on one line; no fences.
    pub blocks: Vec<Block>,
}

/// A part of a page that no code span leaves.
#[derive(Debug)]
pub struct Block {
    /// Line of the page where it begins.
    pub line: usize,
    /// Its text on one line.
    pub text: String,
}

/// A link.
#[derive(Debug, PartialEq, Eq)]
pub struct Link {
    /// What is shown.
    pub text: String,
    /// Where it leads.
    pub target: String,
    /// What follows it in its block.
    pub rest: String,
}

/// All pages that are held to the code.
pub fn pages() -> Vec<Page> {
    let docs = files_below(&root().join("docs"), ".md").into_iter();
    let mut names: Vec<String> = docs
        .map(|path| format!("docs/{}", path.file_name().unwrap().to_string_lossy()))
        .collect();
    names.extend(["README.md".to_owned(), "CONTRIBUTING.md".to_owned()]);
    names.iter().map(|name| Page::read(name)).collect()
}

impl Page {
    /// Reads a page of the repository.
    pub fn read(name: &str) -> Self {
        Self::parse(name, &read(name))
    }

    /// A page of this text.
    pub fn parse(name: &str, text: &str) -> Self {
        Self {
            name: name.to_owned(),
            blocks: blocks(text),
        }
    }

    /// A block's place, for a problem's text.
    pub fn place(&self, block: &Block) -> String {
        format!("{}:{}", self.name, block.line)
    }

    /// The anchors of its headings, as GitHub makes them.
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

    /// The rows of the table under a heading, cell by cell, without its head.
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
    /// The text of a heading; none for another block.
    pub fn heading(&self) -> Option<String> {
        let text = self.text.trim_start_matches('#');
        let level = self.text.len() - text.len();
        (level > 0 && text.starts_with(' ')).then(|| text.trim().to_owned())
    }

    /// True for an item of a numbered list.
    pub fn is_numbered(&self) -> bool {
        let digits = self.text.bytes().take_while(u8::is_ascii_digit).count();
        digits > 0 && self.text[digits..].starts_with(". ")
    }

    /// Its code spans.
    pub fn code_spans(&self) -> Vec<String> {
        split_code(&self.text)
            .into_iter()
            .filter_map(code_of)
            .collect()
    }

    /// Its links. A bracket within a code span opens none.
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

/// A piece of text or code.
enum Piece<'a> {
    Text(&'a str),
    Code(&'a str),
}

fn code_of(piece: Piece<'_>) -> Option<String> {
    match piece {
        Piece::Code(code) => Some(code.trim_matches('`').trim().to_owned()),
        Piece::Text(_) => None,
    }
}

/// Cuts a block into text and code. A span ends at as many backticks as began
/// it; backticks that nothing ends are text.
fn split_code(text: &str) -> Vec<Piece<'_>> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.find('`') {
        let ticks = rest[start..].bytes().take_while(|b| *b == b'`').count();
        let body = start + ticks;
        let Some(length) = closing(&rest[body..], ticks) else {
            pieces.push(Piece::Text(&rest[..body]));
            rest = &rest[body..];
            continue;
        };
        let end = body + length + ticks;
        pieces.push(Piece::Text(&rest[..start]));
        pieces.push(Piece::Code(&rest[start..end]));
        rest = &rest[end..];
    }
    pieces.push(Piece::Text(rest));
    pieces
}

/// Where a run of just so many backticks begins.
fn closing(text: &str, ticks: usize) -> Option<usize> {
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

/// The text with all code blanked out, byte for byte.
fn mask_code(text: &str) -> String {
    let pieces = split_code(text).into_iter();
    pieces
        .map(|piece| match piece {
            Piece::Text(text) => text.to_owned(),
            Piece::Code(code) => " ".repeat(code.len()),
        })
        .collect()
}

fn blocks(text: &str) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    let mut fenced = false;
    let mut open = false;
    for (number, line) in text.lines().enumerate() {
        let trimmed = line.trim();
        let is_fence = trimmed.starts_with("```");
        if is_fence || fenced || trimmed.is_empty() {
            fenced ^= is_fence;
            open = false;
            continue;
        }
        let alone = trimmed.starts_with('|') || trimmed.starts_with('#');
        match blocks
            .last_mut()
            .filter(|_| open && !alone && !begins_item(trimmed))
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
        open = !alone;
    }
    blocks
}

fn begins_item(line: &str) -> bool {
    let digits = line.bytes().take_while(u8::is_ascii_digit).count();
    let numbered = digits > 0 && line[digits..].starts_with(". ");
    numbered || line.starts_with("- ") || line.starts_with("* ")
}

/// GitHub's anchor of a heading: lower case, without punctuation, spaces as
/// hyphens; of a link its text alone.
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

/// The cells of a row. A bar within a code span, or escaped, ends none.
fn cells(row: &str) -> Vec<String> {
    let masked = mask_code(row).replace("\\|", "  ");
    let bars: Vec<usize> = masked.match_indices('|').map(|(at, _)| at).collect();
    let pairs = bars.windows(2);
    pairs
        .map(|pair| row[pair[0] + 1..pair[1]].trim().to_owned())
        .collect()
}
