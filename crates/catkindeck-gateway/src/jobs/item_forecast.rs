//! Predictions for the run of an item: when it should be complete, and whether it should move
//! (`docs/design/completion.md`).

use {
    super::{
        item::ItemRun,
        owned::{OwnedJob, route_of},
        scheduler::engine_query,
    },
    crate::{
        core::GatewayCore,
        upstream_guard::{UpstreamGuard, rate_limits},
    },
    catkindeck_policy::direct::{
        EngineQuery, ItemKey, RolloutJob, TextDemand, UpstreamTable, choose_service,
    },
};

/// What was expected of a run when it was assigned to its engine.
#[derive(Debug, Clone, Copy)]
pub struct RunForecast {
    /// The expected duration in milliseconds; `None` while it is not known.
    pub predicted_ms: Option<u64>,
    /// Whether the engine probably had the prompt in its cache.
    pub is_cached: bool,
    /// The typical time between events at the engines of the service, in microseconds; 1 if nothing was measured.
    pub typical_gap_us: u64,
}

impl RunForecast {
    /// Creates the forecast of a run at the engine that `guard` holds.
    pub fn new(
        roster: &UpstreamTable,
        guard: &UpstreamGuard,
        query: &EngineQuery<'_>,
        text: Option<TextDemand>,
    ) -> Self {
        let state = roster.get(guard.key);
        Self {
            predicted_ms: text
                .and_then(|text| roster.predict_assigned_ms(guard.begun, guard.key, query, text)),
            is_cached: query.part.is_some_and(|part| state.has_prompt_part(part)),
            typical_gap_us: roster.typical_event_gap(query.service),
        }
    }
}

/// Returns what is known about the length of an item's text, or `None` if predictions are switched off.
pub fn text_demand(core: &GatewayCore, state: &RolloutJob, key: ItemKey) -> Option<TextDemand> {
    let is_on = core.settings().scheduling.predicted_completion.is_on();
    is_on.then(|| item_length(state, key))
}

/// Returns the expected length of an item's text and its length so far.
pub fn item_length(state: &RolloutJob, key: ItemKey) -> TextDemand {
    TextDemand {
        expected_tokens: state.item(key).expected_tokens,
        events: state.progress(key).last_event.unwrap_or(0),
    }
}

/// Returns why a run should move to another engine, or `None` if it should go on. The run took `gap_us`
/// microseconds for `events` events.
pub fn reason_to_move(
    core: &GatewayCore,
    job: &OwnedJob,
    run: &ItemRun,
    (events, gap_us): (u64, u64),
) -> Option<String> {
    let state = job.job.borrow();
    if state.is_ended() {
        return None;
    }
    let text = text_demand(core, &state, run.key);
    let typical_gap_us = run.forecast.typical_gap_us;
    if text.is_none() && !UpstreamTable::is_slow_run(typical_gap_us, events, gap_us) {
        return None;
    }
    let route = route_of(core, &job.spec)?;
    let settings = core.settings();
    let item = state.item(run.key);
    let service = choose_service(&route, &item.id);
    let query = EngineQuery {
        excluded: &[run.guard.key],
        software: state.required_software(run.key),
        connected: &|address| core.upstream_client.has_idle(address),
        ..engine_query(&state, run.key, &service, &settings.zone)
    };
    let limits = rate_limits(core, &service);
    let roster = core.roster.borrow();
    let now = core.now();
    let known = text.filter(|text| roster.is_completion_known(&query, *text));
    let Some(text) = known else {
        let speed = (typical_gap_us, events, gap_us);
        let moves = roster.should_move_run(now, &query, limits, speed);
        return moves.then(|| {
            format!(
                "the mean time between events is {} us, far above the typical {typical_gap_us} us",
                gap_us / events.max(1),
            )
        });
    };
    let chosen = roster.move_for_text(now, run.guard.key, &query, (text, events), limits)?;
    Some(format!(
        "the text would take {} ms more here, but {} ms at {}",
        chosen.here_ms,
        chosen.there_ms,
        roster.get(chosen.target).record.id
    ))
}
