//! A job's place in its lane: the revision of the first write of the job's record.
//!
//! The state service assigns the revision. No clock and no accepting controller does, so no
//! retry, lost answer, crash or takeover changes the place. While a record was written only
//! once, the place is the record's modification revision. The next write, which a controller
//! makes for another reason, copies the place into the record, so the copy costs no extra
//! write.

use sorrelhinge_protocol::types::Revision;

/// Returns the place that a version of a record gives: the copied place, or else the
/// record's modification revision. If an older program version rewrites the record and drops
/// the copy, the result is the present modification revision. All controllers that have not
/// seen an earlier version of the record agree on this value. It is later than the true
/// place, so the job never overtakes a job whose place is known.
pub fn of_record(copied: Option<Revision>, mod_revision: Revision) -> Revision {
    // The first write is never later than this write, whatever place the record gives.
    copied.map_or(mod_revision, |place| place.min(mod_revision))
}

/// Returns the place that a controller stores in memory after it reads one more version of
/// the record. The result is the smallest place read so far, in whatever order the versions
/// arrive, because no version gives a place that is too early. So a running controller keeps
/// a place whose copy an older program version dropped.
pub fn known(
    before: Option<Revision>,
    copied: Option<Revision>,
    mod_revision: Revision,
) -> Revision {
    let says = of_record(copied, mod_revision);
    before.map_or(says, |place| place.min(says))
}

/// Returns the place to copy into the next write of the job's record. The result is the
/// place if the job is in a lane, or if the record already has a copy and this controller's
/// properties have no lane for the job. Returns `None` otherwise, so that without lanes no
/// record differs.
pub fn to_write(in_lane: bool, copied: Option<Revision>, place: Revision) -> Option<Revision> {
    (in_lane || copied.is_some()).then_some(place)
}
