//! Two troubles at once, each meeting as a script in virtual time.

mod capacity;
mod completion;
mod day;
mod partition;
