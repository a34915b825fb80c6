//! Scheduling without I/O or clock: fair shares, the delay walk, placement
//! checks and preemption over a plain [`ClusterState`].
//!
//! The walk follows Algorithm 1 of the paper (section 4.2) with the changes
//! that `docs/design.md` lists. No decision looks at every machine or every
//! job: the cluster state keeps its sums, its queues and an index of room up to date.

mod aging;
mod best_machine;
mod bind;
mod capacity_index;
mod claims;
mod cluster_state;
mod delay;
mod filter;
mod gangs;
mod holds;
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
mod score;
mod shares;
mod tasks;
mod team;
mod topology_rules;
mod write_limit;

pub use bind::Launch;
pub use capacity_index::{CapacityIndex, GroupKey};
pub use cluster_state::ClusterState;
pub use delay::{Delay, DelayRule};
pub use holds::{Hold, HoldSeen, Lending};
pub use job::{Job, JobUrgency};
pub use lanes::Laned;
pub use machine::{Cache, Machine};
pub use placement_pass::Pass;
pub use rebalance::{Move, Moving};
pub use shares::{water_fill, Standing};
pub use tasks::{Claim, Progress, Sent, Tasks};
pub use team::Team;
