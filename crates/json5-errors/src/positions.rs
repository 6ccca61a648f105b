//! Finds the lines of the fields in a JSON5 text.

use std::collections::BTreeMap;
use std::iter::Peekable;
use std::str::Chars;

/// The lines of the fields of a JSON5 text, by the path of the field.
///
/// The scan reads only names, brackets, strings and comments. It does not check that the text is
/// valid JSON5; the parser does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPositions {
    lines: BTreeMap<String, usize>,
    duplicate: Option<DuplicateField>,
}

/// A field that occurs twice in the same object. `json5` silently keeps the later value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuplicateField {
    /// The path of the field, with its names joined by dots.
    pub field: String,
    /// The line of the second occurrence, counted from 1.
    pub line: usize,
}

impl FieldPositions {
    /// Finds the fields of a text.
    pub fn scan(text: &str) -> FieldPositions {
        Scanner::new(text).run()
    }

    /// Returns the line of a field, or of the innermost enclosing object that has a known line.
    pub fn line(&self, path: &[&str]) -> Option<usize> {
        (1..=path.len())
            .rev()
            .find_map(|depth| self.lines.get(&path[..depth].join(".")))
            .copied()
    }

    /// Returns the path of the last field that begins on or before this line. Empty if there is
    /// none.
    pub fn field_before(&self, line: usize) -> String {
        self.lines
            .iter()
            .filter(|(_, field_line)| **field_line <= line)
            .max_by_key(|(field, field_line)| (**field_line, field.len()))
            .map_or_else(String::new, |(field, _)| field.clone())
    }

    /// Returns the first field that occurs twice in its object.
    pub fn duplicate(&self) -> Option<&DuplicateField> {
        self.duplicate.as_ref()
    }
}

/// Returns the first line that begins with the name of a field, quoted or not. Sufficient for files
/// with one field per line and without nested objects.
pub fn line_starting_with(text: &str, field: &str) -> Option<usize> {
    let starts_with_field =
        |line: &str| line.trim_start().trim_start_matches('"').starts_with(field);
    text.lines()
        .position(starts_with_field)
        .map(|index| index + 1)
}

/// A scanner that collects [`FieldPositions`] in one pass over a text.
struct Scanner<'a> {
    chars: Peekable<Chars<'a>>,
    line: usize,
    /// The names of the open objects and lists, outermost first. Empty for an object without a
    /// name, `None` for a top-level list.
    path: Vec<Option<String>>,
    /// The name or literal that was read last.
    name: String,
    /// The line of `name`.
    name_line: usize,
    positions: FieldPositions,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            chars: text.chars().peekable(),
            line: 1,
            path: Vec::new(),
            name: String::new(),
            name_line: 1,
            positions: FieldPositions::default(),
        }
    }

    fn run(mut self) -> FieldPositions {
        while let Some(c) = self.chars.next() {
            match c {
                '\n' => self.line += 1,
                '/' if self.chars.peek() == Some(&'/') => self.skip_line_comment(),
                '/' if self.chars.peek() == Some(&'*') => self.skip_block_comment(),
                '"' | '\'' => self.read_string(c),
                ':' => self.record_field(),
                '{' | '[' => self.open_bracket(c),
                '}' | ']' => self.close_bracket(),
                ',' => self.name.clear(),
                c if c.is_whitespace() => {}
                c => self.read_word(c),
            }
        }
        self.positions
    }

    fn skip_line_comment(&mut self) {
        while self.chars.next_if(|c| *c != '\n').is_some() {}
    }

    fn skip_block_comment(&mut self) {
        // Skip the star of the opening `/*`, so that `/*/` does not end the comment.
        self.chars.next();
        let mut previous = ' ';
        for c in self.chars.by_ref() {
            self.line += usize::from(c == '\n');
            if previous == '*' && c == '/' {
                break;
            }
            previous = c;
        }
    }

    fn read_string(&mut self, quote: char) {
        self.name.clear();
        self.name_line = self.line;
        while let Some(c) = self.chars.next() {
            if c == '\\' {
                self.line += usize::from(self.chars.next() == Some('\n'));
            } else if c == quote {
                break;
            } else {
                self.line += usize::from(c == '\n');
                self.name.push(c);
            }
        }
    }

    fn read_word(&mut self, first: char) {
        self.name.clear();
        self.name_line = self.line;
        self.name.push(first);
        let is_part_of_word = |c: &char| !c.is_whitespace() && !",:{}[]/\"'".contains(*c);
        while let Some(c) = self.chars.next_if(is_part_of_word) {
            self.name.push(c);
        }
    }

    fn record_field(&mut self) {
        let field = self.path_of_name();
        let earlier = self.positions.lines.insert(field.clone(), self.name_line);
        if earlier.is_some() && self.positions.duplicate.is_none() {
            self.positions.duplicate = Some(DuplicateField {
                field,
                line: self.name_line,
            });
        }
    }

    fn path_of_name(&self) -> String {
        let objects = self
            .path
            .iter()
            .flatten()
            .map(String::as_str)
            .filter(|name| !name.is_empty());
        objects
            .chain([self.name.as_str()])
            .collect::<Vec<_>>()
            .join(".")
    }

    fn open_bracket(&mut self, bracket: char) {
        let name = std::mem::take(&mut self.name);
        let has_name = bracket == '{' || !self.path.is_empty();
        self.path.push(has_name.then_some(name));
    }

    fn close_bracket(&mut self) {
        self.path.pop();
        self.name.clear();
    }
}
