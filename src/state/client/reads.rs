//! Reads of all keys in pages, and the watch of their changes.

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

/// For the answer to a watch, beyond the time that it was asked to wait.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// For a page of keys.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// A page of keys waits so long for the budget.
const PAGE_PATIENCE: Duration = Duration::from_secs(5);

/// All keys, as they were read page by page.
#[derive(Debug)]
pub struct StoreSnapshot {
    /// A watch from this revision on misses no change of what was read.
    pub store_revision: Revision,
    /// The keys with their values.
    pub items: Vec<Item>,
}

impl StateClient {
    /// Changes under [`record::ROOT`] after `since`, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// The revision is too old, or the store refused or did not answer.
    pub async fn follow(
        &self,
        since: Revision,
        wait: Duration,
        urgency: RequestPriority,
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
            urgency,
            timeout: wait + WATCH_TIMEOUT,
        };
        let reply = self.call(request).await?;
        match reply.status {
            410 => Err(StateError::TooOld),
            _ => reply.read(),
        }
    }

    /// All keys under [`record::ROOT`].
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn read_all(&self) -> Result<StoreSnapshot, StateError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first: Option<Revision> = None;
        loop {
            let page = self.read_page(items.last()).await?;
            // Pages are of different moments: changes after the first one are
            // followed again, which does no harm.
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

    /// The keys after `last`, as many as one answer has.
    async fn read_page(&self, last: Option<&Item>) -> Result<Page, StateError> {
        let since = last.map_or(String::new(), |i| format!("&since={}", i.key));
        let path = format!("/keys?under={}{since}&most=1000", record::ROOT);
        let request = StateRequest {
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            urgency: RequestPriority::Within(PAGE_PATIENCE),
            timeout: PAGE_TIMEOUT,
        };
        self.call(request).await?.read()
    }
}
