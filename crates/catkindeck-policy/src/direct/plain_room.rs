//! Who uses the places of a plain service, which callers and scorer calls share.

use {
    super::{
        plain_load::PlainPace,
        upstream::{UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
    },
    crate::limit::{ConcurrencyLimit, LimitSettings},
    catkindeck::{Moment, SortedMap, arena_key, id::ObjectName},
};

arena_key! {
    /// A scorer call that waits for a place, in order of arrival.
    ScoreTicket
}

/// The time after which a waiting scorer call precedes all that wait for less time, in
/// milliseconds. It is as long as a trainer waits between two reads of results.
pub const MAX_SCORE_WAIT_MS: u64 = 500;

/// The share of a service's places that scorer calls may always use, as a divisor. Without it,
/// refusals and slow upstreams could stop all scores.
const MIN_WINDOW_DIVISOR: u32 = 4;

/// The shortest time between two reductions of the window after refusals, in milliseconds. The
/// calls of one burst are refused together.
const REDUCTION_INTERVAL_MS: u64 = 100;

/// The weight of a new sample in the average that the window follows, as a divisor. The work of
/// single calls differs too much to show congestion.
const SAMPLE_DIVISOR: f64 = 8.0;

/// The number of samples from which the average is used.
const MIN_SAMPLES: u32 = 8;

/// The places of a plain service as one process sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlainPlaces {
    /// The places of all upstreams that accept work.
    pub total: u32,
    /// The places that this process may use now.
    pub free: u32,
    /// The part of these at upstreams that are not slow. A hedge anywhere else only adds load.
    pub spare: u32,
}

/// How a scorer call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScoreEnd {
    /// The scorer answered after this time, in milliseconds.
    Answered(f64),
    /// No upstream took the call, or none answered in time.
    Refused,
    /// The call was cancelled, or the scorer answered with a failure of its own. Neither shows how
    /// busy the service is.
    Cancelled,
}

/// Paces the scorer calls of one process to one plain service (`docs/design/room.md`).
///
/// Callers do not wait here: they use an upstream at once, and what they occupy is missing from
/// [`PlainPlaces::free`]. A burst of scorer calls thus queues in this process, where the last scores
/// of nearly complete groups precede the others, and not at the upstreams, where it would delay the
/// callers of all processes.
#[derive(Debug, Clone, Default)]
pub struct PlainRoom {
    limit: Option<ConcurrencyLimit>,
    running: u32,
    /// The part of the running calls that no upstream has got yet.
    unsent: u32,
    /// The waiting calls with their arrival.
    waiting: SortedMap<ScoreTicket, Moment>,
    next_ticket: u32,
    reduced_at: Option<Moment>,
    average_ms: f64,
    samples: u32,
}

impl PlainRoom {
    /// Adds a scorer call, which waits until [`Self::admit`] returns its ticket.
    pub fn enqueue(&mut self, now: Moment) -> ScoreTicket {
        let ticket = ScoreTicket(self.next_ticket);
        self.next_ticket = self.next_ticket.wrapping_add(1);
        self.waiting.insert(ticket, now);
        ticket
    }

    /// Removes a call that no longer waits for a place.
    pub fn withdraw(&mut self, ticket: ScoreTicket) {
        self.waiting.remove(&ticket);
    }

    /// Returns the calls that may be sent now; [`Self::record_sent`] and [`Self::finish`] must follow
    /// for each.
    ///
    /// `remaining` returns how many members of the call's group are unfinished. The fewest come
    /// first. At least one call is always under way, which finds out whether an upstream is usable.
    pub fn admit(
        &mut self,
        now: Moment,
        places: PlainPlaces,
        remaining: &dyn Fn(ScoreTicket) -> u32,
    ) -> Vec<ScoreTicket> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let window = self.window(now, places.total);
        let free = places.free.saturating_sub(self.unsent);
        let room = window.saturating_sub(self.running).min(free);
        let room = match self.running {
            0 => room.max(1),
            _ => room,
        };
        if room == 0 {
            return Vec::new();
        }
        let mut ranked: Vec<(bool, u32, Moment, ScoreTicket)> = self
            .waiting
            .iter()
            .map(
                |(ticket, since)| match now.since(*since) > MAX_SCORE_WAIT_MS {
                    true => (false, 0, *since, *ticket),
                    false => (true, remaining(*ticket), *since, *ticket),
                },
            )
            .collect();
        ranked.sort_unstable();
        ranked.truncate(room as usize);
        for (_, _, _, ticket) in &ranked {
            self.waiting.remove(ticket);
        }
        let admitted = ranked.len() as u32;
        self.running += admitted;
        self.unsent += admitted;
        ranked.into_iter().map(|(_, _, _, ticket)| ticket).collect()
    }

    /// Records that an admitted call is sent now, so that it counts at its upstream from now on.
    pub fn record_sent(&mut self) {
        self.unsent = self.unsent.saturating_sub(1);
    }

    /// Records the end of an admitted call.
    pub fn finish(&mut self, now: Moment, end: ScoreEnd) {
        self.running = self.running.saturating_sub(1);
        let Some(limit) = &mut self.limit else { return };
        match end {
            ScoreEnd::Cancelled => {}
            ScoreEnd::Refused => {
                let reduced_at = self.reduced_at;
                if reduced_at.is_none_or(|at| now.since(at) >= REDUCTION_INTERVAL_MS) {
                    self.reduced_at = Some(now);
                    limit.fail(now);
                }
            }
            ScoreEnd::Answered(elapsed_ms) => {
                self.average_ms = match self.samples {
                    0 => elapsed_ms,
                    _ => self.average_ms + (elapsed_ms - self.average_ms) / SAMPLE_DIVISOR,
                };
                self.samples = self.samples.saturating_add(1);
                // A latency of zero is not taken as a sample and only lets the limit grow.
                let sample_ms = match self.samples < MIN_SAMPLES {
                    true => 0.0,
                    false => self.average_ms,
                };
                limit.complete(now, sample_ms);
            }
        }
    }

    /// Returns the number of calls that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of calls that were admitted and have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of calls that may be under way at once.
    fn window(&mut self, now: Moment, places: u32) -> u32 {
        let settings = LimitSettings {
            cold: (places / MIN_WINDOW_DIVISOR).max(1),
            warm: places.max(1),
            cold_start_ms: 0,
            adaptive: true,
        };
        let limit = self
            .limit
            .get_or_insert_with(|| ConcurrencyLimit::new(settings, now));
        limit.configure(settings);
        limit.current()
    }
}

impl UpstreamTable {
    /// Returns the places of a plain service, without those at `excluded` upstreams.
    ///
    /// A slow upstream has no places while another one is not slow, except one for the request that
    /// shows whether it is still slow.
    pub fn plain_places(
        &self,
        now: Moment,
        service: &ObjectName,
        excluded: &[UpstreamKey],
    ) -> PlainPlaces {
        let typical_us = self.typical_latency_us(service);
        let mut places = PlainPlaces::default();
        let mut slow_free = 0;
        for (key, state) in self.iter() {
            let is_usable = state.record.service == *service
                && self.accepts_work(key)
                && !excluded.contains(&key);
            if !is_usable {
                continue;
            }
            places.total += state.record.slots;
            if state.in_backoff(now) {
                continue;
            }
            let free = state.record.slots.saturating_sub(state.in_flight);
            match state.plain.pace(now, typical_us) {
                PlainPace::Sound => places.spare += free,
                PlainPace::Probation => places.spare += free.min(1),
                PlainPace::Slow => slow_free += free,
            }
        }
        places.free = match places.spare {
            0 if !self.has_sound_upstream(now, service, typical_us) => slow_free,
            spare => spare,
        };
        places
    }

    /// Returns the lowest usual latency of a plain service's upstreams, in microseconds; zero if
    /// nothing was measured.
    pub fn typical_latency_us(&self, service: &ObjectName) -> u64 {
        let of_service = |state: &&UpstreamState| state.record.service == *service;
        let states = self.iter().map(|(_, state)| state).filter(of_service);
        let measured = states.map(|state| state.plain.typical_us());
        measured.filter(|typical| *typical > 0).min().unwrap_or(0)
    }

    /// Returns the time after which a plain service will probably answer a new request, in
    /// microseconds. Returns `None` if nothing recent shows it.
    pub fn plain_wait_us(&self, now: Moment, service: &ObjectName) -> Option<u64> {
        let mut shortest: Option<u64> = None;
        for (key, state) in self.iter() {
            if state.record.service != *service || !self.accepts_work(key) {
                continue;
            }
            let average_us = state.plain.fresh_average_us(now)?;
            let turns = u64::from(state.in_flight / state.record.slots.max(1)) + 1;
            let wait_us = average_us.saturating_mul(turns);
            shortest = Some(shortest.map_or(wait_us, |shortest| shortest.min(wait_us)));
        }
        shortest
    }

    /// Returns the time until the first upstream of a service is no longer in backoff, in
    /// milliseconds; zero if one is not.
    pub fn pause_ms(&self, now: Moment, service: &ObjectName) -> u64 {
        let usable = self
            .iter()
            .filter(|(key, state)| state.record.service == *service && self.accepts_work(*key));
        let pauses = usable.map(|(_, state)| state.backoff_ms(now));
        pauses.min().unwrap_or(0)
    }

    fn has_sound_upstream(&self, now: Moment, service: &ObjectName, typical_us: u64) -> bool {
        self.iter().any(|(key, state)| {
            state.record.service == *service
                && self.accepts_work(key)
                && !state.in_backoff(now)
                && state.plain.pace(now, typical_us) == PlainPace::Sound
        })
    }
}
