//! Shares of the state service's rate limits that the controllers take.

use super::Node;

/// Fraction of the state service's request rate that the leader may use.
const LEADER_REQUEST_SHARE: f64 = 0.5;
/// Fraction of the state service's write rate that the leader may use.
const LEADER_WRITE_SHARE: f64 = 0.65;
/// Fraction of the state service's rate limits that all controllers together use.
const STATE_RATE_USED: f64 = 0.95;
/// Number of requests that a controller may send to the state service in one burst after an idle
/// period.
const REQUEST_BURST: f64 = 4.0;
/// Divisor for the size of a write burst. After an idle period, a controller may send its writes
/// per second divided by this number to the state service at once.
const CHANGE_BURSTS_PER_SECOND: f64 = 4.0;
/// Maximum number of writes that a controller may send to the state service in one burst after an
/// idle period.
const CHANGE_BURST_MAX: f64 = 4.0;
/// Number of writes per second that each controller may send to the state service at least, however
/// low its share is.
const CHANGE_RATE_MIN: f64 = 0.5;

impl Node {
    /// Sets this controller's share of the state service's rate limits. The leader gets most of
    /// the writes because it claims and completes tasks. The other controllers accept and
    /// cancel a few jobs at a time, so they may send some writes in one burst. If the
    /// controllers together exceed the limit, the state service reports that, and the sender
    /// waits.
    ///
    /// With several shards, each owner gets the leader's share for each of its shards, and all
    /// controllers get equal parts of the rest.
    pub(super) fn update_rate_limits(&self) {
        let others = self.cfg.others.len() as f64;
        let cores = self.shards.owned();
        let shards = cores.first().map_or(1, |c| c.scope.of);
        let shards = f64::from(shards.max(self.view_shards()));
        let here = cores.len() as f64;
        drop(cores);
        let part = |leader: f64| match (here > 0.0, others > 0.0) {
            (_, false) => 1.0,
            _ if shards > 1.0 => leader * here / shards + (1.0 - leader) / (others + 1.0),
            (true, true) => leader,
            (false, true) => (1.0 - leader) / others,
        };
        let rps = self.cfg.state_rps * STATE_RATE_USED;
        self.state
            .requests
            .set_rate(rps * part(LEADER_REQUEST_SHARE), REQUEST_BURST);
        let changes = self.state.change_rate() * STATE_RATE_USED;
        let burst = (changes / CHANGE_BURSTS_PER_SECOND).min(CHANGE_BURST_MAX);
        self.state.writes.set_rate(
            (changes * part(LEADER_WRITE_SHARE)).max(CHANGE_RATE_MIN),
            burst,
        );
    }
}
