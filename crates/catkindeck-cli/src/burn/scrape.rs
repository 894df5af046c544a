//! Scrapes counters from the sources.

use {
    super::{objective::BurnObjectives, sample::BurnSample, selector::count_events},
    prometheus_parse::Scrape,
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::Duration,
    },
    ureq::Agent,
};

/// The timeout for scraping one source.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of sources scraped concurrently; a deployment of the target size has 6,300 of them.
const MAX_CONCURRENT_SCRAPES: usize = 16;

/// The largest metrics page, in bytes.
const MAX_PAGE_BYTES: u64 = 16 << 20;

/// Scrapes all sources and returns their samples, and the sources that failed with the cause.
pub fn scrape_sources(objectives: &BurnObjectives, now_ms: u64) -> (Vec<BurnSample>, Vec<String>) {
    let config = Agent::config_builder()
        .timeout_global(Some(SCRAPE_TIMEOUT))
        .build();
    let agent = config.new_agent();
    let next_index = AtomicUsize::new(0);
    let scrape_next = || {
        let mut outcomes = Vec::new();
        while let Some(source) = objectives
            .sources
            .get(next_index.fetch_add(1, Ordering::Relaxed))
        {
            let sample = fetch_page(&agent, source)
                .and_then(|page| count_page_events(objectives, source, &page, now_ms));
            outcomes.push(sample.map_err(|cause| format!("{source}: {cause}")));
        }
        outcomes
    };
    let outcomes: Vec<Result<BurnSample, String>> = thread::scope(|scope| {
        let workers = MAX_CONCURRENT_SCRAPES.min(objectives.sources.len());
        let workers: Vec<_> = (0..workers).map(|_| scope.spawn(scrape_next)).collect();
        let outcomes = workers.into_iter().filter_map(|worker| worker.join().ok());
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

/// Counts the events of each objective on a metrics page.
///
/// # Errors
///
/// Returns the cause if the page cannot be parsed.
pub fn count_page_events(
    objectives: &BurnObjectives,
    source: &str,
    page: &str,
    at_ms: u64,
) -> Result<BurnSample, String> {
    let lines = page.lines().map(|line| Ok(line.to_owned()));
    let scrape = Scrape::parse(lines).map_err(|error| error.to_string())?;
    let counts = objectives.objectives.iter().map(|objective| {
        let counts = count_events(&objective.good, &objective.total, &scrape);
        (objective.name.clone(), counts)
    });
    Ok(BurnSample {
        at_ms,
        source: source.to_owned(),
        counts: counts.collect(),
    })
}

fn fetch_page(agent: &Agent, source: &str) -> Result<String, String> {
    let mut response = agent
        .get(source)
        .call()
        .map_err(|error| error.to_string())?;
    let body = response.body_mut().with_config().limit(MAX_PAGE_BYTES);
    body.read_to_string().map_err(|error| error.to_string())
}
