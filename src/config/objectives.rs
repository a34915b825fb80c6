//! The objectives of the platform's settings, by class.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;

/// One objective, as the file has it.
#[derive(Deserialize)]
pub(super) struct RawObjective {
    kind: String,
    class: Option<String>,
    within_s: Option<f64>,
    times: Option<f64>,
}

/// What the objectives ask of each class.
#[derive(Default)]
pub(super) struct ClassObjectives {
    pub(super) start: HashMap<Arc<str>, f64>,
    pub(super) finish: HashMap<Arc<str>, Vec<f64>>,
    pub(super) deadline: HashMap<Arc<str>, Vec<f64>>,
}

impl ClassObjectives {
    pub(super) fn of(objectives: Vec<RawObjective>) -> Self {
        let mut class_objectives = Self::default();
        for objective in objectives {
            let Some(class) = objective.class.map(Arc::<str>::from) else {
                continue;
            };
            match (objective.kind.as_str(), objective.within_s, objective.times) {
                ("wait", Some(within), _) => {
                    let least = class_objectives.start.entry(class).or_insert(within);
                    *least = least.min(within);
                }
                ("finished", Some(within), _) => {
                    let bounds = class_objectives.finish.entry(class);
                    bounds.or_default().push(within);
                }
                ("deadline", _, Some(times)) => {
                    let bounds = class_objectives.deadline.entry(class);
                    bounds.or_default().push(times);
                }
                _ => {}
            }
        }
        for times in class_objectives
            .finish
            .values_mut()
            .chain(class_objectives.deadline.values_mut())
        {
            times.sort_by(f64::total_cmp);
        }
        class_objectives
    }
}
