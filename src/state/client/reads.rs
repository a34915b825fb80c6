//! Paged reads of all keys, and the watch of their changes.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use sorrelhinge_protocol::state::{Events, Item, Page};

use super::super::budget::RequestPriority;
use super::super::error::StateError;
use super::super::record;
use super::request::StateRequest;
use super::StateClient;
use crate::types::Revision;

/// Time limit for the answer to a watch, in addition to the time that the watch asks the
/// service to wait.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for the answer to a read of one page of keys.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time that the read of one page of keys waits for the budget.
const PAGE_BUDGET_WAIT: Duration = Duration::from_secs(5);

/// All keys, read page by page.
#[derive(Debug)]
pub struct StoreSnapshot {
    /// A watch from this revision misses no change that is absent from `items`.
    pub store_revision: Revision,
    /// Keys with their values.
    pub items: Vec<Item>,
}

impl StateClient {
    /// Returns the changes under [`record::ROOT`] after `since`, waiting up to `wait` for a
    /// change.
    ///
    /// # Errors
    ///
    /// The revision is too old, or the store refused or did not answer.
    pub async fn follow(
        &self,
        since: Revision,
        wait: Duration,
        priority: RequestPriority,
    ) -> Result<Events, StateError> {
        let path = format!(
            "/follow?under={}&since={since}&block_ms={}",
            record::ROOT,
            wait.as_millis()
        );
        let request = StateRequest {
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            priority,
            timeout: wait + WATCH_TIMEOUT,
        };
        let reply = self.call(request).await?;
        match reply.status {
            410 => Err(StateError::TooOld),
            _ => reply.read(),
        }
    }

    /// Reads all keys under [`record::ROOT`].
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn read_all(&self) -> Result<StoreSnapshot, StateError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first: Option<Revision> = None;
        loop {
            let page = self.read_page(items.last()).await?;
            // The pages show the store at different revisions. The watch starts at the
            // revision of the first page, so it repeats changes that later pages show
            // already, which does no harm.
            let store_revision = *first.get_or_insert(page.store_revision);
            let more = page.truncated && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok(StoreSnapshot {
                    store_revision,
                    items,
                });
            }
        }
    }

    /// Reads the keys after `last`, as many as fit into one answer.
    async fn read_page(&self, last: Option<&Item>) -> Result<Page, StateError> {
        let since = last.map_or(String::new(), |i| format!("&since={}", i.key));
        let path = format!("/keys?under={}{since}&most=1000", record::ROOT);
        let request = StateRequest {
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            priority: RequestPriority::Within(PAGE_BUDGET_WAIT),
            timeout: PAGE_TIMEOUT,
        };
        self.call(request).await?.read()
    }
}
