//! Reading of counters at the sources.

use {
    super::{objective::BurnObjectives, sample::BurnSample, selector::count_pair},
    prometheus_parse::Scrape,
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::Duration,
    },
    ureq::Agent,
};

/// The longest time for one source.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of sources read at once; the target size has 6,300 of them.
const READERS: usize = 16;

/// The largest page of metrics, in bytes.
const PAGE_LIMIT: u64 = 16 << 20;

/// Reads all sources and returns their samples and the sources that did not answer, with the cause.
pub fn read_sources(objectives: &BurnObjectives, now_ms: u64) -> (Vec<BurnSample>, Vec<String>) {
    let config = Agent::config_builder()
        .timeout_global(Some(SOURCE_TIMEOUT))
        .build();
    let agent = config.new_agent();
    let next = AtomicUsize::new(0);
    let read_next = || {
        let mut outcomes = Vec::new();
        while let Some(source) = objectives.sources.get(next.fetch_add(1, Ordering::Relaxed)) {
            let sample = read_page(&agent, source)
                .and_then(|page| count_scrape(objectives, source, &page, now_ms));
            outcomes.push(sample.map_err(|cause| format!("{source}: {cause}")));
        }
        outcomes
    };
    let outcomes: Vec<Result<BurnSample, String>> = thread::scope(|scope| {
        let readers = READERS.min(objectives.sources.len());
        let readers: Vec<_> = (0..readers).map(|_| scope.spawn(read_next)).collect();
        let outcomes = readers.into_iter().filter_map(|reader| reader.join().ok());
        outcomes.flatten().collect()
    });
    let mut samples = Vec::new();
    let mut failures = Vec::new();
    for outcome in outcomes {
        match outcome {
            Ok(sample) => samples.push(sample),
            Err(failure) => failures.push(failure),
        }
    }
    samples.sort_by(|left, right| left.source.cmp(&right.source));
    failures.sort();
    (samples, failures)
}

/// Counts the objectives' events on a page of metrics.
///
/// # Errors
///
/// Returns the cause if the page cannot be parsed.
pub fn count_scrape(
    objectives: &BurnObjectives,
    source: &str,
    page: &str,
    at_ms: u64,
) -> Result<BurnSample, String> {
    let lines = page.lines().map(|line| Ok(line.to_owned()));
    let scrape = Scrape::parse(lines).map_err(|error| error.to_string())?;
    let counts = objectives.objectives.iter().map(|objective| {
        let pair = count_pair(&objective.good, &objective.total, &scrape);
        (objective.name.clone(), pair)
    });
    Ok(BurnSample {
        at_ms,
        source: source.to_owned(),
        counts: counts.collect(),
    })
}

fn read_page(agent: &Agent, source: &str) -> Result<String, String> {
    let mut response = agent
        .get(source)
        .call()
        .map_err(|error| error.to_string())?;
    let body = response.body_mut().with_config().limit(PAGE_LIMIT);
    body.read_to_string().map_err(|error| error.to_string())
}
