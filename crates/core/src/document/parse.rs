//! Way from text to a checked document.

use std::ops::Range;

use serde::Deserialize;
use toml::{
    Spanned,
    de::{DeString, DeTable, DeValue, Deserializer, Error, ValueDeserializer},
};

use super::{
    Customer, Document, Fault, FaultKind, Pipeline, Pool, Service,
    check::check,
    locate::{Step, line_at, path_text, steps_to},
};

/// Largest document text in bytes, so that a stored object stays below the platform's megabyte.
pub const MAX_TEXT_BYTES: usize = 768 * 1024;

/// Parses and checks an environment document.
///
/// The faults come in stages: all syntax errors, or else one unknown key or wrong type for each
/// element of the document, or else everything that is wrong with the values.
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
    Fault { path: path_text(&[]), line: 1, kind }
}

fn syntax_faults(text: &str, errors: &[Error]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for error in errors {
        let line = line_at(text, start_of(error.span()));
        let kind = FaultKind::Syntax(one_line(error.message()));
        faults.push(Fault { path: path_text(&[]), line, kind });
    }
    faults.sort_by_key(|it| it.line);
    faults
}

/// Checks the keys and types of each element on its own, so that one fault doesn't hide the others.
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

/// Checks one entry of the top level as a document that has no other.
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
        faults.push(shape_fault(text, &[Step::Key(key.get_ref())], value, &error));
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
        check_shape::<T>(text, &[Step::Key(key), Step::Index(index)], element, faults);
    }
}

fn check_shape<'a, T: Deserialize<'a>>(
    text: &str,
    steps: &[Step<'_>],
    value: &Spanned<DeValue<'a>>,
    faults: &mut Vec<Fault>,
) {
    if let Err(error) = T::deserialize(ValueDeserializer::from(value.clone())) {
        faults.push(shape_fault(text, steps, value, &error));
    }
}

/// Turns an error below `steps` into a fault that names the innermost key.
fn shape_fault(
    text: &str,
    steps: &[Step<'_>],
    value: &Spanned<DeValue<'_>>,
    error: &Error,
) -> Fault {
    let span = error.span();
    let mut path = steps.to_vec();
    if let Some(span) = &span {
        path.extend(steps_to(value, span).unwrap_or_default());
    }
    let kind = FaultKind::Shape(one_line(error.message()));
    Fault { path: path_text(&path), line: line_at(text, start_of(span)), kind }
}

fn start_of(span: Option<Range<usize>>) -> usize {
    span.map_or(0, |it| it.start)
}

fn one_line(message: &str) -> String {
    message.lines().collect::<Vec<_>>().join("; ")
}
