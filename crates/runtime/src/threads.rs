//! The tokio runtime of a process.

use std::{io, num::NonZeroUsize};

use tokio::runtime::{Builder, Runtime};

/// Worker threads of a process that states no other number.
///
/// An instance is small; more threads mostly wake each other.
pub const DEFAULT_WORKER_THREADS: NonZeroUsize = NonZeroUsize::MIN.saturating_add(1);

/// Creates a runtime with a number of worker threads.
///
/// # Errors
///
/// Returns an error when the threads cannot be started.
pub fn runtime(worker_threads: NonZeroUsize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(worker_threads.get()).enable_all().build()
}

/// Creates a runtime that runs all tasks on the calling thread.
///
/// An instance with a part of one core gains nothing from a second thread.
///
/// # Errors
///
/// Returns an error when the operating system refuses the resources of a runtime.
pub fn single_threaded() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
