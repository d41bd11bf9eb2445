//! In-memory object store with versions, conditional writes and a bounded history of changes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde_json::Value;

/// Number of retained changes; a watch can be resumed only if all later changes are retained.
const HISTORY_CHANGES: usize = 10_000;

/// Time for which former states of lagging collections are kept; bounds the lag that can be served.
const SNAPSHOT_RETENTION: Duration = Duration::from_secs(600);

/// Identifies a collection of objects: all of one kind in a namespace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Collection {
    /// Namespace of the objects; the name of the environment.
    pub(crate) namespace: String,
    /// Plural name of the kind, as in paths.
    pub(crate) plural: String,
}

impl Collection {
    /// Returns whether reads and watches of the collection lag behind, as the platform's instance
    /// list does.
    pub(crate) fn is_lagging(&self) -> bool {
        self.plural == "instances"
    }
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeKind {
    Added,
    Modified,
    Deleted,
}

/// One change of one object.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) version: u64,
    pub(crate) changed_at: Instant,
    pub(crate) collection: Collection,
    pub(crate) kind: ChangeKind,
    /// Object after the change; a deleted one in its last state, with the version of the deletion.
    pub(crate) object: Value,
}

/// Error of a read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreError {
    AlreadyExists,
    Conflict,
    NotFound,
}

type Objects = BTreeMap<String, Value>;

/// State of a lagging collection after one change.
#[derive(Debug)]
struct Snapshot {
    changed_at: Instant,
    version: u64,
    objects: Objects,
}

/// The object store; every change increments its version.
#[derive(Debug, Default)]
pub(crate) struct Store {
    version: u64,
    /// Version of the newest change that was dropped from `history`.
    compacted_version: u64,
    collections: BTreeMap<Collection, Objects>,
    history: VecDeque<Change>,
    snapshots: BTreeMap<Collection, VecDeque<Snapshot>>,
}

impl Store {
    /// Returns the version of the newest change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns an object; of a lagging collection in its state at `as_of`.
    pub(crate) fn get(&self, collection: &Collection, name: &str, as_of: Instant) -> Option<Value> {
        let (_, objects) = self.view(collection, as_of)?;
        objects.get(name).cloned()
    }

    /// Returns the objects of a collection and the version that they reflect; a lagging collection
    /// as it was at `as_of`.
    pub(crate) fn list(&self, collection: &Collection, as_of: Instant) -> (u64, Vec<Value>) {
        match self.view(collection, as_of) {
            Some((version, objects)) => (version, objects.values().cloned().collect()),
            None if collection.is_lagging() => (self.compacted_version, Vec::new()),
            None => (self.version, Vec::new()),
        }
    }

    /// Creates an object and returns it with its version.
    pub(crate) fn create(
        &mut self,
        collection: &Collection,
        name: &str,
        object: Value,
        now: Instant,
    ) -> Result<Value, StoreError> {
        if self.current(collection, name).is_some() {
            return Err(StoreError::AlreadyExists);
        }
        Ok(self.put(collection, name, object, ChangeKind::Added, now))
    }

    /// Replaces an object if its version is `from`, or unconditionally without `from`.
    pub(crate) fn update(
        &mut self,
        collection: &Collection,
        name: &str,
        from: Option<&str>,
        object: Value,
        now: Instant,
    ) -> Result<Value, StoreError> {
        self.check_version(collection, name, from)?;
        Ok(self.put(collection, name, object, ChangeKind::Modified, now))
    }

    /// Deletes an object if its version is `from`, or unconditionally without `from`.
    pub(crate) fn delete(
        &mut self,
        collection: &Collection,
        name: &str,
        from: Option<&str>,
        now: Instant,
    ) -> Result<(), StoreError> {
        self.check_version(collection, name, from)?;
        let objects = self.collections.entry(collection.clone()).or_default();
        let Some(mut object) = objects.remove(name) else {
            return Err(StoreError::NotFound);
        };
        self.version += 1;
        set_version(&mut object, self.version);
        self.record(collection, ChangeKind::Deleted, object, now);
        Ok(())
    }

    /// Returns whether every change after `version` is retained.
    pub(crate) fn retains_changes_since(&self, version: u64) -> bool {
        version >= self.compacted_version
    }

    /// Returns the first change of a collection after `version`.
    pub(crate) fn change_after(&self, collection: &Collection, version: u64) -> Option<&Change> {
        let start = self.history.partition_point(|it| it.version <= version);
        self.history.range(start..).find(|it| it.collection == *collection)
    }

    /// Discards the history, so that no watch can be resumed from an older version.
    pub(crate) fn compact(&mut self) {
        self.history.clear();
        self.compacted_version = self.version;
    }

    fn current(&self, collection: &Collection, name: &str) -> Option<&Value> {
        self.collections.get(collection)?.get(name)
    }

    /// Returns the version and the objects of a collection; a lagging one as it was at `as_of`.
    fn view(&self, collection: &Collection, as_of: Instant) -> Option<(u64, &Objects)> {
        if !collection.is_lagging() {
            return Some((self.version, self.collections.get(collection)?));
        }
        let snapshots = self.snapshots.get(collection)?;
        let snapshot = snapshots.iter().rev().find(|it| it.changed_at <= as_of)?;
        Some((snapshot.version, &snapshot.objects))
    }

    fn check_version(
        &self,
        collection: &Collection,
        name: &str,
        from: Option<&str>,
    ) -> Result<(), StoreError> {
        let Some(object) = self.current(collection, name) else {
            return Err(StoreError::NotFound);
        };
        match from {
            Some(from) if object["metadata"]["resourceVersion"] != *from => {
                Err(StoreError::Conflict)
            }
            _ => Ok(()),
        }
    }

    fn put(
        &mut self,
        collection: &Collection,
        name: &str,
        mut object: Value,
        kind: ChangeKind,
        now: Instant,
    ) -> Value {
        self.version += 1;
        set_version(&mut object, self.version);
        let objects = self.collections.entry(collection.clone()).or_default();
        objects.insert(name.to_owned(), object.clone());
        self.record(collection, kind, object.clone(), now);
        object
    }

    fn record(&mut self, collection: &Collection, kind: ChangeKind, object: Value, now: Instant) {
        let collection = collection.clone();
        let version = self.version;
        if collection.is_lagging() {
            self.add_snapshot(&collection, now);
        }
        self.history.push_back(Change { version, changed_at: now, collection, kind, object });
        while self.history.len() > HISTORY_CHANGES {
            self.compacted_version =
                self.history.pop_front().map_or(self.compacted_version, |it| it.version);
        }
    }

    fn add_snapshot(&mut self, collection: &Collection, now: Instant) {
        let objects = self.collections.get(collection).cloned().unwrap_or_default();
        let snapshots = self.snapshots.entry(collection.clone()).or_default();
        snapshots.push_back(Snapshot { changed_at: now, version: self.version, objects });
        while snapshots.len() > 1
            && now.duration_since(snapshots[1].changed_at) > SNAPSHOT_RETENTION
        {
            snapshots.pop_front();
        }
    }
}

fn set_version(object: &mut Value, version: u64) {
    object["metadata"]["resourceVersion"] = Value::String(version.to_string());
}
