//! Client of the platform's object API: versioned objects, conditional updates and watches.
//!
//! The API follows the published conventions of Kubernetes: objects live at
//! `/apis/yuccatrail.dev/v1/namespaces/{environment}/{plural}/{name}`, carry an opaque
//! `metadata.resourceVersion`, and errors are returned as a `Status` object.

mod backoff;
mod budget;
mod client;
mod error;
mod list;
mod object;
mod poll;
mod poll_watchdog;
mod response;
mod settings;
mod watch;
mod watcher;
mod wire;

pub use backoff::{Backoff, BackoffSettings};
pub use budget::{CallBudget, CallCounts, CallKind, TokenBucket};
pub use client::{Client, ConditionalReply, ReadReply};
pub use error::PlatformError;
pub use list::Listing;
pub use object::{CURRENT, Kind, Object, ObjectList, ResourceVersion};
pub use poll::{ChangesPage, Decode, ListPage, PollProtocol, PollUpdate, Poller, PollerSettings};
pub use poll_watchdog::{CheckOutcome, PollWatchdog};
pub use settings::{BudgetSettings, ClientSettings};
pub use watch::{Watch, WatchEvent};
pub use watcher::{WatchUpdate, Watcher, WatcherSettings};
pub use wire::{API_VERSION, MAX_VALUE_BYTES};
