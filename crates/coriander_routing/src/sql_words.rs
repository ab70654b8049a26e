//! Tokenization of SQL texts into words, without a grammar.

/// Keywords, one of which occurs in every statement that changes data, schema or connection state.
///
/// `REPLACE` is not included because it is also a function. The parser does not accept a `REPLACE`
/// statement as a query, and inside another statement it requires `INSERT`.
const WRITE_KEYWORDS: [&str; 18] = [
    "ALTER",
    "ANALYZE",
    "ATTACH",
    "BEGIN",
    "COMMIT",
    "CREATE",
    "DELETE",
    "DETACH",
    "DROP",
    "INSERT",
    "INTO",
    "PRAGMA",
    "REINDEX",
    "RELEASE",
    "ROLLBACK",
    "SAVEPOINT",
    "UPDATE",
    "VACUUM",
];

/// Returns whether a write keyword occurs anywhere, even in a string or comment.
pub(crate) fn contains_write_keyword(sql: &str) -> bool {
    raw_words(sql).any(|word| {
        WRITE_KEYWORDS
            .iter()
            .any(|keyword| word.eq_ignore_ascii_case(keyword))
    })
}

fn raw_words(sql: &str) -> impl Iterator<Item = &str> {
    sql.split(|c: char| !c.is_alphanumeric() && c != '_')
        .filter(|word| !word.is_empty())
}

/// Iterator over the words of a text, without leading comments.
///
/// Words in later comments are included. This can only cause additional matches of an excluded
/// keyword.
pub(crate) struct SqlWords<'a>(&'a str);

impl<'a> SqlWords<'a> {
    pub(crate) fn new(sql: &'a str) -> Self {
        Self(skip_comments(sql))
    }
}

impl<'a> Iterator for SqlWords<'a> {
    type Item = &'a str;

    fn next(&mut self) -> Option<&'a str> {
        let is_word = |c: char| c.is_alphanumeric() || c == '_';
        let start = self.0.find(is_word)?;
        let rest = &self.0[start..];
        let end = rest.find(|c| !is_word(c)).unwrap_or(rest.len());
        let (word, rest) = rest.split_at(end);
        self.0 = rest;
        Some(word)
    }
}

/// Removes everything that SQLite skips before the first statement: whitespace, byte order marks,
/// empty statements and comments.
fn skip_comments(mut sql: &str) -> &str {
    loop {
        sql = sql.trim_start_matches(|c: char| c.is_whitespace() || matches!(c, ';' | '\u{feff}'));
        let end = if sql.starts_with("--") {
            sql.find('\n').map(|end| end + 1)
        } else if let Some(comment) = sql.strip_prefix("/*") {
            comment.find("*/").map(|end| end + 4)
        } else {
            return sql;
        };
        sql = end.map_or("", |end| &sql[end..]);
    }
}
