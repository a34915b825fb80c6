//! Who was served over a whole run, read from the `served` lines of all owners'
//! logs (`docs/blocks.md`).
//!
//! Each owner counts anew from what it found in the records, so counts of several
//! can't be added up as they are: a job that was accepted under one owner is
//! counted as accepted by the next one too, as long as it is not over. What is done
//! is counted by one owner only.

use std::collections::BTreeMap;

/// A class and its team, by name.
pub type Name = (String, String);

/// One owner's last line of a class and team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    accepted: u64,
    started: u64,
    done: u64,
    waiting: u64,
}

/// What came of the jobs of a class and team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Jobs that ended.
    pub done: u64,
    /// Jobs of which tasks were started, and that were not over at the last line.
    pub open: u64,
    /// Jobs of which none was.
    pub waiting: u64,
}

impl Part {
    /// The part that was served: what ended or was under way.
    pub fn served(&self) -> f64 {
        let served = self.done + self.open;
        served as f64 / (served + self.waiting).max(1) as f64
    }
}

/// Collects lines.
#[derive(Debug, Default)]
pub struct Tally {
    /// Each controller's period as an owner of a block, as it speaks.
    periods: Vec<(String, BTreeMap<Name, Count>)>,
    /// The period that each controller and block is in.
    present: BTreeMap<String, usize>,
}

fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

impl Tally {
    /// Takes a line of a log, whatever stands before the message. `from`: whose
    /// log it is, if the line itself does not say so.
    pub fn line(&mut self, from: &str, line: &str) {
        let begins = ["leading", "owning", "serving"];
        let message = |word: &str| line.split_whitespace().any(|w| w == word);
        // What stands before the level, but for the time, names who speaks.
        let speaker = line.split("INFO").next().unwrap_or_default();
        let speaker = speaker.split_whitespace().last();
        let speaker = speaker.filter(|s| s.parse::<f64>().is_err());
        let speaker = speaker.unwrap_or(from);
        if message("served") {
            self.served(speaker, line);
        } else if begins.into_iter().any(message) {
            let block = field(line, "block");
            let ends = |key: &String| {
                block.map_or_else(
                    || key.starts_with(&format!("{speaker} ")),
                    |b| *key == format!("{speaker} {b}"),
                )
            };
            self.present.retain(|key, _| !ends(key));
        }
    }

    fn served(&mut self, speaker: &str, line: &str) {
        let text = |key: &str| field(line, key).map(str::to_owned);
        let number = |key: &str| field(line, key).and_then(|n| n.parse().ok());
        let Some((class, team)) = text("class").zip(text("team")) else {
            return;
        };
        let count = Count {
            accepted: number("accepted").unwrap_or(0),
            started: number("started").unwrap_or(0),
            done: number("done").unwrap_or(0),
            waiting: number("waiting").unwrap_or(0),
        };
        let block = field(line, "block").unwrap_or("0");
        let at = *self
            .present
            .entry(format!("{speaker} {block}"))
            .or_insert_with(|| {
                self.periods.push((block.to_owned(), BTreeMap::new()));
                self.periods.len() - 1
            });
        self.periods[at].1.insert((class, team), count);
    }

    /// For each class and team what came of its jobs: all that is done, and of the
    /// last owner of each block what is not.
    pub fn parts(&self) -> BTreeMap<Name, Part> {
        let mut parts: BTreeMap<Name, Part> = BTreeMap::new();
        let mut last: BTreeMap<(&str, &Name), &Count> = BTreeMap::new();
        for (block, counts) in &self.periods {
            for (name, count) in counts {
                let part = parts.entry(name.clone()).or_insert(Part {
                    done: 0,
                    open: 0,
                    waiting: 0,
                });
                part.done += count.done;
                last.insert((block.as_str(), name), count);
            }
        }
        for ((_, name), count) in last {
            if let Some(part) = parts.get_mut(name) {
                part.open += count.started.saturating_sub(count.done);
                part.waiting += count.waiting;
            }
        }
        parts
    }
}
