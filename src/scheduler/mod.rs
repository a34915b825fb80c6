//! Scheduling without I/O or clock: fair shares, delay scheduling, placement rules and
//! preemption over a plain [`ClusterState`].
//!
//! The placement pass follows Algorithm 1 of the paper (section 4.2) with the changes that
//! `docs/design.md` lists. No decision examines every machine or every job, because the
//! cluster state keeps its sums, its queues and an index of free capacity up to date.
//!
//! Placing a task takes these steps:
//!
//! 1. `order`, `queue`, `lanes` and `aging` choose the next team and job.
//! 2. `filter` and `topology_rules` choose the machines on which the job may start. `quota`
//!    and `write_limit` decide whether the job may start at all now.
//! 3. `score` and `best_machine` choose the machine with the least cost, which
//!    `capacity_index` finds.
//! 4. `delay` decides whether the job waits for a machine that has its image.
//! 5. `bind` and `claims` claim the task on the machine.
//!
//! `placement_pass` takes these steps for one machine or for all jobs. `gangs` takes them
//! for all tasks of a gang at once. If too little capacity is free, `preempt` frees it.
//! `reservations` keeps capacity for windows of the release calendar. `rebalance` moves
//! running tasks.
//!
//! Decisions are the same for the same state and time: every iteration follows the order of
//! keys, and ids break ties.

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
mod suspicion;
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
pub use suspicion::Suspicion;
pub use tasks::{Claim, Progress, Sent, Tasks};
pub use team::{Team, TeamLimits};
pub use waiting_reason::{MachineExclusion, WaitingReason};
