//! The sums of an image: from whoever may give them, else an agent's word.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sorrelhinge_protocol::types::Time;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

use super::http::whole_body;
use super::{jitter, keep, lost, Failed, Fetch, FetchFailure, MAX_WHOLE_TRIES};
use crate::checksums::{self, Checksums};
use crate::client;
use crate::clock;
use crate::describe::Source;
use crate::part::KnownChecksums;
use crate::sources::{Outcome, Whom};

/// How long other agents are asked for sums that the job knows the sum of,
/// before the origin is, in seconds: their own starts may be on their way.
const CHECKSUMS_FROM_AGENTS_S: f64 = 3.0;

/// Why the origin did not say whether it has sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum OriginUnavailable {
    /// It answers that it is busy.
    #[error("it is busy")]
    Busy,
    /// It does not answer, or not with what was asked for.
    #[error("no answer")]
    NoAnswer,
}

/// Sums, and which agent gave them.
pub(super) struct Found {
    pub(super) known: KnownChecksums,
    /// None if they are trusted.
    pub(super) giver: Option<SocketAddr>,
}

impl Fetch {
    /// Sums of the image: those that the job names, else the origin's, else an
    /// agent's word; none if nobody has any.
    pub(super) async fn find_checksums(&self) -> Result<Option<Found>, Failed> {
        let begun = clock::now();
        if let Some(known) = &self.image.sums_sha256 {
            if let Some(found) = self.named_checksums_of_agents(known, begun).await? {
                return Ok(Some(found));
            }
        }
        let other = match self.usable_checksums_of_origin().await {
            Ok(Some(found)) => return Ok(Some(found)),
            Ok(None) => None,
            Err(other) => Some(other),
        };
        if let Some(found) = self.unproven_checksums_of_agents(begun).await {
            return Ok(Some(found));
        }
        // What the origin calls so is another image: nothing to fetch whole.
        other.map_or(Ok(None), |why| Err(keep(why)))
    }

    /// The sums that the job names, from whichever agent gives them: their own sum
    /// tells.
    async fn named_checksums_of_agents(
        &self,
        known: &str,
        begun: Time,
    ) -> Result<Option<Found>, Failed> {
        loop {
            for agent in self.agents() {
                if let Ok(text) = self.checksums_of_agent(agent).await {
                    if checksums::sha256(&text) == known {
                        return self.found(text, true, None).map(Some);
                    }
                    tracing::error!(image = self.image.name, %agent, "checksums differ from the job's");
                }
            }
            let waited = clock::now().since(begun);
            if self.agents().is_empty() || waited > CHECKSUMS_FROM_AGENTS_S * (0.5 + jitter()) {
                return Ok(None);
            }
            sleep(Duration::from_secs_f64(0.2 + 0.3 * jitter())).await;
        }
    }

    /// The origin's sums, if it has some that are of use.
    ///
    /// # Errors
    /// They are of another image of this name: the agents may have ours.
    async fn usable_checksums_of_origin(&self) -> Result<Option<Found>, FetchFailure> {
        let text = match self.checksums_of_origin().await {
            Ok(Some(text)) => text,
            Ok(None) => return Ok(None),
            Err(why) => {
                let why = why.to_string();
                tracing::error!(image = self.image.name, why, "origin's checksums unusable");
                return Ok(None);
            }
        };
        let known = self.image.sums_sha256.as_ref();
        let as_named = known.is_none_or(|known| *known == checksums::sha256(&text));
        match self.found(text, true, None) {
            Ok(found) if as_named => Ok(Some(found)),
            Ok(_) => {
                tracing::error!(
                    image = self.image.name,
                    "origin's checksums differ from the job's"
                );
                Ok(None)
            }
            Err(Failed { why, keep }) => {
                let text = why.to_string();
                tracing::error!(
                    image = self.image.name,
                    why = text,
                    "origin's checksums unusable"
                );
                keep.then_some(why).map_or(Ok(None), Err)
            }
        }
    }

    /// An agent's word, until the whole has proven it. Those that have begun with
    /// the image are waited for; nobody is that has not.
    async fn unproven_checksums_of_agents(&self, begun: Time) -> Option<Found> {
        let patience = self.image_server.settings().origin_after_s * (1.0 + jitter());
        let mut last_answer = begun;
        loop {
            for agent in self.agents() {
                match self.checksums_of_agent(agent).await {
                    Ok(text) => match self.found(text, false, Some(agent)) {
                        Ok(found) => return Some(found),
                        Err(failed) => self.drop_agent(agent, &failed),
                    },
                    Err(Outcome::NotYet(_)) => last_answer = clock::now(),
                    Err(_) => {}
                }
            }
            if self.agents().is_empty() || clock::now().since(last_answer) > patience {
                return None;
            }
            sleep(Duration::from_secs_f64(0.5 + jitter())).await;
        }
    }

    /// An agent gave sums that can't be used: it is not asked again.
    fn drop_agent(&self, agent: SocketAddr, failed: &Failed) {
        tracing::error!(image = self.image.name, %agent, error = failed.to_string(), "agent's checksums unusable");
        let mut sources = self.sources.borrow_mut();
        sources.came(Whom::Agent(agent), Outcome::Wrong, 0.0, clock::now());
    }

    /// Agents that may still be asked, in their order.
    pub(super) fn agents(&self) -> Vec<SocketAddr> {
        self.sources.borrow().agents()
    }

    /// Reads a file of sums, which must be of this image; `giver`: whose word it is.
    pub(super) fn found(
        &self,
        text: Bytes,
        trusted: bool,
        giver: Option<SocketAddr>,
    ) -> Result<Found, Failed> {
        let checksums = Checksums::read(&text).map_err(lost)?;
        if checksums.sha256 != self.image.sha256 {
            return Err(keep(FetchFailure::OtherImage {
                sha256: checksums.sha256,
            }));
        }
        let known = KnownChecksums {
            text,
            checksums,
            trusted,
        };
        Ok(Found { known, giver })
    }

    /// The file of sums from another agent, or why it gave none.
    async fn checksums_of_agent(&self, agent: SocketAddr) -> Result<Bytes, Outcome> {
        let path = format!(
            "/images/{}/sums?sha256={}",
            self.image.name, self.image.sha256
        );
        self.file_of_checksums(agent, &path).await
    }

    /// A file of sums from a server, within the time that a source may be silent.
    async fn file_of_checksums(&self, server: SocketAddr, path: &str) -> Result<Bytes, Outcome> {
        let patience = Duration::from_secs_f64(self.image_server.settings().stall_s);
        let asked = timeout(patience, async {
            let line = client::connect(server).await;
            let mut line = line.map_err(|_| Outcome::Failed)?;
            let response = client::send_get(&mut line, server, path, None).await;
            whole_body(response.map_err(|_| Outcome::Failed)?).await
        });
        asked.await.unwrap_or(Err(Outcome::Failed))
    }

    /// The sums that the origin has beside the image; none if it has none.
    async fn checksums_of_origin(&self) -> Result<Option<Bytes>, OriginUnavailable> {
        let mut tries = 0;
        loop {
            tries += 1;
            let (why, after) = match self.ask_origin_for_checksums().await {
                Ok(text) => return Ok(Some(text)),
                // Some stores say 403 of what they don't have.
                Err(Outcome::Nothing | Outcome::Wrong) => return Ok(None),
                Err(Outcome::NotYet(after)) => (OriginUnavailable::Busy, after.min(5.0)),
                Err(_) => (OriginUnavailable::NoAnswer, 0.5),
            };
            // Agents may have them, and the whole proves what they say.
            if tries >= MAX_WHOLE_TRIES || tries >= 2 && !self.agents().is_empty() {
                return Err(why);
            }
            sleep(Duration::from_secs_f64(after * (0.5 + jitter()))).await;
        }
    }

    /// The file of sums from the origin, or why it gave none.
    pub(super) async fn ask_origin_for_checksums(&self) -> Result<Bytes, Outcome> {
        let name = format!("{}.sums", self.image.name);
        match &self.origin {
            Source::Folder(folder) => {
                let path = folder.join(name);
                let read = spawn_blocking(move || match std::fs::metadata(&path) {
                    Ok(meta) if meta.len() > checksums::MAX_FILE_BYTES as u64 => {
                        Err(Outcome::Wrong)
                    }
                    Err(e) if e.kind() == ErrorKind::NotFound => Err(Outcome::Nothing),
                    _ => std::fs::read(path).map_err(|_| Outcome::Failed),
                });
                read.await.unwrap_or(Err(Outcome::Failed)).map(Bytes::from)
            }
            Source::Http { server, prefix } => {
                let path = format!("{prefix}/{name}");
                self.file_of_checksums(*server, &path).await
            }
        }
    }
}
