//! Reads environment documents from files.

use std::{path::Path, sync::Arc};

use super::outcome::Outcome;

/// Reads the text of a document unchanged, because its digest covers every byte.
pub(crate) fn read(path: &Path) -> Result<Arc<str>, Outcome> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Arc::from(text)),
        Err(error) => {
            Err(Outcome::Unreadable { path: path.display().to_string(), detail: error.to_string() })
        }
    }
}
