//! Splitting of SQL scripts into statements.

use sqlparser::dialect::SQLiteDialect;
use sqlparser::tokenizer::{Location, Token, Tokenizer};

/// Splits a script at its semicolons, or returns `None` if that is not safe.
///
/// The body of a trigger contains semicolons, so scripts that create a trigger are not split.
pub(crate) fn split_script(sql: &str) -> Option<Vec<&str>> {
    let tokens = Tokenizer::new(&SQLiteDialect {}, sql)
        .tokenize_with_location()
        .ok()?;
    let mut finder = OffsetFinder::new(sql);
    let mut statements = Vec::new();
    let mut start = 0;
    let mut has_content = false;
    for token in &tokens {
        match &token.token {
            Token::Word(word) if word.value.eq_ignore_ascii_case("TRIGGER") => return None,
            Token::SemiColon => {
                let end = finder.offset(token.span.start)?;
                if has_content {
                    statements.push(sql[start..end].trim());
                }
                (start, has_content) = (end + 1, false);
            }
            Token::Whitespace(_) | Token::EOF => {}
            _ => has_content = true,
        }
    }
    if has_content {
        statements.push(sql[start..].trim());
    }
    Some(statements)
}

/// Converts the tokenizer's lines and columns, counted in characters, to byte offsets.
struct OffsetFinder<'a> {
    chars: std::str::CharIndices<'a>,
    line: u64,
    column: u64,
}

impl<'a> OffsetFinder<'a> {
    fn new(sql: &'a str) -> Self {
        Self {
            chars: sql.char_indices(),
            line: 1,
            column: 1,
        }
    }

    /// Returns the offset of a semicolon; locations must be passed in ascending order.
    fn offset(&mut self, location: Location) -> Option<usize> {
        loop {
            let (offset, character) = self.chars.next()?;
            let is_found = (self.line, self.column) == (location.line, location.column);
            if character == '\n' {
                (self.line, self.column) = (self.line + 1, 1);
            } else {
                self.column += 1;
            }
            if is_found {
                return (character == ';').then_some(offset);
            }
        }
    }
}
