//! Functions and pragmas of SQLite that are known to be free of side effects.
//!
//! Deliberately excluded: `load_extension`, `writefile`, `edit` and `fts3_tokenizer`, which have
//! side effects, and `changes`, `total_changes` and `last_insert_rowid`, whose results depend on
//! the connection.

use crate::sql_words::SqlWords;

/// Functions in alphabetical order, for binary search.
const READ_FUNCTIONS: &[&str] = &[
    "abs",
    "acos",
    "acosh",
    "asin",
    "asinh",
    "atan",
    "atan2",
    "atanh",
    "avg",
    "bm25",
    "ceil",
    "ceiling",
    "char",
    "coalesce",
    "concat",
    "concat_ws",
    "cos",
    "cosh",
    "count",
    "cume_dist",
    "date",
    "datetime",
    "degrees",
    "dense_rank",
    "exp",
    "first_value",
    "floor",
    "format",
    "glob",
    "group_concat",
    "hex",
    "highlight",
    "ifnull",
    "iif",
    "instr",
    "json",
    "json_array",
    "json_array_length",
    "json_extract",
    "json_group_array",
    "json_group_object",
    "json_insert",
    "json_object",
    "json_patch",
    "json_quote",
    "json_remove",
    "json_replace",
    "json_set",
    "json_type",
    "json_valid",
    "julianday",
    "lag",
    "last_value",
    "lead",
    "length",
    "like",
    "likelihood",
    "likely",
    "ln",
    "log",
    "log10",
    "log2",
    "lower",
    "ltrim",
    "max",
    "min",
    "mod",
    "nth_value",
    "ntile",
    "nullif",
    "octet_length",
    "percent_rank",
    "pi",
    "pow",
    "power",
    "printf",
    "quote",
    "radians",
    "random",
    "randomblob",
    "rank",
    "replace",
    "round",
    "row_number",
    "rtrim",
    "sign",
    "sin",
    "sinh",
    "snippet",
    "soundex",
    "sqlite_version",
    "sqrt",
    "strftime",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "tan",
    "tanh",
    "time",
    "timediff",
    "total",
    "trim",
    "trunc",
    "typeof",
    "unhex",
    "unicode",
    "unixepoch",
    "unlikely",
    "upper",
    "zeroblob",
];

const READ_TABLE_FUNCTIONS: [&str; 3] = ["generate_series", "json_each", "json_tree"];

/// Pragmas that only return information, with or without an argument.
const READ_PRAGMAS: [&str; 8] = [
    "collation_list",
    "foreign_key_list",
    "index_info",
    "index_list",
    "index_xinfo",
    "table_info",
    "table_list",
    "table_xinfo",
];

pub(crate) fn is_read_function(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    READ_FUNCTIONS.binary_search(&&*name).is_ok()
}

pub(crate) fn is_read_table_function(name: &str) -> bool {
    READ_TABLE_FUNCTIONS
        .iter()
        .any(|known| name.eq_ignore_ascii_case(known))
}

/// Returns whether a text is one pragma of `READ_PRAGMAS` with at most one plain argument.
pub(crate) fn is_read_pragma(sql: &str) -> bool {
    let body = sql.trim_end().trim_end_matches(';');
    let is_plain = |c: char| c.is_alphanumeric() || matches!(c, '_' | '(' | ')' | '\'' | '"');
    if !body.chars().all(|c| is_plain(c) || c.is_whitespace()) {
        return false;
    }
    let name = SqlWords::new(body).nth(1);
    let is_known = |name: &str| READ_PRAGMAS.iter().any(|p| name.eq_ignore_ascii_case(p));
    name.is_some_and(is_known)
}
