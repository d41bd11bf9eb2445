//! Line numbers and key paths in a TOML text.

use std::{fmt::Write as _, ops::Range};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// One segment of a key path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathSegment<'a> {
    /// The value under a key of a table.
    Key(&'a str),
    /// An element of an array, counted from zero.
    Index(usize),
}

/// Formats a key path such as `pipeline[1].stage[0].pool`.
pub(crate) fn format_path(path: &[PathSegment<'_>]) -> String {
    let mut text = String::new();
    for segment in path {
        match segment {
            PathSegment::Key(key) if text.is_empty() => text.push_str(key),
            PathSegment::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            PathSegment::Index(index) => {
                // Writing to a string never fails.
                let _ = write!(text, "[{index}]");
            }
        }
    }
    if text.is_empty() {
        text.push_str("document");
    }
    text
}

/// Returns the line number of a byte offset, counted from one.
///
/// An offset after the last line with content is attributed to that line.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.trim_end().len())];
    1 + before.iter().filter(|&&it| it == b'\n').count()
}

/// Returns the byte offset of the element at `path`, or of its innermost ancestor that exists.
///
/// This is the offset of the key, or for an array element that of the element or its header.
pub(crate) fn offset_of(table: &DeTable<'_>, path: &[PathSegment<'_>]) -> usize {
    let mut offset = 0;
    let mut table = Some(table);
    let mut value: Option<&DeValue<'_>> = None;
    for segment in path {
        let next = match segment {
            PathSegment::Key(key) => {
                let Some((name, next)) = table.and_then(|it| it.get_key_value(*key)) else { break };
                offset = name.span().start;
                next
            }
            PathSegment::Index(index) => {
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

/// Finds the path from `value` to the key or value at `span`.
pub(crate) fn path_to_span<'a>(
    value: &'a Spanned<DeValue<'_>>,
    span: &Range<usize>,
) -> Option<Vec<PathSegment<'a>>> {
    match value.get_ref() {
        DeValue::Table(table) => {
            for (key, inner) in table {
                let segment = PathSegment::Key(key.get_ref());
                if key.span() == *span || inner.span() == *span {
                    return Some(vec![segment]);
                }
                if let Some(rest) = path_to_span(inner, span) {
                    return Some(prepend(segment, rest));
                }
            }
        }
        DeValue::Array(array) => {
            for (index, inner) in array.iter().enumerate() {
                let segment = PathSegment::Index(index);
                if let Some(rest) = path_to_span(inner, span) {
                    return Some(prepend(segment, rest));
                }
                if inner.span() == *span {
                    return Some(vec![segment]);
                }
            }
        }
        _ => {}
    }
    None
}

fn prepend<'a>(segment: PathSegment<'a>, mut rest: Vec<PathSegment<'a>>) -> Vec<PathSegment<'a>> {
    rest.insert(0, segment);
    rest
}
