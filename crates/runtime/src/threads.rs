//! Construction of the process's tokio runtime.

use std::{io, num::NonZeroUsize};

use tokio::runtime::{Builder, Runtime};

/// Default number of worker threads.
///
/// Instances are small, and additional threads would mostly wake each other up.
pub const DEFAULT_WORKER_THREADS: NonZeroUsize = NonZeroUsize::MIN.saturating_add(1);

/// Creates a multi-threaded runtime.
///
/// # Errors
///
/// Returns an error when the worker threads cannot be started.
pub fn runtime(worker_threads: NonZeroUsize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(worker_threads.get()).enable_all().build()
}

/// Creates a runtime that runs all tasks on the calling thread.
///
/// An instance with less than one core gains nothing from a second thread.
///
/// # Errors
///
/// Returns an error when the operating system refuses the resources of a runtime.
pub fn single_threaded() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
