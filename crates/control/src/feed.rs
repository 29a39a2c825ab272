//! [`Feeds`]: the queues of updates to subscribers, bounded in number and length.

use async_channel::Receiver;
use async_channel::Sender;
use crocustally_wire::Update;

/// Updates that may be queued for one subscriber.
const UPDATES_QUEUED_MAX: usize = 256;
/// Feeds of one gateway. It has one, and another one while it reconnects or is replaced by a process of
/// the same name.
const FEEDS_PER_GATEWAY_MAX: usize = 4;
/// Feeds for each megabyte of the process's memory; a feed that nobody reads takes some 20 KB.
const FEEDS_PER_MB: usize = 4;

/// The queue of one subscriber.
#[derive(Debug)]
struct Feed {
    gateway: u64,
    tx: Sender<Update>,
    /// Empties the queue when the feed is closed, as its reader may never do so.
    rx: Receiver<Update>,
}

impl Feed {
    /// Whether the reader still exists.
    fn is_read(&self) -> bool {
        self.tx.receiver_count() > 1
    }

    fn close(&self) {
        self.tx.close();
        while self.rx.try_recv().is_ok() {}
    }
}

/// The feeds of all subscribers, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Feeds {
    feeds: Vec<Feed>,
    max: usize,
}

impl Feeds {
    /// Creates the feeds of a process that may use `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: usize) -> Self {
        Self { feeds: Vec::new(), max: memory_mb.saturating_mul(FEEDS_PER_MB).max(1) }
    }

    /// Number of open feeds.
    pub(crate) fn len(&self) -> usize {
        self.feeds.len()
    }

    /// Opens a feed of a gateway with its first update.
    ///
    /// The oldest feed of the same gateway is closed if there are too many, and otherwise the one with
    /// the longest queue.
    pub(crate) fn open(&mut self, gateway: u64, initial: Update) -> Receiver<Update> {
        self.feeds.retain(Feed::is_read);
        let own = || self.feeds.iter().enumerate().filter(|(_, f)| f.gateway == gateway);
        let victim = if own().count() >= FEEDS_PER_GATEWAY_MAX {
            own().next().map(|(i, _)| i)
        } else if self.feeds.len() >= self.max {
            let longest = self.feeds.iter().enumerate().rev().max_by_key(|(_, f)| f.tx.len());
            longest.map(|(i, _)| i)
        } else {
            None
        };
        if let Some(i) = victim {
            self.feeds.remove(i).close();
            log::warn!(feeds = self.feeds.len(); "feed closed: too many are open");
            metrics::counter!("crocustally_feeds_closed", "cause" => "number").increment(1);
        }
        // Unbounded, since a bounded channel reserves its whole length at once.
        let (tx, rx) = async_channel::unbounded();
        let _ = tx.try_send(initial);
        self.feeds.push(Feed { gateway, tx, rx: rx.clone() });
        rx
    }

    /// Queues an update in every feed. One whose queue is full is closed, and its subscriber has to
    /// subscribe again.
    pub(crate) fn broadcast(&mut self, update: &Update) {
        self.feeds.retain(|feed| {
            if !feed.is_read() {
                return false;
            }
            if feed.tx.len() >= UPDATES_QUEUED_MAX {
                log::warn!("subscriber disconnected: its update queue is full");
                metrics::counter!("crocustally_feeds_closed", "cause" => "queue").increment(1);
                feed.close();
                return false;
            }
            feed.tx.try_send(update.clone()).is_ok()
        });
    }
}
