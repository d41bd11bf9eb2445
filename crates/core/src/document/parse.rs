//! Parsing of a text into a validated document.

use std::ops::Range;

use serde::Deserialize;
use toml::{
    Spanned,
    de::{DeString, DeTable, DeValue, Deserializer, Error, ValueDeserializer},
};

use super::{
    Customer, Document, Fault, FaultKind, Pipeline, Pool, Service,
    check::check,
    locate::{PathSegment, format_path, line_at, path_to_span},
};

/// Maximum size of a document text in bytes; keeps a stored object below the platform's limit of
/// one megabyte.
pub const MAX_TEXT_BYTES: usize = 768 * 1024;

/// Parses and validates an environment document.
///
/// Faults are reported by phase: all syntax errors; if there are none, the first unknown key or
/// wrong type of each element; if there are none, all invalid values.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![too_long(text)]);
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return Err(syntax_faults(text, &errors));
    }
    let faults = shape_faults(text, table.get_ref());
    if !faults.is_empty() {
        return Err(faults);
    }
    let document = match Document::deserialize(Deserializer::from(table.clone())) {
        Ok(document) => document,
        Err(error) => return Err(syntax_faults(text, &[error])),
    };
    let faults = check(text, table.get_ref(), &document);
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(document)
}

fn too_long(text: &str) -> Fault {
    let kind = FaultKind::TooLong { length_bytes: text.len(), limit_bytes: MAX_TEXT_BYTES };
    Fault { path: format_path(&[]), line: 1, kind }
}

fn syntax_faults(text: &str, errors: &[Error]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for error in errors {
        let line = line_at(text, start_of(error.span()));
        let kind = FaultKind::Syntax(one_line(error.message()));
        faults.push(Fault { path: format_path(&[]), line, kind });
    }
    faults.sort_by_key(|it| it.line);
    faults
}

/// Checks the keys and types of each element separately, so that one fault doesn't hide the others.
fn shape_faults(text: &str, table: &DeTable<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (key, value) in table {
        let name = key.get_ref().as_ref();
        let is_array = value.get_ref().is_array();
        match name {
            "pool" if is_array => check_shapes::<Pool>(text, name, value, &mut faults),
            "pipeline" if is_array => check_shapes::<Pipeline>(text, name, value, &mut faults),
            "service" if is_array => check_shapes::<Service>(text, name, value, &mut faults),
            "customer" if is_array => check_shapes::<Customer>(text, name, value, &mut faults),
            _ => check_entry(text, key, value, &mut faults),
        }
    }
    faults.sort_by_key(|it| it.line);
    faults
}

/// Checks one top-level entry by deserializing a document that contains only this entry.
fn check_entry<'a>(
    text: &str,
    key: &Spanned<DeString<'a>>,
    value: &Spanned<DeValue<'a>>,
    faults: &mut Vec<Fault>,
) {
    let mut table = DeTable::new();
    table.insert(key.clone(), value.clone());
    let deserializer = Deserializer::from(Spanned::new(key.span(), table));
    if let Err(error) = Document::deserialize(deserializer) {
        faults.push(shape_fault(text, &[PathSegment::Key(key.get_ref())], value, &error));
    }
}

/// Checks each element of an array of tables.
fn check_shapes<'a, T: Deserialize<'a>>(
    text: &str,
    key: &str,
    value: &Spanned<DeValue<'a>>,
    faults: &mut Vec<Fault>,
) {
    let Some(array) = value.get_ref().as_array() else {
        return;
    };
    for (index, element) in array.iter().enumerate() {
        check_shape::<T>(
            text,
            &[PathSegment::Key(key), PathSegment::Index(index)],
            element,
            faults,
        );
    }
}

fn check_shape<'a, T: Deserialize<'a>>(
    text: &str,
    path: &[PathSegment<'_>],
    value: &Spanned<DeValue<'a>>,
    faults: &mut Vec<Fault>,
) {
    if let Err(error) = T::deserialize(ValueDeserializer::from(value.clone())) {
        faults.push(shape_fault(text, path, value, &error));
    }
}

/// Converts a deserialization error below `path` into a fault at the innermost key.
fn shape_fault(
    text: &str,
    path: &[PathSegment<'_>],
    value: &Spanned<DeValue<'_>>,
    error: &Error,
) -> Fault {
    let span = error.span();
    let mut full_path = path.to_vec();
    if let Some(span) = &span {
        full_path.extend(path_to_span(value, span).unwrap_or_default());
    }
    let kind = FaultKind::Shape(one_line(error.message()));
    Fault { path: format_path(&full_path), line: line_at(text, start_of(span)), kind }
}

fn start_of(span: Option<Range<usize>>) -> usize {
    span.map_or(0, |it| it.start)
}

fn one_line(message: &str) -> String {
    message.lines().collect::<Vec<_>>().join("; ")
}
