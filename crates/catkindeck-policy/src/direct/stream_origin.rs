//! Which software version began a stream that a caller takes up again
//! (`docs/platform.md`, "Software versions").

use {
    super::upstream::SoftwareVersion,
    crate::hash,
    catkindeck::{Moment, SortedMap, id::ObjectName, key},
    std::collections::VecDeque,
};

/// How long an origin is known, in milliseconds. Callers take up a stream within their deadline, which is
/// some seconds.
const ORIGIN_LIFETIME_MS: u64 = 60_000;

/// The most origins that are kept, about 50 bytes each. Beyond it the oldest are forgotten.
const ORIGIN_LIMIT: usize = 50_000;

/// Identifies a stream by the attempt that brought its first event. Callers choose the identifiers of their
/// attempts, so the customer and the service belong to it.
#[key]
pub struct StreamKey(u64);

impl StreamKey {
    pub fn new(service: &ObjectName, customer: Option<&ObjectName>, attempt: &str) -> Self {
        let customer = customer.map_or("", |customer| customer.as_str());
        let parts = [service.as_str(), customer, attempt];
        Self(hash::digest64(&parts.map(str::as_bytes)))
    }
}

/// What is known of the software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StreamOrigin {
    Version(SoftwareVersion),
    /// Streams of several versions have the same key.
    Ambiguous,
}

/// The origins of recent streams.
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    origins: SortedMap<StreamKey, (StreamOrigin, Moment)>,
    /// The streams in order of their latest record.
    order: VecDeque<(Moment, StreamKey)>,
}

impl OriginTable {
    /// Records that an upstream of a software version sent the first event of a stream, or an event after a
    /// take-up.
    pub fn record(&mut self, now: Moment, stream: StreamKey, software: &SoftwareVersion) {
        self.forget(now);
        let origin = StreamOrigin::Version(software.clone());
        let known = self
            .origins
            .get_or_insert_with(stream, || (origin.clone(), now));
        if known.0 != origin {
            known.0 = StreamOrigin::Ambiguous;
        }
        known.1 = now;
        self.order.push_back((now, stream));
    }

    /// Returns the software version that began a stream, if it is known.
    pub fn find(&self, now: Moment, stream: StreamKey) -> Option<&SoftwareVersion> {
        match self.origins.get(&stream)? {
            (StreamOrigin::Version(software), at) if now.since(*at) < ORIGIN_LIFETIME_MS => {
                Some(software)
            }
            _ => None,
        }
    }

    pub fn len(&self) -> usize {
        self.origins.len()
    }

    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn forget(&mut self, now: Moment) {
        while let Some((at, stream)) = self.order.front().copied() {
            let is_old = now.since(at) >= ORIGIN_LIFETIME_MS;
            if !is_old && self.order.len() < ORIGIN_LIMIT {
                return;
            }
            self.order.pop_front();
            // A later record of the same stream is further back in the order.
            if self.origins.get(&stream).is_some_and(|known| known.1 == at) {
                self.origins.remove(&stream);
            }
        }
    }
}

/// The software versions that were listed for one service.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    /// When each version was last listed.
    listed: SortedMap<(ObjectName, SoftwareVersion), Moment>,
    /// Since when the list has been read without gaps; `None` before the first read.
    since: Option<Moment>,
    last_read: Moment,
}

/// The longest time between two reads of the list in which no upstream appears and leaves unseen, in
/// milliseconds. An upstream is listed for three heartbeats of 1,200 ms at least.
const READ_GAP_MS: u64 = 3_000;

impl VersionHistory {
    /// Records a list that was read at `read`.
    pub fn record<'a>(
        &mut self,
        read: Moment,
        listed: impl Iterator<Item = (&'a ObjectName, &'a SoftwareVersion)>,
    ) {
        if self.since.is_none() || read.since(self.last_read) > READ_GAP_MS {
            self.since = Some(read);
        }
        self.last_read = read;
        for (service, software) in listed {
            self.listed
                .insert((service.clone(), software.clone()), read);
        }
        let oldest = read - ORIGIN_LIFETIME_MS;
        self.listed.retain(|_, at| *at >= oldest);
    }

    /// Returns whether the list has been read since a moment.
    pub fn is_read_since(&self, moment: Moment) -> bool {
        self.since.is_some() && self.last_read >= moment
    }

    /// Returns whether the latest list has upstreams of a service, all of one software version.
    pub fn lists_only(&self, service: &ObjectName, software: &SoftwareVersion) -> bool {
        let latest = self.listed.iter();
        let mut latest =
            latest.filter(|((listed, _), at)| listed == service && **at == self.last_read);
        latest
            .next()
            .is_some_and(|((_, first), _)| first == software)
            && latest.next().is_none()
    }

    /// Returns whether upstreams of several software versions of a service were listed within the time for which
    /// origins are known.
    pub fn has_several(&self, service: &ObjectName) -> bool {
        let versions = self.listed.keys().filter(|(listed, _)| listed == service);
        versions.count() > 1
    }

    /// Returns the only software version of a service within the last `span_ms`, if there was just one and the
    /// list was read all that time. A stream that is not older than that was begun by it.
    pub fn only_version(
        &self,
        now: Moment,
        service: &ObjectName,
        span_ms: u64,
    ) -> Option<&SoftwareVersion> {
        let is_covered = span_ms < ORIGIN_LIFETIME_MS
            && now.since(self.last_read) <= READ_GAP_MS
            && now.since(self.since?) >= span_ms;
        if !is_covered {
            return None;
        }
        let mut recent = self.listed.iter().filter(|((listed, _), at)| {
            listed == service && now.since(**at) <= span_ms + READ_GAP_MS
        });
        let ((_, software), _) = recent.next()?;
        recent.next().is_none().then_some(software)
    }
}
