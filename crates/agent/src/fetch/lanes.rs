//! The chunks of an image, from whom [`Sources`](crate::sources::Sources) says.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::Response;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

use super::http::{body_of, whole_body};
use super::{disk, jitter, keep, lost, Failed, Fetch, FetchFailure};
use crate::client::{self, Line};
use crate::clock;
use crate::describe::Source;
use crate::part::{self, Part};
use crate::sources::{Outcome, Whom};
use crate::upload::MIN_RATE_BYTES_PER_S;

/// How often a lane looks whether there is something to do.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What came of a request.
enum Taken {
    /// The bytes, as many as there should be.
    Bytes(Bytes),
    /// All of the image, from its beginning.
    All(Response<Incoming>),
    /// No chunk.
    None(Outcome),
}

/// A chunk that is to be asked for.
struct Request {
    chunk: usize,
    whom: Whom,
}

/// What several lanes share.
pub(super) struct Lanes {
    pub(super) fetch: Rc<Fetch>,
    pub(super) part: Rc<Part>,
    pub(super) flying: RefCell<BTreeSet<usize>>,
    pub(super) lines: RefCell<BTreeMap<SocketAddr, Line>>,
    pub(super) last: RefCell<String>,
}

impl Lanes {
    /// Takes one chunk after the other, until none misses.
    pub(super) async fn lane(&self) -> Result<(), Failed> {
        while self.part.missing(|_| false).is_some() {
            self.check_given_up()?;
            match self.next_request() {
                Some(request) => self.carry_out(request).await?,
                None => sleep(POLL_INTERVAL).await,
            }
        }
        Ok(())
    }

    /// Fails once nobody is left who could give a chunk.
    fn check_given_up(&self) -> Result<(), Failed> {
        let patience = self.fetch.image_server.settings().patience_s;
        let abort_reason = self
            .fetch
            .sources
            .borrow()
            .abort_reason(patience, clock::now());
        abort_reason.map_or(Ok(()), |why| {
            let last = self.last.borrow().clone();
            Err(keep(FetchFailure::GivenUp { why, last }))
        })
    }

    /// The first chunk that misses and is not asked for yet, and whom to ask, if
    /// anyone may be now.
    fn next_request(&self) -> Option<Request> {
        let flying = |chunk| self.flying.borrow().contains(&chunk);
        let chunk = self.part.missing(flying)?;
        let whom = self.fetch.sources.borrow_mut().pick(clock::now())?;
        Some(Request { chunk, whom })
    }

    /// Asks for a chunk and writes it, and says what became of it.
    async fn carry_out(&self, request: Request) -> Result<(), Failed> {
        let Request { chunk, whom } = request;
        self.flying.borrow_mut().insert(chunk);
        let outcome = self.take(chunk, whom).await;
        self.flying.borrow_mut().remove(&chunk);
        let outcome = outcome?;
        if !matches!(outcome, Outcome::Right | Outcome::NotYet(_)) {
            *self.last.borrow_mut() = format!("{whom:?}: chunk {chunk} {outcome:?}");
            tracing::info!(image = self.fetch.image.name, source = ?whom, chunk, ?outcome, "image chunk not taken");
        }
        let mut sources = self.fetch.sources.borrow_mut();
        sources.came(whom, outcome, jitter(), clock::now());
        Ok(())
    }

    /// Asks for a chunk and writes what comes.
    async fn take(&self, chunk: usize, whom: Whom) -> Result<Outcome, Failed> {
        let sources = &self.fetch.sources;
        let taken = match whom {
            Whom::Agent(agent) => self.of_agent(agent, chunk).await,
            Whom::Origin => self.of_origin(chunk).await,
        };
        match taken {
            Taken::All(response) => {
                let outcome = self.all_as_it_passes(response).await;
                sources.borrow_mut().over(whom);
                outcome
            }
            Taken::Bytes(bytes) => {
                // Before it is written: the source's line never idles meanwhile.
                sources.borrow_mut().over(whom);
                self.write(chunk, bytes).await
            }
            Taken::None(outcome) => {
                sources.borrow_mut().over(whom);
                Ok(outcome)
            }
        }
    }

    /// A chunk from another agent.
    async fn of_agent(&self, agent: SocketAddr, chunk: usize) -> Taken {
        let image = &self.fetch.image;
        let path = format!("/images/{}?sha256={}", image.name, image.sha256);
        self.over_http(agent, &path, chunk).await
    }

    /// A chunk from the origin.
    async fn of_origin(&self, chunk: usize) -> Taken {
        let image = &self.fetch.image;
        match &self.fetch.origin {
            Source::Http { server, prefix } => {
                let path = format!("{prefix}/{}", image.name);
                self.over_http(*server, &path, chunk).await
            }
            Source::Folder(folder) => {
                let path = folder.join(format!("{}.tar", image.name));
                let span = self.part.checksums().span(chunk);
                let read = spawn_blocking(move || {
                    let mut bytes = vec![0; (span.end - span.start) as usize];
                    File::open(path)?.read_exact_at(&mut bytes, span.start)?;
                    Ok::<_, std::io::Error>(Bytes::from(bytes))
                });
                let read = read.await.unwrap_or_else(|e| Err(std::io::Error::other(e)));
                match read.map_err(|e| e.kind()) {
                    Ok(bytes) => Taken::Bytes(bytes),
                    Err(ErrorKind::NotFound) => Taken::None(Outcome::Nothing),
                    Err(ErrorKind::UnexpectedEof) => Taken::None(Outcome::Wrong),
                    Err(_) => Taken::None(Outcome::Failed),
                }
            }
        }
    }

    /// A chunk's range of a path, over the connection that is open or a new one.
    async fn over_http(&self, at: SocketAddr, path: &str, chunk: usize) -> Taken {
        let span = self.part.checksums().span(chunk);
        let length = span.end - span.start;
        let stall = Duration::from_secs_f64(self.fetch.image_server.settings().stall_s);
        // One that drips must not hold a chunk for ever either.
        let patience = stall + Duration::from_secs_f64(length as f64 / MIN_RATE_BYTES_PER_S);
        let got = timeout(patience, async {
            let line = self.lines.borrow_mut().remove(&at);
            let mut line = match line.filter(|line| line.is_ready()) {
                Some(line) => line,
                None => client::connect(at).await.map_err(|_| Outcome::Failed)?,
            };
            let range = format!("bytes={}-{}", span.start, span.end - 1);
            let response = client::send_get(&mut line, at, path, Some(&range)).await;
            let response = response.map_err(|_| Outcome::Failed)?;
            match response.status().as_u16() {
                206 => {}
                // A server without ranges: it all comes, from its beginning.
                200 => return Ok(Taken::All(response)),
                _ => return Err(whole_body(response).await.err().unwrap_or(Outcome::Failed)),
            }
            let bytes = body_of(response, length as usize).await?;
            self.lines.borrow_mut().insert(at, line);
            if bytes.len() as u64 == length {
                Ok(Taken::Bytes(bytes))
            } else {
                Err(Outcome::Failed)
            }
        });
        let got = got.await.unwrap_or(Err(Outcome::Failed));
        got.unwrap_or_else(Taken::None)
    }

    /// A server that gives the whole whatever is asked: every chunk that misses
    /// is taken as it passes.
    async fn all_as_it_passes(&self, response: Response<Incoming>) -> Result<Outcome, Failed> {
        let stall = Duration::from_secs_f64(self.fetch.image_server.settings().stall_s);
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        for chunk in 0..self.part.checksums().chunks() {
            let span = self.part.checksums().span(chunk);
            let length = (span.end - span.start) as usize;
            while buffer.len() < length {
                let Ok(Some(Ok(frame))) = timeout(stall, body.frame()).await else {
                    return Ok(Outcome::Failed);
                };
                if let Ok(data) = frame.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
            let bytes = buffer.split_to(length).freeze();
            if !self.part.has(chunk) && self.write(chunk, bytes).await? == Outcome::Wrong {
                return Ok(Outcome::Wrong);
            }
        }
        Ok(Outcome::Right)
    }

    /// A chunk came: into its place, if it is right.
    async fn write(&self, chunk: usize, bytes: Bytes) -> Result<Outcome, Failed> {
        let (archive, checksums) = (self.part.archive(), self.part.checksums().clone());
        let written =
            spawn_blocking(move || part::check_and_write(&archive, &checksums, chunk, &bytes));
        match written.await.map_err(lost)? {
            Ok(true) => {
                self.part.got(chunk);
                Ok(Outcome::Right)
            }
            Ok(false) => Ok(Outcome::Wrong),
            Err(error) => Err(disk(error)),
        }
    }
}
