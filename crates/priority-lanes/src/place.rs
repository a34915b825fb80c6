//! A job's place: the revision of its record's first write.
//!
//! The state service has decided it, not a clock and not the acceptor, so no
//! retry, lost answer, crash or takeover changes it. A record that was written
//! once has it as its stamp; the next write, which is made for another reason,
//! copies it into the record, so it costs no change.

use sorrelhinge_protocol::types::Revision;

/// The place that a version of a record says: the one that was copied into it,
/// or its stamp. A record that was rewritten by a version that drops the copy
/// says its present stamp: all who know no better agree on it, and it is later
/// than the true place, so the job never overtakes one whose place is known.
pub fn of_record(copied: Option<Revision>, mod_revision: Revision) -> Revision {
    // No first write comes after this one, whatever the record says.
    copied.map_or(mod_revision, |place| place.min(mod_revision))
}

/// What a controller knows once it has seen one more version of the record, in
/// whatever order they come: the least, as none says a place too early. So one
/// that was up remembers what another version dropped.
pub fn known(
    before: Option<Revision>,
    copied: Option<Revision>,
    mod_revision: Revision,
) -> Revision {
    let says = of_record(copied, mod_revision);
    before.map_or(says, |place| place.min(says))
}

/// What the next write of the record is to say: the place, for a job in a lane,
/// and for one that has it already, also where this controller's file has no lane
/// for it. None otherwise: without lanes no record differs.
pub fn to_write(in_lane: bool, copied: Option<Revision>, place: Revision) -> Option<Revision> {
    (in_lane || copied.is_some()).then_some(place)
}
