//! Keeps a consumer up to date with one kind by a list, followed by watches of which each resumes
//! at the version where the previous one ended.

use std::time::Duration;

use derive_more::From;
use log::{info, warn};
use serde::de::DeserializeOwned;
use tokio::{sync::mpsc, task::JoinHandle, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    Backoff, BackoffSettings, Client, Kind, Object, PlatformError, ResourceVersion, WatchEvent,
};

/// Settings of a [`Watcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatcherSettings {
    /// Backoff after failed calls.
    pub backoff: BackoffSettings,
    /// Time without a list, change or bookmark after which the kind is listed again, in
    /// milliseconds.
    pub max_silence_ms: u64,
    /// Number of updates that may be queued for the consumer; the watcher pauses while the queue is
    /// full.
    pub queue: usize,
}

impl Default for WatcherSettings {
    fn default() -> Self {
        Self { backoff: BackoffSettings::default(), max_silence_ms: 60_000, queue: 64 }
    }
}

/// Update for the consumer of a [`Watcher`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate<T> {
    /// All objects of the kind; those that are not contained do not exist.
    Snapshot(Vec<Object<T>>),
    /// An object was created or replaced.
    Changed(Object<T>),
    /// An object was deleted; it carries its last content.
    Deleted(Object<T>),
    /// The platform cannot be reached; updates may be missing until it is available again.
    Unavailable(PlatformError),
    /// The platform can be reached again; the updates that follow cover everything since.
    Available,
}

/// Handle of a task that watches one kind.
#[derive(Debug)]
pub struct Watcher {
    cancel: CancellationToken,
    task: JoinHandle<()>,
}

impl Watcher {
    /// Starts to watch a kind; the receiver delivers the updates in order.
    ///
    /// The watcher stops when `cancel` is cancelled or the receiver is dropped.
    pub fn start<T>(
        client: Client,
        kind: Kind,
        settings: WatcherSettings,
        cancel: &CancellationToken,
    ) -> (Self, mpsc::Receiver<WatchUpdate<T>>)
    where
        T: DeserializeOwned + Send + 'static,
    {
        let (updates, receiver) = mpsc::channel(settings.queue);
        let cancel = cancel.child_token();
        let watch_task = WatchTask {
            client,
            kind,
            settings,
            updates,
            backoff: Backoff::new(settings.backoff),
            version: None,
            last_update_at: Instant::now(),
            is_available: true,
        };
        let stop = cancel.clone();
        let task = tokio::spawn(async move {
            // No cleanup is needed, whether the task was cancelled or has finished.
            let _ = stop.run_until_cancelled(watch_task.run()).await;
        });
        (Self { cancel, task }, receiver)
    }

    /// Tells whether the watcher has stopped.
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Stops the watcher and waits until its connection is closed.
    pub async fn close(self) {
        self.cancel.cancel();
        // A panic of the task has already been reported by the panic hook.
        let _ = self.task.await;
    }
}

struct WatchTask<T> {
    client: Client,
    kind: Kind,
    settings: WatcherSettings,
    updates: mpsc::Sender<WatchUpdate<T>>,
    backoff: Backoff,
    /// Version up to which all changes have been delivered; `None` if the kind has to be listed.
    version: Option<ResourceVersion>,
    /// Time of the last list, change or bookmark.
    last_update_at: Instant,
    is_available: bool,
}

/// Why a list or watch ended early.
#[derive(From)]
enum Interruption {
    /// The consumer has dropped the receiver.
    ConsumerGone,
    /// A call failed.
    Failed(PlatformError),
}

impl<T: DeserializeOwned> WatchTask<T> {
    async fn run(mut self) {
        loop {
            let interruption = match self.list_and_watch().await {
                Ok(()) => continue,
                Err(interruption) => interruption,
            };
            let Interruption::Failed(error) = interruption else { return };
            if self.back_off(error).await.is_err() {
                return;
            }
        }
    }

    /// Lists the kind if needed, then delivers the events of one watch until it ends.
    async fn list_and_watch(&mut self) -> Result<(), Interruption> {
        let max_silence = Duration::from_millis(self.settings.max_silence_ms);
        if self.last_update_at.elapsed() >= max_silence {
            self.version = None;
        }
        let version = match self.version.clone() {
            Some(version) => version,
            None => self.list().await?,
        };
        let mut watch = self.client.watch::<T>(self.kind, &version).await?;
        self.mark_available().await?;
        while let Some(event) = watch.next().await? {
            self.deliver(event).await?;
        }
        watch.close();
        self.backoff.reset();
        Ok(())
    }

    async fn list(&mut self) -> Result<ResourceVersion, Interruption> {
        let list = self.client.list::<T>(self.kind).await?;
        self.mark_available().await?;
        self.send(WatchUpdate::Snapshot(list.objects)).await?;
        self.version = Some(list.resource_version.clone());
        self.last_update_at = Instant::now();
        Ok(list.resource_version)
    }

    async fn deliver(&mut self, event: WatchEvent<T>) -> Result<(), Interruption> {
        let version = event.resource_version().clone();
        match event {
            WatchEvent::Added(object) | WatchEvent::Modified(object) => {
                self.send(WatchUpdate::Changed(object)).await?;
            }
            WatchEvent::Deleted(object) => self.send(WatchUpdate::Deleted(object)).await?,
            WatchEvent::Bookmark(_) => {}
        }
        self.version = Some(version);
        self.last_update_at = Instant::now();
        self.backoff.reset();
        Ok(())
    }

    async fn mark_available(&mut self) -> Result<(), Interruption> {
        if self.is_available {
            return Ok(());
        }
        self.is_available = true;
        info!(kind = self.kind.plural(); "platform available again");
        self.send(WatchUpdate::Available).await
    }

    /// Waits after a failed call. The next watch resumes at the last version, or follows a new list
    /// if the platform no longer has the changes.
    async fn back_off(&mut self, error: PlatformError) -> Result<(), Interruption> {
        let retry_after_ms = match &error {
            PlatformError::Unavailable { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        };
        if matches!(error, PlatformError::Gone { .. }) {
            info!(kind = self.kind.plural(); "watch version is too old, listing again");
            self.version = None;
        } else if self.is_available {
            self.is_available = false;
            warn!(kind = self.kind.plural(), error:% = error; "platform unavailable");
            self.send(WatchUpdate::Unavailable(error)).await?;
        }
        let delay = self.backoff.fail(retry_after_ms, rand::random());
        tokio::time::sleep(delay).await;
        Ok(())
    }

    async fn send(&mut self, update: WatchUpdate<T>) -> Result<(), Interruption> {
        self.updates.send(update).await.map_err(|_| Interruption::ConsumerGone)
    }
}
