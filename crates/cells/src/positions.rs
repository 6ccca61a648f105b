//! The lines of the fields of a JSON5 text, for error messages. Only names and brackets are examined; whether the text
//! is valid is for the parser to decide.

use std::collections::BTreeMap;
use std::iter::Peekable;
use std::str::Chars;

/// The line of each field, by its path with dots between the names.
#[derive(Default)]
pub(crate) struct FieldPositions {
    lines: BTreeMap<String, usize>,
    duplicate: Option<DuplicateField>,
}

/// A field that occurs twice in its object; the parser would silently use the later one.
#[derive(Clone)]
pub(crate) struct DuplicateField {
    /// The path of the field.
    pub(crate) field: String,
    /// The line of the second occurrence, from 1.
    pub(crate) line: usize,
}

impl FieldPositions {
    /// Finds the fields of a text.
    pub(crate) fn scan(text: &str) -> FieldPositions {
        let mut scanner = Scanner {
            chars: text.chars().peekable(),
            line: 1,
            open: Vec::new(),
            name: String::new(),
            name_line: 1,
            positions: FieldPositions::default(),
        };
        scanner.run();
        scanner.positions
    }

    /// The first field that occurs twice.
    pub(crate) fn duplicate(&self) -> Option<&DuplicateField> {
        self.duplicate.as_ref()
    }

    /// The line of a field, or of the nearest enclosing one that the text has.
    pub(crate) fn line_of(&self, path: &[&str]) -> Option<usize> {
        (1..=path.len())
            .rev()
            .find_map(|depth| self.lines.get(&path[..depth].join(".")))
            .copied()
    }

    /// The last field that begins on this line or before it; empty if there is none.
    pub(crate) fn field_before(&self, line: usize) -> String {
        self.lines
            .iter()
            .filter(|(_, begins)| **begins <= line)
            .max_by_key(|(field, begins)| (**begins, field.len()))
            .map_or(String::new(), |(field, _)| field.clone())
    }

    fn record(&mut self, field: String, line: usize) {
        let is_duplicate = self.lines.insert(field.clone(), line).is_some();
        if is_duplicate && self.duplicate.is_none() {
            self.duplicate = Some(DuplicateField { field, line });
        }
    }
}

struct Scanner<'a> {
    chars: Peekable<Chars<'a>>,
    line: usize,
    /// The names of the open objects and lists; an outermost list has none.
    open: Vec<Option<String>>,
    /// The name or value that was read last, and the line it began on.
    name: String,
    name_line: usize,
    positions: FieldPositions,
}

impl Scanner<'_> {
    fn run(&mut self) {
        while let Some(c) = self.chars.next() {
            match c {
                '\n' => self.line += 1,
                '/' if self.chars.peek() == Some(&'/') => self.skip_line_comment(),
                '/' if self.chars.peek() == Some(&'*') => self.skip_block_comment(),
                '"' | '\'' => self.read_quoted(c),
                ':' => self.record_field(),
                '{' | '[' => self.open_bracket(c),
                '}' | ']' => {
                    self.open.pop();
                    self.name.clear();
                }
                ',' => self.name.clear(),
                c if c.is_whitespace() => {}
                c => self.read_bare(c),
            }
        }
    }

    fn skip_line_comment(&mut self) {
        while self.chars.next_if(|c| *c != '\n').is_some() {}
    }

    fn skip_block_comment(&mut self) {
        let mut previous = ' ';
        self.chars.next();
        for c in self.chars.by_ref() {
            self.line += usize::from(c == '\n');
            if previous == '*' && c == '/' {
                break;
            }
            previous = c;
        }
    }

    fn read_quoted(&mut self, quote: char) {
        self.name.clear();
        self.name_line = self.line;
        while let Some(c) = self.chars.next() {
            if c == quote {
                break;
            }
            if c == '\\' {
                let escaped = self.chars.next();
                self.line += usize::from(escaped == Some('\n'));
            } else {
                self.line += usize::from(c == '\n');
                self.name.push(c);
            }
        }
    }

    fn read_bare(&mut self, first: char) {
        self.name.clear();
        self.name_line = self.line;
        self.name.push(first);
        while let Some(c) = self
            .chars
            .next_if(|c| !c.is_whitespace() && !",:{}[]/\"'".contains(*c))
        {
            self.name.push(c);
        }
    }

    fn record_field(&mut self) {
        let outer = self.open.iter().flatten().map(String::as_str);
        let mut path: Vec<&str> = outer.filter(|name| !name.is_empty()).collect();
        path.push(&self.name);
        let field = path.join(".");
        self.positions.record(field, self.name_line);
    }

    fn open_bracket(&mut self, bracket: char) {
        let name = std::mem::take(&mut self.name);
        let is_outermost_list = bracket == '[' && self.open.is_empty();
        self.open.push((!is_outermost_list).then_some(name));
    }
}
