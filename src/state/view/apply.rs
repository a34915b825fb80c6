//! Updates the local copy from reads and watch events of the store, with one function for
//! each kind of record. A malformed record is logged and ignored unless the function for its
//! kind documents otherwise.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_reservations::record::{CalendarRecord, WindowRecord};
use sorrelhinge_topology::drain::Drain;

use super::super::record::{
    ChunkRecord, JobRecord, Key, RetiredMachinesRecord, RolloutId, ShardMapRecord,
    ShardedGrantFence, WindowOccurrence,
};
use super::super::{Events, Item};
use super::{Versioned, View};
use crate::types::{JobId, Revision};

/// Write of a key that a read or a watch returned.
#[derive(Clone, Copy)]
struct RecordWrite<'a> {
    key: &'a str,
    value: &'a RawValue,
    /// Revision that wrote the value.
    mod_revision: Revision,
}

impl RecordWrite<'_> {
    /// Decodes the value. Logs a malformed value and returns `None`.
    fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        let key = self.key;
        serde_json::from_str(self.value.get())
            .map_err(|error| tracing::error!(key, %error, "malformed record"))
            .ok()
    }

    fn versioned<T>(&self, value: T) -> Versioned<T> {
        Versioned::new(self.mod_revision, value)
    }
}

/// Stores a value unless the copy has a newer one or the value cannot be decoded.
fn put<K: Ord, T>(
    records: &mut BTreeMap<K, Versioned<T>>,
    key: K,
    mod_revision: Revision,
    read: impl FnOnce() -> Option<T>,
) {
    let known = records.get(&key);
    if known.is_some_and(|record| mod_revision <= record.mod_revision) {
        return;
    }
    if let Some(value) = read() {
        records.insert(key, Versioned::new(mod_revision, value));
    }
}

/// Removes a key that was deleted at `mod_revision`, unless the key was written again since.
fn remove<K: Ord, T>(records: &mut BTreeMap<K, Versioned<T>>, key: &K, mod_revision: Revision) {
    let known = records.get(key);
    if known.is_some_and(|record| record.mod_revision < mod_revision) {
        records.remove(key);
    }
}

impl View {
    /// Replaces the copy by the result of a full read, unless the copy is at least as new.
    ///
    /// Two reads can be in flight at once, and the older one can be answered last. Without
    /// this check the older result hid jobs whose acceptance had been answered to users, and
    /// changes that were read after the newer one no longer followed on the copy.
    pub fn replace(&mut self, store_revision: Revision, items: Vec<Item>) {
        if self.loaded && store_revision <= self.store_revision {
            return;
        }
        let known: Vec<JobId> = self.jobs.keys().cloned().collect();
        let places: Vec<Revision> = self.jobs.values().map(|e| e.place).collect();
        *self = Self {
            store_revision,
            loaded: true,
            history: std::mem::take(&mut self.history),
            ..Self::default()
        };
        for item in items {
            self.write(&item.key, &item.value, item.mod_revision);
        }
        // A write that this controller missed may have dropped a place that it knew.
        for (id, place) in known.iter().zip(places) {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.place = entry.place.min(place);
            }
        }
        self.changed.extend(known);
    }

    /// Applies the answer to a watch that started at `since`. Answers may overtake each
    /// other, so an older answer changes nothing. Returns whether the copy is now at least as
    /// new as the answer. It is not if the answer starts at a later revision than the copy
    /// has.
    pub fn apply(&mut self, since: Revision, events: Events) -> bool {
        if events.store_revision <= self.store_revision {
            return true;
        }
        if since > self.store_revision {
            return false;
        }
        for event in &events.events {
            if event.mod_revision <= self.store_revision {
                continue;
            }
            match (&event.write, &event.delete, &event.value) {
                (Some(key), _, Some(value)) => self.write(key, value, event.mod_revision),
                (_, Some(key), _) => self.delete(key, event.mod_revision),
                _ => tracing::error!(mod_revision = %event.mod_revision, "malformed event"),
            }
        }
        self.store_revision = events.store_revision;
        true
    }

    /// Applies the write of a key.
    fn write(&mut self, key: &str, value: &RawValue, mod_revision: Revision) {
        let Some(parsed) = Key::parse(key) else {
            return;
        };
        let write = RecordWrite {
            key,
            value,
            mod_revision,
        };
        match parsed {
            Key::Leader => self.write_leader(write),
            Key::Grant => self.write_grant(write),
            Key::Map => self.write_map(write),
            Key::Shard(shard) => put(&mut self.shards, shard, mod_revision, || write.parse()),
            Key::Slice(shard) => put(&mut self.slices, shard, mod_revision, || write.parse()),
            Key::Member(node) => put(&mut self.members, node, mod_revision, || write.parse()),
            Key::Calendar => self.write_calendar(write),
            Key::Window(occurrence) => self.write_window(occurrence, write),
            Key::Rollout(rollout) => self.write_rollout(rollout, write),
            Key::Job(id) => self.write_job(&id, write),
            Key::Drain(number) => self.write_drain(number, write),
            Key::DeletedMachines(slot) => self.write_deleted_machines(slot, write),
            Key::Chunk(id) => self.write_chunk(&id.job, id.chunk, write),
        }
    }

    fn write_leader(&mut self, write: RecordWrite) {
        if write.mod_revision > self.leader.mod_revision {
            self.leader = write.versioned(write.parse());
        }
    }

    /// Applies a write of `h/grant`. While there are several shards, this key only fences
    /// versions without sharding, and the number in the copy remains that of the last grant
    /// of all machines.
    fn write_grant(&mut self, write: RecordWrite) {
        if write.mod_revision <= self.grant.mod_revision {
            return;
        }
        if serde_json::from_str::<ShardedGrantFence>(write.value.get()).is_ok() {
            self.grant.mod_revision = write.mod_revision;
        } else if let Some(grant) = write.parse() {
            self.grant = write.versioned(grant);
        }
    }

    fn write_map(&mut self, write: RecordWrite) {
        if write.mod_revision <= self.map.mod_revision {
            return;
        }
        if let Some(map) = write.parse::<ShardMapRecord>() {
            self.map = write.versioned(Some(map));
        }
    }

    fn write_calendar(&mut self, write: RecordWrite) {
        if write.mod_revision <= self.calendar.mod_revision {
            return;
        }
        let calendar = CalendarRecord::read(write.value.get());
        if calendar.is_none() {
            tracing::error!(key = write.key, "malformed record");
        }
        self.calendar = write.versioned(calendar);
    }

    fn write_window(&mut self, occurrence: WindowOccurrence, write: RecordWrite) {
        put(&mut self.windows, occurrence, write.mod_revision, || {
            WindowRecord::read(write.value.get())
        });
    }

    /// Applies a write of a rollout. A malformed rollout, or one of an unknown version, is
    /// stored as present without a value: a write that took it for absent would fail
    /// repeatedly, together with all claims of its transaction.
    fn write_rollout(&mut self, rollout: RolloutId, write: RecordWrite) {
        put(&mut self.rollouts, rollout, write.mod_revision, || {
            Some(write.parse::<RolloutRecord>().filter(RolloutRecord::known))
        });
    }

    fn write_job(&mut self, id: &JobId, write: RecordWrite) {
        if let Some(record) = write.parse::<JobRecord>() {
            self.put_job(id, write.versioned(record));
        }
    }

    fn write_chunk(&mut self, id: &JobId, chunk: u32, write: RecordWrite) {
        if let Some(record) = write.parse::<ChunkRecord>() {
            self.put_chunk(id, chunk, write.versioned(record));
        }
    }

    fn write_drain(&mut self, number: u64, write: RecordWrite) {
        let Some(drain) = write.parse::<Drain>() else {
            return;
        };
        if drain.version > Drain::VERSION {
            tracing::error!(
                key = write.key,
                version = drain.version,
                "drain record of a later version ignored"
            );
            return;
        }
        let newer = |known: &Versioned<Drain>| known.mod_revision > write.mod_revision;
        if !self.drains.get(&number).is_some_and(newer) {
            self.drains.insert(number, write.versioned(drain));
        }
    }

    /// Applies a list of deleted machines. Ignores a list of a later format, because the
    /// lists only save time.
    fn write_deleted_machines(&mut self, slot: u32, write: RecordWrite) {
        let record = write.parse::<RetiredMachinesRecord>();
        let known = record.filter(|r| r.version <= RetiredMachinesRecord::VERSION);
        put(&mut self.retired_machines, slot, write.mod_revision, || {
            known
        });
    }

    /// Applies the deletion of a key. Jobs, the grant, the number of shards and the calendar
    /// are never deleted, and lists of deleted machines are overwritten.
    fn delete(&mut self, key: &str, mod_revision: Revision) {
        match Key::parse(key) {
            Some(Key::Leader) if mod_revision > self.leader.mod_revision => {
                self.leader = Versioned {
                    mod_revision,
                    value: None,
                };
            }
            Some(Key::Chunk(id)) => self.drop_chunk(&id.job, id.chunk, mod_revision),
            Some(Key::Window(occurrence)) => remove(&mut self.windows, &occurrence, mod_revision),
            Some(Key::Drain(number)) => remove(&mut self.drains, &number, mod_revision),
            Some(Key::Member(node)) => remove(&mut self.members, &node, mod_revision),
            Some(Key::Shard(shard)) => remove(&mut self.shards, &shard, mod_revision),
            Some(Key::Rollout(rollout)) => remove(&mut self.rollouts, &rollout, mod_revision),
            Some(Key::Slice(shard)) => remove(&mut self.slices, &shard, mod_revision),
            _ => {}
        }
    }
}
