//! Follows one kind of an object API whose watches are long polls.
//!
//! The API's paths and bodies come from outside as plain functions, so that this client serves every
//! wire form with the same connections, call budget and delays.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use log::{info, warn};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::{Backoff, BackoffSettings, CallKind, Client, PlatformError};

/// Revision of a store, which rises with each change.
pub type Revision = u64;

/// Part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage<T> {
    /// Objects of the page.
    pub items: Vec<T>,
    /// Revision of the store when the page was read.
    pub revision: Revision,
    /// Name after which the next page begins; none for the last page.
    pub next: Option<String>,
}

/// Changes since the revision that a poll asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<T> {
    /// The changes in their order; may be empty.
    pub items: Vec<T>,
    /// Revision from which the next poll continues.
    pub revision: Revision,
}

/// Decodes a body, or returns what is wrong with it.
pub type Decode<T> = fn(&[u8]) -> Result<T, String>;

/// Paths and bodies of one kind.
#[derive(Clone, Copy, Debug)]
pub struct PollProtocol<T> {
    /// Name of the kind in logs.
    pub kind: &'static str,
    /// Returns the path of the list page that begins after a name.
    pub list_path: fn(kind: &str, after: Option<&str>) -> String,
    /// Returns the path of a poll for changes after a revision that waits up to a time in
    /// milliseconds.
    pub poll_path: fn(kind: &str, from: Revision, wait_ms: u64) -> String,
    /// Decodes a list page.
    pub decode_list: Decode<ListPage<T>>,
    /// Decodes the answer of a poll.
    pub decode_changes: Decode<Changes<T>>,
}

/// Settings of a [`Poller`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollerSettings {
    /// Delays between failed calls.
    pub backoff: BackoffSettings,
    /// Time for which the platform holds back a poll without changes, in milliseconds.
    pub wait_ms: u64,
    /// Time between an answer with changes and the next poll, in milliseconds; changes that come
    /// shortly after each other then cost one call.
    pub gather_ms: u64,
    /// Delay after a failed call of a poller that is patient, in milliseconds.
    pub slow_retry_delay_ms: u64,
    /// Number of updates that wait for the consumer before the poller pauses.
    pub queue: usize,
}

impl Default for PollerSettings {
    fn default() -> Self {
        Self {
            backoff: BackoffSettings { first_ms: 50, max_ms: 400 },
            // Each poll is paid for; the client's keep-alive notices a connection that went silent.
            wait_ms: 20_000,
            // An eighth of the two seconds in which a change has to be in force.
            gather_ms: 250,
            // Only in case the sign of its return is missed; each call is paid for, also a refused one.
            slow_retry_delay_ms: 5_000,
            queue: 64,
        }
    }
}

/// One update for the consumer of a [`Poller`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollUpdate<T> {
    /// The whole kind; objects that are not listed do not exist.
    Snapshot {
        /// The objects.
        items: Vec<T>,
        /// Revision of the store when the list began.
        revision: Revision,
    },
    /// Changes in their order.
    Changes(Changes<T>),
    /// The platform cannot be reached; updates may be missing until it is available again.
    Unavailable(PlatformError),
    /// The platform can be reached again; the updates that follow leave no gap.
    Available,
}

/// A task that follows one kind.
#[derive(Debug)]
pub struct Poller {
    cancel: CancellationToken,
    refresh: Arc<Notify>,
    retries_slowly: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Poller {
    /// Starts to follow a kind and returns the updates in order.
    ///
    /// The poller stops when `cancel` is cancelled or the receiver is dropped.
    pub fn start<T: Send + 'static>(
        client: Client,
        form: PollProtocol<T>,
        settings: PollerSettings,
        cancel: &CancellationToken,
    ) -> (Self, mpsc::Receiver<PollUpdate<T>>) {
        let (updates, receiver) = mpsc::channel(settings.queue);
        let cancel = cancel.child_token();
        let retries_slowly = Arc::new(AtomicBool::new(false));
        let follower = Follower {
            client,
            form,
            settings,
            updates,
            backoff: Backoff::new(settings.backoff),
            retries_slowly: retries_slowly.clone(),
            revision: None,
            is_available: true,
        };
        let stop = cancel.clone();
        let refresh = Arc::new(Notify::new());
        let refreshed = refresh.clone();
        let task = tokio::spawn(async move {
            // A cancelled and a finished follower need nothing more.
            let _ = stop.run_until_cancelled(follower.run(&refreshed)).await;
        });
        (Self { cancel, refresh, retries_slowly, task }, receiver)
    }

    /// Breaks off the call in progress, or the wait after one, and lists again at once.
    pub fn refresh(&self) {
        self.refresh.notify_one();
    }

    /// Makes the poller wait long after a failed call, until it is refreshed, or ends that.
    ///
    /// Whoever knows that the platform does not answer says so, and refreshes on its return.
    pub fn set_slow_retry(&self, retries_slowly: bool) {
        self.retries_slowly.store(retries_slowly, Ordering::Relaxed);
    }

    /// Stops the poller and waits until it has closed its connection.
    pub async fn close(self) {
        self.cancel.cancel();
        // The runtime reports a panic of the task by itself.
        let _ = self.task.await;
    }
}

struct Follower<T> {
    client: Client,
    form: PollProtocol<T>,
    settings: PollerSettings,
    updates: mpsc::Sender<PollUpdate<T>>,
    backoff: Backoff,
    retries_slowly: Arc<AtomicBool>,
    /// Revision up to which every change was delivered; none before the first list.
    revision: Option<Revision>,
    is_available: bool,
}

/// The consumer has dropped its receiver.
struct ConsumerGone;

impl<T: Send + 'static> Follower<T> {
    async fn run(mut self, refresh: &Notify) {
        loop {
            let done = tokio::select! {
                done = self.round() => done,
                () = refresh.notified() => {
                    self.revision = None;
                    self.backoff.reset();
                    continue;
                }
            };
            if done.is_err() {
                return;
            }
        }
    }

    /// Makes one call and passes on what it brought; may be dropped at any time, if a list follows.
    async fn round(&mut self) -> Result<(), ConsumerGone> {
        let answer = match self.revision {
            Some(revision) => self.poll(revision).await,
            None => self.list().await,
        };
        match answer {
            Ok(update) => self.deliver(update).await,
            Err(error) => self.pause(error).await,
        }
    }

    async fn list(&mut self) -> Result<PollUpdate<T>, PlatformError> {
        let mut items = Vec::new();
        let mut after: Option<String> = None;
        let mut first_revision = None;
        loop {
            let path = (self.form.list_path)(self.form.kind, after.as_deref());
            let body = self.client.read(CallKind::Read, self.form.kind, &path, 0).await?;
            let page = (self.form.decode_list)(&body).map_err(|it| self.invalid(it))?;
            items.extend(page.items);
            // Changes between two pages are polled again from the revision of the first.
            let revision = *first_revision.get_or_insert(page.revision);
            match page.next {
                Some(name) => after = Some(name),
                None => return Ok(PollUpdate::Snapshot { items, revision }),
            }
        }
    }

    async fn poll(&mut self, revision: Revision) -> Result<PollUpdate<T>, PlatformError> {
        let wait_ms = self.settings.wait_ms;
        let path = (self.form.poll_path)(self.form.kind, revision, wait_ms);
        let body = self.client.read(CallKind::Watch, self.form.kind, &path, wait_ms).await?;
        let changes = (self.form.decode_changes)(&body).map_err(|it| self.invalid(it))?;
        Ok(PollUpdate::Changes(changes))
    }

    async fn deliver(&mut self, update: PollUpdate<T>) -> Result<(), ConsumerGone> {
        self.backoff.reset();
        if !self.is_available {
            info!(kind = self.form.kind; "platform available again");
            self.send(PollUpdate::Available).await?;
            self.is_available = true;
        }
        match &update {
            PollUpdate::Snapshot { revision, .. } => self.revision = Some(*revision),
            PollUpdate::Changes(changes) => self.revision = Some(changes.revision),
            PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
        let has_changes = matches!(&update, PollUpdate::Changes(it) if !it.items.is_empty());
        self.send(update).await?;
        if has_changes {
            tokio::time::sleep(Duration::from_millis(self.settings.gather_ms)).await;
        }
        Ok(())
    }

    /// Waits after a failed call; the next round lists.
    ///
    /// A poll that was cut may have heard nothing of changes before, and a platform that forgets its
    /// history may let the next poll from the old revision wait instead of refusing it.
    async fn pause(&mut self, error: PlatformError) -> Result<(), ConsumerGone> {
        self.revision = None;
        if matches!(error, PlatformError::Gone { .. }) {
            info!(kind = self.form.kind; "history is gone, listing again");
            return Ok(());
        }
        let retry_after_ms = match &error {
            PlatformError::Unavailable { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        };
        if self.is_available {
            warn!(kind = self.form.kind, error:% = error; "platform not available");
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

    fn invalid(&self, detail: String) -> PlatformError {
        PlatformError::Invalid { object: self.form.kind.to_owned(), detail }
    }

    async fn send(&mut self, update: PollUpdate<T>) -> Result<(), ConsumerGone> {
        self.updates.send(update).await.map_err(|_| ConsumerGone)
    }
}
