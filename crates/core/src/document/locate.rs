//! Lines and key paths of a TOML text.

use std::{fmt::Write as _, ops::Range};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// One step from a value into a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step<'a> {
    /// The value under a key of a table.
    Key(&'a str),
    /// An element of an array, counted from zero.
    Index(usize),
}

/// Writes a key path such as `pipeline[1].stage[0].pool`.
pub(crate) fn path_text(steps: &[Step<'_>]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            Step::Index(index) => {
                // Writing to a string can't fail.
                let _ = write!(text, "[{index}]");
            }
        }
    }
    if text.is_empty() {
        text.push_str("document");
    }
    text
}

/// Returns the line of a byte offset, counted from one.
///
/// The end of the text belongs to the last line that has content.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.trim_end().len())];
    1 + before.iter().filter(|&&it| it == b'\n').count()
}

/// Returns the offset of the deepest part of `table` that `steps` leads to.
///
/// The offset is that of the key where there is one, and of the element or its header otherwise.
pub(crate) fn offset_of(table: &DeTable<'_>, steps: &[Step<'_>]) -> usize {
    let mut offset = 0;
    let mut table = Some(table);
    let mut value: Option<&DeValue<'_>> = None;
    for step in steps {
        let next = match step {
            Step::Key(key) => {
                let Some((name, next)) = table.and_then(|it| it.get_key_value(*key)) else { break };
                offset = name.span().start;
                next
            }
            Step::Index(index) => {
                let array = value.and_then(DeValue::as_array);
                let Some(next) = array.and_then(|it| it.get(*index)) else { break };
                offset = next.span().start;
                next
            }
        };
        value = Some(next.get_ref());
        table = next.get_ref().as_table();
    }
    offset
}

/// Finds the steps from `value` to the key or value that stands at `span`.
pub(crate) fn steps_to<'a>(
    value: &'a Spanned<DeValue<'_>>,
    span: &Range<usize>,
) -> Option<Vec<Step<'a>>> {
    match value.get_ref() {
        DeValue::Table(table) => {
            for (key, inner) in table {
                let step = Step::Key(key.get_ref());
                if key.span() == *span || inner.span() == *span {
                    return Some(vec![step]);
                }
                if let Some(rest) = steps_to(inner, span) {
                    return Some(prepend(step, rest));
                }
            }
        }
        DeValue::Array(array) => {
            for (index, inner) in array.iter().enumerate() {
                let step = Step::Index(index);
                if let Some(rest) = steps_to(inner, span) {
                    return Some(prepend(step, rest));
                }
                if inner.span() == *span {
                    return Some(vec![step]);
                }
            }
        }
        _ => {}
    }
    None
}

fn prepend<'a>(step: Step<'a>, mut rest: Vec<Step<'a>>) -> Vec<Step<'a>> {
    rest.insert(0, step);
    rest
}
