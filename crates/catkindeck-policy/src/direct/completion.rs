//! Prediction of when a text would be complete at an engine, for starting and moving runs
//! (`docs/design/completion.md`).
//!
//! Load pattern: steps that are decided by their longest texts, on engines of different speeds with
//! short slow phases.

use {
    super::{
        selection::{EngineCost, EngineQuery, RateLimits},
        service_speed::{ServiceSpeed, SpeedRange},
        text_length::TextDemand,
        upstream::{UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
    },
    catkindeck::Moment,
};

/// The part of a fast engine's slots that is kept for texts longer than the mean while other engines
/// have free slots, in percent.
const LONG_TEXT_PERCENT: u32 = 34;

/// How much later a text may be complete at an engine that has its prompt in the cache, in
/// microseconds. Reading a prompt again also delays the other texts of that engine, and displaces
/// other prompts from its cache.
const CACHED_PREFERENCE_US: f64 = 60_000.0;

/// How much later a text may be complete at an engine with an open connection, in microseconds.
/// A handshake costs CPU time at two small hosts.
const CONNECTED_PREFERENCE_US: f64 = 30_000.0;

/// How much later a text may be complete at an engine in the same availability zone, in
/// microseconds.
const ZONE_PREFERENCE_US: f64 = 5_000.0;

/// The number of events from which a run may move. The engine's recent speed includes them, so that
/// a run is not judged by what was known before it began.
const MIN_MOVE_EVENTS: u64 = 3;

/// A run moves if its text is predicted to be complete earlier elsewhere by at least this time, in
/// microseconds. It is several times what a run costs to start.
const MIN_MOVE_GAIN_US: f64 = 1_000_000.0;

/// A run moves if its text is predicted to be complete earlier elsewhere by at least this share of
/// the remaining time, in percent. The length of the text is uncertain at both engines alike, so the
/// margin only exceeds the usual error of measured speeds.
const MIN_MOVE_GAIN_PERCENT: f64 = 15.0;

/// A prediction for a run that should move to another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunMove {
    pub target: UpstreamKey,
    /// The remaining time at the current engine, in milliseconds.
    pub here_ms: u64,
    /// The remaining time at the target, in milliseconds.
    pub there_ms: u64,
}

/// The expected rest of a text at the engines of its service.
#[derive(Clone, Copy)]
struct TextForecast<'a> {
    speed: &'a ServiceSpeed,
    range: SpeedRange,
    remaining_events: f64,
    is_long: bool,
}

impl UpstreamTable {
    /// Records the time between two events of a stream in microseconds.
    pub fn record_event_gap(&mut self, now: Moment, key: UpstreamKey, gap_us: u64) {
        let slope = self.service_speed_mut(key).load_slope();
        let state = self.get_mut(key);
        state.record_event_gap(gap_us);
        let load = state.load_with(now, 0);
        let deviation = state.speed.record(now, gap_us, load, slope);
        let mean_factor = 1.0 + slope * (load - deviation.map_or(0.0, |deviation| deviation.load));
        let speed = self.service_speed_mut(key);
        if let Some(deviation) = deviation {
            speed.record_deviation(deviation, mean_factor);
        }
        if speed.is_range_due(now) {
            self.update_range(now, key);
        }
    }

    /// Records the time from the start of a run to its first event in microseconds.
    pub fn record_first_event(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        is_cached: bool,
        elapsed_us: u64,
    ) {
        let slope = self.service_speed_mut(key).load_slope();
        let state = self.get(key);
        let usual_us = state
            .speed
            .usual_gap_us(now, state.load_with(now, 0), slope);
        if let Some(usual_us) = usual_us {
            let extra_us = (elapsed_us as f64 - usual_us).max(0.0);
            self.service_speed_mut(key)
                .record_first_event(is_cached, extra_us);
        }
    }

    /// Records the length of a complete text.
    pub fn record_text(&mut self, key: UpstreamKey, text: TextDemand) {
        self.service_speed_mut(key).record_text(text);
    }

    /// Selects the engine with a free slot at which a text is predicted to be complete first. Short
    /// texts leave some slots of fast engines to long ones.
    ///
    /// While speeds are not known, this is [`Self::select_engine`].
    pub fn select_engine_for_text(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        text: TextDemand,
        limits: RateLimits,
    ) -> Option<UpstreamKey> {
        let Some(forecast) = self.forecast(query, text) else {
            return self.select_engine(now, query, limits);
        };
        let cost = |state: &UpstreamState| forecast.cost(now, query, state);
        self.cheapest_engine(now, query, limits, &|state| state.is_permitted(now), &cost)
    }

    /// Selects the engine for which a permit should be requested, if only permits are missing.
    pub fn select_limited_engine_for_text(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        text: TextDemand,
        limits: RateLimits,
    ) -> Option<UpstreamKey> {
        let Some(forecast) = self.forecast(query, text) else {
            return self.select_limited_engine(now, query, limits);
        };
        let cost = |state: &UpstreamState| forecast.cost(now, query, state);
        self.cheapest_engine(now, query, limits, &|state| state.awaits_permit(now), &cost)
    }

    /// Returns whether completion can be predicted for a text: at least half of the service's engines
    /// that this process uses have a known speed, and enough texts were complete.
    pub fn is_completion_known(&self, query: &EngineQuery<'_>, text: TextDemand) -> bool {
        self.forecast(query, text).is_some()
    }

    /// Returns the time until a text is complete in milliseconds, if its run at an engine starts now and
    /// is counted there.
    pub fn predict_assigned_ms(
        &self,
        now: Moment,
        key: UpstreamKey,
        query: &EngineQuery<'_>,
        text: TextDemand,
    ) -> Option<u64> {
        let forecast = self.forecast(query, text)?;
        Some(milliseconds(forecast.start_us(
            now,
            query,
            self.get(key),
            0,
        )))
    }

    /// Returns whether and where a run at `current` with `run_events` events should move. `query`
    /// excludes the current engine.
    ///
    /// The item starts again only after its run at the current engine ended, so it never runs twice
    /// at a time. The margins keep a run from moving to and fro between similar engines.
    pub fn move_for_text(
        &self,
        now: Moment,
        current: UpstreamKey,
        query: &EngineQuery<'_>,
        (text, run_events): (TextDemand, u64),
        limits: RateLimits,
    ) -> Option<RunMove> {
        if run_events < MIN_MOVE_EVENTS {
            return None;
        }
        let forecast = self.forecast(query, text)?;
        let here_us = forecast.rest_us(now, self.get(current), 0);
        let gain_us = MIN_MOVE_GAIN_US.max(here_us * MIN_MOVE_GAIN_PERCENT / 100.0);
        if here_us <= gain_us {
            return None;
        }
        let target = self.select_engine_for_text(now, query, text, limits)?;
        let there_us = forecast.start_us(now, query, self.get(target), 1);
        (there_us + gain_us < here_us).then(|| RunMove {
            target,
            here_ms: milliseconds(here_us),
            there_ms: milliseconds(there_us),
        })
    }

    fn forecast(&self, query: &EngineQuery<'_>, text: TextDemand) -> Option<TextForecast<'_>> {
        let speed = self.service_speed(query.service)?;
        let remaining_events = speed.lengths().remaining_events(text)?;
        Some(TextForecast {
            speed,
            range: speed.range()?,
            remaining_events,
            is_long: remaining_events > speed.lengths().mean_events(),
        })
    }

    fn update_range(&mut self, now: Moment, key: UpstreamKey) {
        let service = self.get(key).record.service.clone();
        let engines = self
            .iter()
            .filter(|(_, state)| state.record.service == service);
        let used = engines.filter(|(_, state)| state.in_flight > 0 || state.speed.is_recent(now));
        let gaps_us: Vec<Option<u64>> = used
            .map(|(_, state)| state.speed.idle_gap_us(now))
            .collect();
        let used = gaps_us.len();
        let gaps_us = gaps_us.into_iter().flatten().collect();
        self.service_speed_mut(key).update_range(now, gaps_us, used);
    }
}

impl TextForecast<'_> {
    fn cost(&self, now: Moment, query: &EngineQuery<'_>, state: &UpstreamState) -> EngineCost {
        let mut cost_us = self.start_us(now, query, state, 1);
        let preferences = [
            (is_cached(query, state), CACHED_PREFERENCE_US),
            (
                (query.connected)(state.record.address),
                CONNECTED_PREFERENCE_US,
            ),
            (state.record.zone == *query.zone, ZONE_PREFERENCE_US),
        ];
        for (_, cost) in preferences.iter().filter(|(applies, _)| !applies) {
            cost_us += cost;
        }
        EngineCost {
            in_backoff: state.in_backoff(now),
            is_cold: state.is_cold(now),
            is_kept: self.is_kept_for_long(now, state),
            cost: cost_us as u64,
        }
    }

    /// Returns whether a slot of an engine should stay free for a longer text.
    fn is_kept_for_long(&self, now: Moment, state: &UpstreamState) -> bool {
        let gap_us = state.speed.idle_gap_us(now);
        let free = state.places(now).saturating_sub(state.in_flight);
        !self.is_long
            && gap_us.is_some_and(|gap_us| self.range.is_fast(gap_us))
            && free * 100 <= state.places(now) * LONG_TEXT_PERCENT
    }

    /// Returns the time until the text is complete if its run starts now with `added` more requests at
    /// the engine, in microseconds.
    fn start_us(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        state: &UpstreamState,
        added: u32,
    ) -> f64 {
        let first_us = self.speed.first_event_us(is_cached(query, state));
        first_us + self.rest_us(now, state, added)
    }

    /// Returns the time for the remaining events with `added` more requests at the engine, in
    /// microseconds.
    fn rest_us(&self, now: Moment, state: &UpstreamState, added: u32) -> f64 {
        let slope = self.speed.load_slope();
        let idle_us = state.speed.idle_gap_us(now).unwrap_or(self.range.median_us);
        let gap_us = idle_us as f64 * (1.0 + slope * state.load_with(now, added));
        let usual_us = self.remaining_events * gap_us;
        // Slow phases that are to come prolong the text by the same factor at every engine.
        let expected_us = usual_us * self.speed.phase_factor();
        let Some(phase) = state.speed.slow_phase(now) else {
            return expected_us;
        };
        let lost_in_phase_us = phase.remaining_us * (1.0 - 1.0 / phase.factor);
        let lost_us = lost_in_phase_us.min(usual_us * (phase.factor - 1.0));
        expected_us + lost_us * phase.probability
    }
}

fn is_cached(query: &EngineQuery<'_>, state: &UpstreamState) -> bool {
    query.part.is_some_and(|part| state.has_prompt_part(part))
}

fn milliseconds(time_us: f64) -> u64 {
    (time_us / 1_000.0).round() as u64
}
