//! Faults of the state service, injected at named steps: a test says which
//! transactions they meet, and when what was delayed is carried out.

use std::collections::BTreeSet;

use serde_json::Value;

/// What becomes of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptedOutcome {
    /// Carried out at once, and its answer is lost.
    AnswerLost,
    /// Not answered, and carried out once the test releases it: after newer ones.
    Late,
}

/// A fault that meets some transactions.
pub struct TransactionFault {
    /// What becomes of them.
    pub scripted_outcome: ScriptedOutcome,
    /// Only those of this controller; none: of any.
    pub controller: Option<usize>,
    /// Only those that write a key beginning so.
    pub key: &'static str,
    /// Only those that write such a key with a value that is so.
    pub value: fn(&Value) -> bool,
    /// Of those the first, and then every so many-th.
    pub every: usize,
    /// So many at the most.
    pub max: usize,
}

impl TransactionFault {
    /// Meets the next transaction that writes a key beginning so.
    pub fn next(scripted_outcome: ScriptedOutcome, key: &'static str) -> Self {
        Self {
            scripted_outcome,
            controller: None,
            key,
            value: |_| true,
            every: 1,
            max: 1,
        }
    }

    /// Whether it meets a transaction of this controller.
    fn concerns(&self, from: Option<usize>, txn: &Value) -> bool {
        let changes = txn["apply"].as_array();
        let written = changes.into_iter().flatten().any(|change| {
            let key = change["write"].as_str();
            key.is_some_and(|k| k.starts_with(self.key)) && (self.value)(&change["value"])
        });
        written && self.controller.is_none_or(|c| Some(c) == from)
    }
}

struct Armed {
    fault: TransactionFault,
    concerned: usize,
    met: usize,
}

/// The faults at one time.
#[derive(Default)]
pub struct Faults {
    armed: Vec<Armed>,
    /// Transactions that are delayed, in the order in which they came.
    pub(super) late: Vec<Value>,
    /// Controllers that are refused alone.
    pub(super) refused: BTreeSet<usize>,
    /// Transactions that have met a fault.
    pub(super) met: usize,
}

impl Faults {
    /// Has a fault meet transactions from now on.
    pub(super) fn arm(&mut self, fault: TransactionFault) {
        let (concerned, met) = (0, 0);
        self.armed.push(Armed {
            fault,
            concerned,
            met,
        });
    }

    /// No fault meets any further transaction.
    pub(super) fn disarm(&mut self) {
        self.armed.clear();
    }

    /// What becomes of a transaction; none: it is carried out and answered.
    pub(super) fn scripted_outcome(
        &mut self,
        from: Option<usize>,
        txn: &Value,
    ) -> Option<ScriptedOutcome> {
        for armed in &mut self.armed {
            if !armed.fault.concerns(from, txn) || armed.met >= armed.fault.max {
                continue;
            }
            armed.concerned += 1;
            if (armed.concerned - 1) % armed.fault.every == 0 {
                armed.met += 1;
                self.met += 1;
                return Some(armed.fault.scripted_outcome);
            }
        }
        None
    }
}
