//! Counts the statements of a body before they are decoded.

use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, SeqAccess, Visitor};

/// Returns the number of statements in the body of a pipeline or cursor request, without keeping
/// them in memory: decoded, a short statement is many times as long as its text.
///
/// ```
/// use corianderstile::count_statements;
///
/// let body = br#"{"requests":[{"type":"close"},{"type":"batch","batch":{"steps":[{},{}]}}]}"#;
/// assert_eq!(count_statements(body).expect("valid JSON"), 3);
/// ```
pub fn count_statements(body: &[u8]) -> Result<usize, serde_json::Error> {
    let outline: BodyOutline = serde_json::from_slice(body)?;
    let steps = outline.batch.map_or(0, |batch| batch.steps.0);
    Ok(outline.requests.0 + steps)
}

#[derive(serde::Deserialize)]
struct BodyOutline {
    #[serde(default)]
    requests: StatementTotal,
    /// The batch of a cursor request.
    #[serde(default)]
    batch: Option<BatchOutline>,
}

#[derive(serde::Deserialize)]
struct RequestOutline {
    #[serde(default)]
    batch: Option<BatchOutline>,
}

#[derive(serde::Deserialize)]
struct BatchOutline {
    #[serde(default)]
    steps: StepTotal,
}

/// Statements of a list of requests.
#[derive(Default)]
struct StatementTotal(usize);

/// Length of a list of steps.
#[derive(Default)]
struct StepTotal(usize);

impl<'de> Deserialize<'de> for StatementTotal {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Other requests than batches count as one, also with a list of steps that means nothing.
        let count = |request: RequestOutline| request.batch.map_or(1, |batch| batch.steps.0.max(1));
        deserializer.deserialize_seq(SumVisitor(count)).map(Self)
    }
}

impl<'de> Deserialize<'de> for StepTotal {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let count = |_: IgnoredAny| 1;
        deserializer.deserialize_seq(SumVisitor(count)).map(Self)
    }
}

/// Sums what a function returns for each element.
struct SumVisitor<T>(fn(T) -> usize);

impl<'de, T: Deserialize<'de>> Visitor<'de> for SumVisitor<T> {
    type Value = usize;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<usize, A::Error> {
        let mut sum = 0;
        while let Some(element) = list.next_element()? {
            sum += (self.0)(element);
        }
        Ok(sum)
    }
}
