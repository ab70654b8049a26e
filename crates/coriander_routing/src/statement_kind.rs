//! Classification of one SQL text.
//!
//! A text is a read only if it parses as one query, calls only known functions and contains no
//! write keyword anywhere. Everything else is treated as a write.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit, Visitor,
};
use sqlparser::dialect::SQLiteDialect;
use sqlparser::parser::Parser;

use crate::RequestLog;
use crate::read_functions::{is_read_function, is_read_pragma, is_read_table_function};
use crate::script::split_script;
use crate::sql_words::{SqlWords, contains_write_keyword};

/// Maximum length of a parsed text in bytes. The syntax tree of a longer text could be deep enough
/// to exhaust the stack when it is dropped.
const MAX_PARSED_LENGTH: usize = 8 * 1024;

/// Effect of a statement, as far as it can be proven.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StatementKind {
    /// A statement that is proven to be a read.
    Read,
    /// INSERT, REPLACE, UPDATE or DELETE that returns no rows.
    Change,
    /// Any other statement that does not control a transaction.
    Write,
    /// BEGIN or SAVEPOINT.
    Begin,
    /// COMMIT, END or ROLLBACK of the whole transaction.
    End,
    /// RELEASE or ROLLBACK TO; the transaction may remain open.
    Savepoint,
    /// A statement that names the table of executed requests, which callers must not access.
    Reserved,
}

impl StatementKind {
    /// Classifies a text that should contain one statement.
    pub fn classify(sql: &str) -> Self {
        if RequestLog::is_referenced_by(sql) {
            return Self::Reserved;
        }
        let first = SqlWords::new(sql).next().unwrap_or_default();
        let is_proven = match &*first.to_ascii_uppercase() {
            "SELECT" | "VALUES" | "WITH" | "EXPLAIN" => is_query(sql),
            "PRAGMA" => is_read_pragma(sql),
            _ => false,
        };
        if is_proven {
            return Self::Read;
        }
        if !sql.contains(';') {
            return Self::of_first_word(sql);
        }
        match split_script(sql).as_deref() {
            Some([statement]) => Self::of_first_word(statement),
            // The upstream rejects several statements, ignores all but the first or runs them all.
            // Transaction control among them must not be classified as a write.
            Some(statements) => statements
                .iter()
                .map(|statement| Self::of_first_word(statement))
                .filter(|kind| kind.is_control())
                .min_by_key(|kind| *kind != Self::Begin)
                .unwrap_or(Self::Write),
            None => match Self::of_first_word(sql) {
                Self::Change => Self::Write,
                kind => kind,
            },
        }
    }

    /// Classifies a statement that is not a read.
    fn of_first_word(sql: &str) -> Self {
        let mut words = SqlWords::new(sql);
        let first = words.next().unwrap_or_default();
        match &*first.to_ascii_uppercase() {
            "BEGIN" | "SAVEPOINT" => Self::Begin,
            "ROLLBACK" if words.any(|word| word.eq_ignore_ascii_case("TO")) => Self::Savepoint,
            "COMMIT" | "END" | "ROLLBACK" => Self::End,
            "RELEASE" => Self::Savepoint,
            "INSERT" | "REPLACE" | "UPDATE" | "DELETE" if is_plain_change(&mut words) => {
                Self::Change
            }
            _ => Self::Write,
        }
    }

    /// Returns whether the statement controls a transaction.
    pub const fn is_control(self) -> bool {
        matches!(self, Self::Begin | Self::End | Self::Savepoint)
    }
}

/// Returns whether a change neither returns rows nor reads the counters of its connection, which
/// the statements of the request log alter.
fn is_plain_change(words: &mut SqlWords<'_>) -> bool {
    const EXCLUDED: [&str; 4] = ["RETURNING", "CHANGES", "TOTAL_CHANGES", "LAST_INSERT_ROWID"];
    !words.any(|word| EXCLUDED.iter().any(|name| word.eq_ignore_ascii_case(name)))
}

fn is_query(sql: &str) -> bool {
    // The keyword search does not depend on the parser's grammar, so it also rejects texts that
    // the parser and SQLite tokenize differently.
    if sql.len() > MAX_PARSED_LENGTH || contains_write_keyword(sql) {
        return false;
    }
    match Parser::parse_sql(&SQLiteDialect {}, sql).as_deref() {
        Ok([Statement::Query(query)]) => query.visit(&mut ReadOnlyVisitor).is_continue(),
        Ok([Statement::Explain { statement, .. }]) => match &**statement {
            Statement::Query(query) => query.visit(&mut ReadOnlyVisitor).is_continue(),
            _ => false,
        },
        _ => false,
    }
}

/// Visitor that stops at the first part of a query that is not known to be free of side effects.
struct ReadOnlyVisitor;

fn continue_if(proven: bool) -> ControlFlow<()> {
    if proven {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(())
    }
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) => true,
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        _ => false,
    }
}

/// Returns the name of an object, or `None` if it is qualified or not an identifier.
fn plain_name(name: &ObjectName) -> Option<&str> {
    match &*name.0 {
        [part] => part.as_ident().map(|ident| &*ident.value),
        _ => None,
    }
}

impl Visitor for ReadOnlyVisitor {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let is_plain = query.locks.is_empty()
            && query.for_clause.is_none()
            && query.settings.is_none()
            && query.format_clause.is_none()
            && query.pipe_operators.is_empty();
        continue_if(is_plain && is_read_body(&query.body))
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        continue_if(select.into.is_none())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        let last = relation.0.last().and_then(|part| part.as_ident());
        continue_if(
            last.is_some_and(|name| !name.value.to_ascii_lowercase().starts_with("pragma_")),
        )
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        continue_if(match factor {
            TableFactor::Table { name, args, .. } => {
                args.is_none() || plain_name(name).is_some_and(is_read_table_function)
            }
            TableFactor::Derived { .. } | TableFactor::NestedJoin { .. } => true,
            _ => false,
        })
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        continue_if(match expr {
            Expr::Function(function) => plain_name(&function.name).is_some_and(is_read_function),
            _ => true,
        })
    }

    fn pre_visit_statement(&mut self, _statement: &Statement) -> ControlFlow<()> {
        ControlFlow::Break(())
    }
}
