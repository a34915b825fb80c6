//! Handing on: what other agents ask for over HTTP, `GET /images/NAME/sums` and
//! `GET /images/NAME` with `Range`, both with `?sha256=SUM` to say which of two
//! images of one name. Only chunks that were checked go out, to the networks of
//! the settings, over so many connections and at such a rate at the most. Own
//! starts, commands and reports never wait for it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Error, Result};
use std::net::IpAddr;
use std::ops::Range;
use std::os::unix::fs::FileExt;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Method, Response, StatusCode, Uri};
use sorrelhinge_protocol::types::Time;
use sorrelhinge_protocol::worker::ReportedImage;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::part::Part;
use crate::settings::HandOn;

/// Bytes that go out at a time: between two of them anything else of the agent
/// has its turn.
const SEND_BYTES: u64 = 128 << 10;
/// A wait that is shorter is left to the next piece: timers go by milliseconds,
/// and one for each piece would bound an upload far below any rate.
const MIN_WAIT_S: f64 = 0.002;
/// Who takes less than this, bytes a second, doesn't keep a slot.
pub const MIN_RATE_BYTES_PER_S: f64 = 1e6;
/// How long a request waits for a chunk that is on its way here: it saves the
/// asker a pause in each step of a chain.
const MAX_CHUNK_WAIT: Duration = Duration::from_secs(2);
/// How often it looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that wait, for each slot.
const MAX_WAITING_PER_SLOT: usize = 8;
/// `Retry-After`, in seconds: where no slot or chunk is there yet, and where an
/// image comes in one piece.
const RETRY_SOON_S: u32 = 1;
const RETRY_LATER_S: u32 = 5;

/// What the agent answers with: a text, or a stream of pieces.
pub type Answer = Response<Either<Full<Bytes>, Pieces>>;

/// An answer of one piece.
pub fn plain(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// A refusal, with its reason and when to ask again.
fn refuse(status: u16, why: &str, retry_s: Option<u32>) -> Answer {
    let mut response = plain(status, serde_json::json!({ "error": why }).to_string());
    if let Some(s) = retry_s {
        response.headers_mut().insert("retry-after", s.into());
    }
    response
}

/// As many uploads as the settings allow are under way.
fn no_slot() -> Answer {
    refuse(503, "all uploads are taken", Some(RETRY_SOON_S))
}

/// The range that was asked for is none of so many bytes.
fn no_such_range(bytes: u64) -> Answer {
    let mut response = refuse(416, "no such range", None);
    set_content_range(&mut response, &format!("bytes */{bytes}"));
    response
}

fn set_content_range(response: &mut Answer, of: &str) {
    if let Ok(of) = of.parse() {
        response.headers_mut().insert("content-range", of);
    }
}

/// A body that comes piece by piece, its length known.
pub struct Pieces {
    from: mpsc::Receiver<Result<Bytes>>,
    left: u64,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.from.poll_recv(context).map(|piece| match piece {
            Some(Ok(bytes)) => {
                self.left = self.left.saturating_sub(bytes.len() as u64);
                Some(Ok(Frame::data(bytes)))
            }
            Some(Err(error)) => Some(Err(error)),
            // Half a body must not look like a whole one.
            None if self.left > 0 => Some(Err(Error::other("cut short"))),
            None => None,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// The bound on what goes out, for all uploads together.
#[derive(Debug)]
pub struct Rate {
    bytes_per_s: f64,
    free: Time,
}

impl Rate {
    /// A bound of so many bytes a second, with nothing on its way yet.
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            free: Time(0.0),
        }
    }

    /// How many seconds so many bytes have to wait, if they come now.
    pub fn wait(&mut self, bytes: u64, now: Time) -> f64 {
        let begin = Time(self.free.0.max(now.0));
        self.free = begin.after(bytes as f64 / self.bytes_per_s);
        begin.since(now)
    }
}

/// One of a bounded number, given back when it is dropped.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn take(free: &Rc<Cell<usize>>) -> Option<Self> {
        free.set(free.get().checked_sub(1)?);
        Some(Self(free.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Where the bytes of an answer are.
enum Bytewise {
    /// All of these.
    Memory(Bytes),
    /// Those of a file, from this one on.
    File { file: Arc<File>, from: u64 },
}

impl Bytewise {
    /// So many bytes, `offset` behind the first of the answer.
    async fn read(&self, offset: u64, size: u64) -> Result<Bytes> {
        match self {
            Self::Memory(all) => Ok(all.slice(offset as usize..(offset + size) as usize)),
            Self::File { file, from } => {
                let (file, at) = (file.clone(), from + offset);
                let read = tokio::task::spawn_blocking(move || {
                    let mut buffer = vec![0; size as usize];
                    file.read_exact_at(&mut buffer, at)?;
                    Ok(Bytes::from(buffer))
                });
                read.await.unwrap_or_else(|e| Err(Error::other(e)))
            }
        }
    }
}

/// What a request below `/images/` names. Names are looked up among images, never
/// on the disk.
struct ImageRequest<'a> {
    name: &'a str,
    sha256: Option<&'a str>,
    /// The file of sums, not the archive.
    sums: bool,
}

impl<'a> ImageRequest<'a> {
    fn of(uri: &'a Uri) -> Self {
        let rest = uri.path().strip_prefix("/images/").unwrap_or_default();
        let sums_of = rest.strip_suffix("/sums");
        Self {
            name: sums_of.unwrap_or(rest),
            sha256: uri.query().and_then(|q| q.strip_prefix("sha256=")),
            sums: sums_of.is_some(),
        }
    }
}

/// What is handed on, and to whom.
pub struct Hands {
    settings: HandOn,
    /// By the image's sum: whole, or on its way in chunks.
    parts: RefCell<BTreeMap<String, Rc<Part>>>,
    /// Being fetched: the name, by the sum.
    coming: RefCell<BTreeMap<String, String>>,
    slots: Rc<Cell<usize>>,
    waits: Rc<Cell<usize>>,
    rate: Rc<RefCell<Rate>>,
}

impl Hands {
    /// With nothing to hand on yet.
    pub fn new(settings: HandOn) -> Self {
        let uploads = settings.uploads as usize;
        let rate = Rate::new(settings.upload_mb_per_s * 1e6);
        Self {
            settings,
            parts: RefCell::default(),
            coming: RefCell::default(),
            slots: Rc::new(Cell::new(uploads)),
            waits: Rc::new(Cell::new(uploads * MAX_WAITING_PER_SLOT)),
            rate: Rc::new(RefCell::new(rate)),
        }
    }

    /// The settings.
    pub fn settings(&self) -> &HandOn {
        &self.settings
    }

    /// Whether an address is in the networks of the settings.
    pub fn is_near(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.settings.networks.iter().any(|n| n.contains(&address))
    }

    /// An image's part, if there is one.
    pub fn part(&self, sha256: &str) -> Option<Rc<Part>> {
        self.parts.borrow().get(sha256).cloned()
    }

    /// A part is there from now on, in place of any other of its image.
    pub fn keep(&self, part: Rc<Part>) {
        let sha256 = part.about().image.sha256.clone();
        self.parts.borrow_mut().insert(sha256, part);
    }

    /// A part is not there any more. What is on its way out ends as it may.
    pub fn drop_part(&self, sha256: &str) {
        self.parts.borrow_mut().remove(sha256);
    }

    /// An image is on its way; until the guard is dropped, whoever asks for what
    /// can't be handed on yet is told to come again later.
    pub fn comes(self: &Rc<Self>, sha256: &str, name: &str) -> Coming {
        let mut coming = self.coming.borrow_mut();
        coming.insert(sha256.to_owned(), name.to_owned());
        Coming {
            hands: self.clone(),
            sha256: sha256.to_owned(),
        }
    }

    /// What a report tells of images, those on their way first.
    pub fn told(&self) -> Vec<ReportedImage> {
        let parts = self.parts.borrow();
        let mut all: Vec<&Rc<Part>> = parts
            .values()
            .filter(|p| p.hands_on() && p.count() > 0)
            .collect();
        all.sort_by_key(|p| p.is_whole());
        let told = all.into_iter().map(|p| ReportedImage {
            image: p.about().image.name.clone(),
            parts: p.count() as u64,
            of: p.sums().chunks() as u64,
        });
        told.collect()
    }

    /// The answer to a request below `/images/`.
    pub async fn answer(
        &self,
        from: IpAddr,
        method: &Method,
        uri: &Uri,
        range: Option<&str>,
    ) -> Answer {
        if !self.is_near(from) {
            return refuse(403, "not of a network that images go to", None);
        }
        if method != Method::GET {
            return refuse(405, "only GET", None);
        }
        let wanted = ImageRequest::of(uri);
        match self.find(wanted.name, wanted.sha256) {
            Ok(part) if wanted.sums => self.answer_sums(&part),
            Ok(part) => self.answer_archive(&part, range).await,
            Err(refused) => *refused,
        }
    }

    /// The file of sums.
    fn answer_sums(&self, part: &Part) -> Answer {
        let Some(slot) = Slot::take(&self.slots) else {
            return no_slot();
        };
        let text = part.text();
        let length = text.len() as u64;
        let pieces = self.send(Bytewise::Memory(text), length, slot);
        Response::new(Either::Right(pieces))
    }

    /// The archive, or a range of it.
    async fn answer_archive(&self, part: &Part, range: Option<&str>) -> Answer {
        let bytes = part.sums().bytes;
        let Some(wanted) = range.map_or(Some(0..bytes), |range| span(range, bytes)) else {
            return no_such_range(bytes);
        };
        if !self.there(part, &wanted).await {
            return refuse(503, "not there yet", Some(RETRY_SOON_S));
        }
        let Some(slot) = Slot::take(&self.slots) else {
            return no_slot();
        };
        let Ok(file) = File::open(part.archive()) else {
            return refuse(404, "no such image any more", None);
        };
        let source = Bytewise::File {
            file: Arc::new(file),
            from: wanted.start,
        };
        let pieces = self.send(source, wanted.end - wanted.start, slot);
        let mut response = Response::new(Either::Right(pieces));
        if range.is_some() {
            *response.status_mut() = StatusCode::PARTIAL_CONTENT;
            let of = format!("bytes {}-{}/{bytes}", wanted.start, wanted.end - 1);
            set_content_range(&mut response, &of);
        }
        response
    }

    fn find(&self, name: &str, sha256: Option<&str>) -> std::result::Result<Rc<Part>, Box<Answer>> {
        let no = |status, why, retry_s| Box::new(refuse(status, why, retry_s));
        let parts = self.parts.borrow();
        let asked = |sum: &str| sha256.is_none_or(|asked| asked == sum);
        let mut found = parts.values().filter(|p| {
            let image = &p.about().image;
            image.name == name && asked(&image.sha256)
        });
        let part = found.next().cloned();
        if found.next().is_some() {
            // Either would be a guess.
            return Err(no(
                409,
                "two images have this name: sha256= says which",
                None,
            ));
        }
        let coming = self.coming.borrow();
        let comes = coming.iter().any(|(sum, n)| n == name && asked(sum));
        match part {
            Some(part) if part.hands_on() => Ok(part),
            // Whoever waits for sums waits for those that are on their way only:
            // two that had a part each would wait for each other for ever.
            _ if comes => Err(no(503, "not checked yet", Some(RETRY_LATER_S))),
            _ => Err(no(404, "no such image", None)),
        }
    }

    /// Whether all chunks of a span are there; for those on their way it waits
    /// a little.
    async fn there(&self, part: &Part, wanted: &Range<u64>) -> bool {
        let chunks = part.sums().within(wanted.start, wanted.end);
        let all = || chunks.clone().all(|chunk| part.has(chunk));
        if all() {
            return true;
        }
        let Some(_wait) = Slot::take(&self.waits) else {
            return false;
        };
        let begun = Instant::now();
        while begun.elapsed() < MAX_CHUNK_WAIT {
            sleep(POLL_INTERVAL).await;
            if all() {
                return true;
            }
        }
        false
    }

    /// Sends so many bytes piece by piece, as the rate of all uploads allows, and
    /// holds the slot meanwhile.
    fn send(&self, bytes: Bytewise, length: u64, slot: Slot) -> Pieces {
        let (to, from) = mpsc::channel(1);
        let rate = self.rate.clone();
        let patience = self.settings.stall_s + length as f64 / MIN_RATE_BYTES_PER_S;
        spawn_local(async move {
            let _slot = slot;
            let mut blocked = Duration::ZERO;
            let mut sent = 0;
            while sent < length {
                let size = SEND_BYTES.min(length - sent);
                let wait = rate.borrow_mut().wait(size, clock::now());
                if wait > MIN_WAIT_S {
                    sleep(Duration::from_secs_f64(wait)).await;
                }
                let piece = bytes.read(sent, size).await;
                let failed = piece.is_err();
                // Who doesn't take what is sent must not keep the slot.
                let left = Duration::from_secs_f64(patience).saturating_sub(blocked);
                let before = Instant::now();
                match timeout(left, to.send(piece)).await {
                    Ok(Ok(())) if !failed => {}
                    _ => return,
                }
                blocked += before.elapsed();
                sent += size;
            }
        });
        Pieces { from, left: length }
    }
}

/// An image is on its way, as long as this is there.
pub struct Coming {
    hands: Rc<Hands>,
    sha256: String,
}

impl Drop for Coming {
    fn drop(&mut self) {
        self.hands.coming.borrow_mut().remove(&self.sha256);
    }
}

/// The bytes that a `Range` names of so many. One range only; none if there are no
/// such bytes.
pub fn span(range: &str, of: u64) -> Option<Range<u64>> {
    let (from, to) = range.strip_prefix("bytes=")?.split_once('-')?;
    let number = |text: &str| text.parse::<u64>().ok();
    let (from, to) = match (from, to) {
        ("", last) => (of.saturating_sub(number(last)?), of),
        (from, "") => (number(from)?, of),
        (from, to) => (number(from)?, number(to)?.checked_add(1)?.min(of)),
    };
    (from < to).then_some(from..to)
}
