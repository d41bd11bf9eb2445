//! Keeps a consumer up to date with one kind of an object API by lists and long polls.
//!
//! The paths and the decoding of bodies are passed in as functions, so that the same connections,
//! call budget and backoff serve any wire format.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use log::{info, warn};
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
    time::Instant,
};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::revision::Revision;

use crate::{Backoff, BackoffSettings, CallKind, Client, Listing, PlatformError};

/// Time for which a poll was open from which its failure may be a cut without an outage, in
/// milliseconds; polls that fail sooner are not repeated at once.
const MIN_CUT_POLL_MS: u64 = 500;
/// Time since the last changes within which further ones are coalesced for longer, in milliseconds.
const BUSY_MS: u64 = 1_000;

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage<T> {
    /// Objects of the page.
    pub items: Vec<T>,
    /// Number of objects that are left out because they have no readable name.
    pub unnamed: usize,
    /// Number of the store's revision when the page was read.
    pub revision_number: u64,
    /// Name after which the next page begins; `None` for the last page.
    pub next: Option<String>,
}

/// Response to a long poll: the changes since the requested revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangesPage<T> {
    /// The changes in the order in which they were made; may be empty.
    pub items: Vec<T>,
    /// Number of changes that are left out because their objects have no readable name.
    pub unnamed: usize,
    /// Number of the store's revision from which the next poll continues.
    pub revision_number: u64,
}

/// Decodes a body, or returns a description of what is wrong with it.
pub type Decode<T> = fn(&[u8]) -> Result<T, String>;

/// Paths and body formats by which one kind is listed and polled.
#[derive(Clone, Copy, Debug)]
pub struct PollProtocol<T> {
    /// Name of the kind in paths, errors and logs.
    pub kind: &'static str,
    /// Returns the path of the list page that begins after the name `after`, or of the first page.
    pub list_path: fn(kind: &str, after: Option<&str>) -> String,
    /// Returns the path of a long poll for the changes after the revision with the number `from`,
    /// which the platform holds open for up to `wait_ms` milliseconds while there are none.
    pub poll_path: fn(kind: &str, from: u64, wait_ms: u64) -> String,
    /// Decodes a list page.
    pub decode_list: Decode<ListPage<T>>,
    /// Decodes the response to a long poll.
    pub decode_changes: Decode<ChangesPage<T>>,
}

/// Settings of a [`Poller`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollerSettings {
    /// Backoff after failed calls.
    pub backoff: BackoffSettings,
    /// Time for which the platform holds a poll open while there are no changes, in milliseconds.
    pub wait_ms: u64,
    /// Delay between a response with changes and the next poll, in milliseconds; coalesces changes
    /// in quick succession into one call.
    pub coalesce_ms: u64,
    /// Delay after a failed call while slow retry is set, in milliseconds; see
    /// [`Poller::set_slow_retry`]. Also the time after which a list is read again of which a page
    /// can't be decoded.
    pub slow_retry_delay_ms: u64,
    /// Whether the poller makes no calls until [`Poller::set_paused`].
    pub starts_paused: bool,
    /// Number of updates that may be queued for the consumer; the poller pauses while the queue is
    /// full.
    pub queue: usize,
}

impl Default for PollerSettings {
    fn default() -> Self {
        Self {
            backoff: BackoffSettings { first_ms: 50, max_ms: 400 },
            // Each poll is billed, so polls are long; TCP keepalive detects dead connections.
            wait_ms: 20_000,
            // An eighth of the two seconds within which a change has to take effect.
            coalesce_ms: 250,
            // Only a fallback in case the refresh on the platform's return is missed; each call is
            // billed, even a refused one.
            slow_retry_delay_ms: 5_000,
            starts_paused: false,
            queue: 64,
        }
    }
}

/// Update for the consumer of a [`Poller`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollUpdate<T> {
    /// All objects of the kind; those that are not contained do not exist.
    Snapshot {
        /// The objects.
        items: Vec<T>,
        /// Revision of the store when the first page of the list was read.
        revision: Revision,
    },
    /// Some of the objects of the kind; a later page of the list can't be read.
    Part {
        /// The objects that were read; others may exist.
        items: Vec<T>,
    },
    /// Changes since the last update.
    Changes {
        /// The changes in the order in which they were made; may be empty.
        items: Vec<T>,
        /// Revision up to which all changes have been delivered.
        revision: Revision,
    },
    /// The platform cannot be reached; updates may be missing until it is available again.
    Unavailable(PlatformError),
    /// The platform can be reached again; the updates that follow cover everything since.
    Available,
}

/// Handle of a task that polls one kind.
#[derive(Debug)]
pub struct Poller {
    cancel: CancellationToken,
    refresh: Arc<Notify>,
    retries_slowly: Arc<AtomicBool>,
    busy_coalesce_ms: Arc<AtomicU64>,
    is_paused: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Poller {
    /// Starts to poll a kind; the receiver delivers the updates in order.
    ///
    /// The poller stops when `cancel` is cancelled or the receiver is dropped.
    pub fn start<T: Send + 'static>(
        client: Client,
        protocol: PollProtocol<T>,
        settings: PollerSettings,
        cancel: &CancellationToken,
    ) -> (Self, mpsc::Receiver<PollUpdate<T>>) {
        let (updates, receiver) = mpsc::channel(settings.queue);
        let cancel = cancel.child_token();
        let retries_slowly = Arc::new(AtomicBool::new(false));
        let busy_coalesce_ms = Arc::new(AtomicU64::new(settings.coalesce_ms));
        let poll_task = PollTask {
            client,
            protocol,
            settings,
            updates,
            backoff: Backoff::new(settings.backoff),
            retries_slowly: retries_slowly.clone(),
            busy_coalesce_ms: busy_coalesce_ms.clone(),
            revision: None,
            relist_at: None,
            is_available: true,
            poll_started: None,
            changed: None,
        };
        let stop = cancel.clone();
        let refresh = Arc::new(Notify::new());
        let refresh_request = refresh.clone();
        let (is_paused, mut paused) = watch::channel(settings.starts_paused);
        let task = tokio::spawn(async move {
            // No cleanup is needed, whether the task was cancelled or has finished.
            let _ = stop.run_until_cancelled(poll_task.run(&refresh_request, &mut paused)).await;
        });
        (Self { cancel, refresh, retries_slowly, busy_coalesce_ms, is_paused, task }, receiver)
    }

    /// Cancels the call in progress or the delay after one, and lists the kind again immediately.
    pub fn refresh(&self) {
        self.refresh.notify_one();
    }

    /// Sets whether the poller waits for the slow retry delay instead of the backoff after a failed
    /// call.
    ///
    /// For callers that know from elsewhere that the platform does not respond; they call
    /// [`Poller::refresh`] when it responds again.
    pub fn set_slow_retry(&self, retries_slowly: bool) {
        self.retries_slowly.store(retries_slowly, Ordering::Relaxed);
    }

    /// Sets the delay between a response with changes and the next poll while changes are frequent, in
    /// milliseconds.
    pub fn set_busy_coalesce_ms(&self, coalesce_ms: u64) {
        self.busy_coalesce_ms.store(coalesce_ms, Ordering::Relaxed);
    }

    /// Sets whether the poller makes no calls; when it goes on, it lists the kind again.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.send_if_modified(|it| std::mem::replace(it, is_paused) != is_paused);
    }

    /// Stops the poller and waits until its connection is closed.
    pub async fn close(self) {
        self.cancel.cancel();
        // A panic of the task has already been reported by the panic hook.
        let _ = self.task.await;
    }
}

struct PollTask<T> {
    client: Client,
    protocol: PollProtocol<T>,
    settings: PollerSettings,
    updates: mpsc::Sender<PollUpdate<T>>,
    backoff: Backoff,
    retries_slowly: Arc<AtomicBool>,
    /// Delay between a response with changes and the next poll while changes are frequent, in
    /// milliseconds.
    busy_coalesce_ms: Arc<AtomicU64>,
    /// Revision up to which all changes have been delivered; `None` if the kind has to be listed.
    revision: Option<Revision>,
    /// Time at which the kind is listed again because the last list was incomplete.
    relist_at: Option<Instant>,
    is_available: bool,
    /// Start of the poll in progress or of the last one.
    poll_started: Option<Instant>,
    /// Time of the last changes.
    changed: Option<Instant>,
}

/// Error when the consumer has dropped the receiver.
struct ConsumerGone;

impl<T: Send + 'static> PollTask<T> {
    async fn run(mut self, refresh: &Notify, paused: &mut watch::Receiver<bool>) {
        let mut era = self.client.era();
        loop {
            if *paused.borrow() {
                self.revision = None;
                self.backoff.reset();
                if paused.wait_for(|it| !it).await.is_err() {
                    return;
                }
            }
            let own = self.revision;
            let result = tokio::select! {
                result = self.list_or_poll() => result,
                // A pending poll would miss the changes that the restore has undone.
                Ok(newest) = era.wait_for(|it| own.is_some_and(|own| own.era < *it)) => {
                    info!(kind = self.protocol.kind, era = *newest; "platform was restored, listing again");
                    self.revision = None;
                    continue;
                }
                Ok(_) = paused.wait_for(|it| *it) => continue,
                () = refresh.notified() => {
                    self.revision = None;
                    self.backoff.reset();
                    continue;
                }
            };
            if result.is_err() {
                return;
            }
        }
    }

    /// Lists or polls once and delivers the result. The future may be dropped at any time if the
    /// kind is listed next.
    async fn list_or_poll(&mut self) -> Result<(), ConsumerGone> {
        if self.relist_at.is_some_and(|it| it <= Instant::now()) {
            self.revision = None;
        }
        let response = match self.revision {
            Some(revision) => self.poll(revision).await,
            None => return self.list().await,
        };
        match response {
            Ok(update) => self.deliver(update).await,
            Err(error) => self.back_off(error).await,
        }
    }

    /// Lists the kind and delivers what could be read.
    async fn list(&mut self) -> Result<(), ConsumerGone> {
        self.relist_at = None;
        let listing = match self.client.list_pages(&self.protocol).await {
            Ok(listing) => listing,
            Err(error) => return self.back_off(error).await,
        };
        let Listing { items, revision, failure } = listing;
        let Some(error) = failure else {
            return self.deliver(PollUpdate::Snapshot { items, revision }).await;
        };
        if matches!(error, PlatformError::Invalid { .. }) {
            // Listing again at once would fail at the same page; changes can be polled meanwhile.
            let delay = Duration::from_millis(self.settings.slow_retry_delay_ms);
            self.relist_at = Some(Instant::now() + delay);
            self.revision = Some(revision);
            return self.deliver(PollUpdate::Part { items }).await;
        }
        // The first failure is mostly a short one, after which the list is complete.
        if !self.is_available {
            self.send(PollUpdate::Part { items }).await?;
        }
        self.back_off(error).await
    }

    async fn poll(&mut self, revision: Revision) -> Result<PollUpdate<T>, PlatformError> {
        let until_relist = self.relist_at.map(|it| it.duration_since(Instant::now()));
        let until_relist_ms = until_relist.map_or(u64::MAX, |it| it.as_millis() as u64);
        let wait_ms = self.settings.wait_ms.min(until_relist_ms);
        let path = (self.protocol.poll_path)(self.protocol.kind, revision.number, wait_ms);
        self.poll_started = Some(Instant::now());
        let reply = self.client.read(CallKind::Watch, self.protocol.kind, &path, wait_ms).await?;
        if revision.era != reply.era {
            return Err(self.restored());
        }
        let page = (self.protocol.decode_changes)(&reply.body).map_err(|it| self.invalid(it))?;
        if page.unnamed > 0 {
            warn!(kind = self.protocol.kind, objects = page.unnamed; "changed objects have no readable name");
        }
        let revision = Revision::new(reply.era, page.revision_number);
        Ok(PollUpdate::Changes { items: page.items, revision })
    }

    async fn deliver(&mut self, update: PollUpdate<T>) -> Result<(), ConsumerGone> {
        self.backoff.reset();
        if !self.is_available {
            info!(kind = self.protocol.kind; "platform available again");
            self.send(PollUpdate::Available).await?;
            self.is_available = true;
        }
        match &update {
            PollUpdate::Snapshot { revision, .. } | PollUpdate::Changes { revision, .. } => {
                self.revision = Some(*revision);
            }
            PollUpdate::Part { .. } | PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
        let has_changes = matches!(&update, PollUpdate::Changes { items, .. } if !items.is_empty());
        self.send(update).await?;
        if has_changes {
            let last = self.changed.replace(Instant::now());
            let is_busy = last.is_some_and(|it| it.elapsed().as_millis() < u128::from(BUSY_MS));
            let coalesce_ms = match is_busy {
                true => self.busy_coalesce_ms.load(Ordering::Relaxed),
                false => self.settings.coalesce_ms,
            };
            tokio::time::sleep(Duration::from_millis(coalesce_ms)).await;
        }
        Ok(())
    }

    /// Waits after a failed call; the kind is listed next.
    ///
    /// An interrupted poll may have missed earlier changes, and a platform that has lost its
    /// history may hold a poll from the old revision open instead of refusing it.
    async fn back_off(&mut self, error: PlatformError) -> Result<(), ConsumerGone> {
        self.revision = None;
        let poll_ms = self.poll_started.take().map_or(0, |it| it.elapsed().as_millis() as u64);
        if matches!(error, PlatformError::Gone { .. }) {
            info!(kind = self.protocol.kind; "revision is too old, listing again");
            return Ok(());
        }
        if matches!(error, PlatformError::Restored { .. }) {
            info!(kind = self.protocol.kind; "response from before a restore of the platform, listing again");
            tokio::time::sleep(self.backoff.fail(None, rand::random())).await;
            return Ok(());
        }
        // A poll may be cut without an outage.
        if poll_ms >= MIN_CUT_POLL_MS && self.is_available {
            info!(kind = self.protocol.kind, error:% = error; "poll was cut, listing again");
            return Ok(());
        }
        let retry_after_ms = match &error {
            PlatformError::Unavailable { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        };
        if self.is_available {
            warn!(kind = self.protocol.kind, error:% = error; "platform unavailable");
            self.send(PollUpdate::Unavailable(error)).await?;
            self.is_available = false;
        }
        let delay = match self.retries_slowly.load(Ordering::Relaxed) {
            true => Duration::from_millis(self.settings.slow_retry_delay_ms),
            false => self.backoff.fail(retry_after_ms, rand::random()),
        };
        tokio::time::sleep(delay).await;
        Ok(())
    }

    fn restored(&self) -> PlatformError {
        PlatformError::Restored { object: self.protocol.kind.to_owned() }
    }

    fn invalid(&self, detail: String) -> PlatformError {
        PlatformError::Invalid { object: self.protocol.kind.to_owned(), detail }
    }

    async fn send(&mut self, update: PollUpdate<T>) -> Result<(), ConsumerGone> {
        self.updates.send(update).await.map_err(|_| ConsumerGone)
    }
}
