//! Handing on: what other agents ask for over HTTP, `GET /images/NAME/sums` and
//! `GET /images/NAME` with `Range`, both with `?sha256=SUM` to say which of two
//! images of one name. Only chunks that were checked go out, to the networks of
//! the settings, over so many connections and at such a rate at the most. Own
//! starts, commands and heartbeats never wait for it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::IpAddr;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{Method, Response, StatusCode, Uri};
use sorrelhinge_protocol::worker::ReportedImage;
use tokio::time::sleep;

use crate::part::Part;
use crate::settings::PeerTransferSettings;
use crate::upload::{span, ByteBody, Pieces, Rate, Slot, Upload, MIN_RATE_BYTES_PER_S};

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

/// What a request below `/images/` names. Names are looked up among images, never
/// on the disk.
struct ImageRequest<'a> {
    name: &'a str,
    sha256: Option<&'a str>,
    /// The file of sums, not the archive.
    checksums: bool,
}

impl<'a> ImageRequest<'a> {
    fn of(uri: &'a Uri) -> Self {
        let rest = uri.path().strip_prefix("/images/").unwrap_or_default();
        let checksums_of = rest.strip_suffix("/sums");
        Self {
            name: checksums_of.unwrap_or(rest),
            sha256: uri.query().and_then(|q| q.strip_prefix("sha256=")),
            checksums: checksums_of.is_some(),
        }
    }
}

/// What is handed on, and to whom.
pub struct ImageServer {
    settings: PeerTransferSettings,
    /// By the image's sum: whole, or on its way in chunks.
    parts: RefCell<BTreeMap<String, Rc<Part>>>,
    /// Being fetched: the name, by the sum.
    coming: RefCell<BTreeMap<String, String>>,
    slots: Rc<Cell<usize>>,
    waits: Rc<Cell<usize>>,
    rate: Rc<RefCell<Rate>>,
}

impl ImageServer {
    /// With nothing to hand on yet.
    pub fn new(settings: PeerTransferSettings) -> Self {
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
    pub fn settings(&self) -> &PeerTransferSettings {
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
            image_server: self.clone(),
            sha256: sha256.to_owned(),
        }
    }

    /// The images that a heartbeat reports, those that are still being fetched first.
    pub fn reported_images(&self) -> Vec<ReportedImage> {
        let parts = self.parts.borrow();
        let mut all: Vec<&Rc<Part>> = parts
            .values()
            .filter(|p| p.serves_images() && p.count() > 0)
            .collect();
        all.sort_by_key(|p| p.is_complete());
        let reported = all.into_iter().map(|p| ReportedImage {
            image: p.about().image.name.clone(),
            parts: p.count() as u64,
            of: p.checksums().chunks() as u64,
        });
        reported.collect()
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
            Ok(part) if wanted.checksums => self.answer_checksums(&part),
            Ok(part) => self.answer_archive(&part, range).await,
            Err(refused) => *refused,
        }
    }

    /// The file of sums.
    fn answer_checksums(&self, part: &Part) -> Answer {
        let Some(slot) = Slot::take(&self.slots) else {
            return no_slot();
        };
        let text = part.text();
        let length = text.len() as u64;
        let tasks = self.send(ByteBody::Memory(text), length, slot);
        Response::new(Either::Right(tasks))
    }

    /// The archive, or a range of it.
    async fn answer_archive(&self, part: &Part, range: Option<&str>) -> Answer {
        let bytes = part.checksums().bytes;
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
        let source = ByteBody::File {
            file: Arc::new(file),
            from: wanted.start,
        };
        let tasks = self.send(source, wanted.end - wanted.start, slot);
        let mut response = Response::new(Either::Right(tasks));
        if range.is_some() {
            *response.status_mut() = StatusCode::PARTIAL_CONTENT;
            let of = format!("bytes {}-{}/{bytes}", wanted.start, wanted.end - 1);
            set_content_range(&mut response, &of);
        }
        response
    }

    fn find(&self, name: &str, sha256: Option<&str>) -> Result<Rc<Part>, Box<Answer>> {
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
            Some(part) if part.serves_images() => Ok(part),
            // Whoever waits for sums waits for those that are on their way only:
            // two that had a part each would wait for each other for ever.
            _ if comes => Err(no(503, "not checked yet", Some(RETRY_LATER_S))),
            _ => Err(no(404, "no such image", None)),
        }
    }

    /// Whether all chunks of a span are there; for those on their way it waits
    /// a little.
    async fn there(&self, part: &Part, wanted: &Range<u64>) -> bool {
        let chunks = part.checksums().within(wanted.start, wanted.end);
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

    /// Sends so many bytes, and holds the slot meanwhile.
    fn send(&self, bytes: ByteBody, length: u64, slot: Slot) -> Pieces {
        let upload = Upload {
            bytes,
            length,
            rate: self.rate.clone(),
            patience: Duration::from_secs_f64(
                self.settings.stall_s + length as f64 / MIN_RATE_BYTES_PER_S,
            ),
            slot,
        };
        upload.start()
    }
}

/// An image is on its way, as long as this is there.
pub struct Coming {
    image_server: Rc<ImageServer>,
    sha256: String,
}

impl Drop for Coming {
    fn drop(&mut self) {
        self.image_server.coming.borrow_mut().remove(&self.sha256);
    }
}
