//! Scheduling without I/O or clock: fair shares, delay scheduling, placement
//! rules and preemption over a plain [`ClusterState`].
//!
//! The walk follows Algorithm 1 of the paper (section 4.2) with the changes
//! that `docs/design.md` lists. No decision looks at every machine or every
//! job: the cluster state keeps its sums, its queues and an index of free capacity up to
//! date.
//!
//! A task is placed in these steps:
//!
//! 1. `order`, `queue`, `lanes`, `aging`: which team and job is next;
//! 2. `filter`, `topology_rules`: on which machines it may start, with `quota` and
//!    `write_limit` for whether it may start at all now;
//! 3. `score`, `best_machine`: which of them costs least, found by `capacity_index`;
//! 4. `delay`: whether it waits for a machine that has its image;
//! 5. `bind`, `claims`: the task is claimed there.
//!
//! `placement_pass` takes these steps for one machine or for all jobs, `gangs` for all
//! tasks of a gang at once. Where too little capacity is free, `preempt` frees it and `reservations` keeps
//! it for windows of the release calendar; `rebalance` moves what runs.
//!
//! Decisions are the same for the same state and time: all iteration is in order of
//! keys, and ties are broken by id.

mod aging;
mod best_machine;
mod bind;
mod capacity_index;
mod claims;
mod cluster_state;
mod delay;
mod drains_by_target;
mod filter;
mod gangs;
mod idle;
mod job;
mod job_changes;
mod lanes;
mod machine;
mod machine_changes;
mod order;
mod placement_pass;
mod preempt;
mod queue;
mod quota;
mod rebalance;
mod reservations;
mod score;
mod shares;
mod tasks;
mod team;
mod topology_rules;
mod waiting_reason;
mod write_limit;

pub use bind::Launch;
pub use capacity_index::{CapacityIndex, GroupKey};
pub use cluster_state::{ClusterState, TypeUsage};
pub use delay::{Delay, DelayRule};
pub use job::{Job, JobUrgency};
pub use lanes::{LaneUsage, Laned};
pub(crate) use machine::CapacityPool;
pub use machine::{Cache, Machine};
pub use placement_pass::Pass;
pub use queue::QueueTurn;
pub use rebalance::{ActiveDrain, Move, Moving};
pub use reservations::{
    Lending, MissingTasks, Reservation, ReservationKey, ReservationStatus, ReservedOnMachine,
    ReservedTasks,
};
pub use shares::{water_fill, Standing};
pub use tasks::{Claim, Progress, Sent, Tasks};
pub use team::{Team, TeamLimits};
pub use waiting_reason::{MachineExclusion, WaitingReason};
