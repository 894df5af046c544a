//! Tests of the burn report.

mod support;

use {
    catkindeck::settings::SettingsText,
    catkindeck_cli::burn::{
        BurnObjectives, BurnReport, BurnSample, BurnState, CountPair, RawObjectives, SampleFile,
        burn_rates, count_scrape, render_page,
    },
    std::fs,
    support::{outcome, run},
    tempfile::tempdir,
};

const OBJECTIVES: &str = r#"
[[windows]]
name = "fast"
short_ms = 300000
long_ms = 3600000
burn_limit = 14.4

[[objectives]]
name = "courts"
indicator = "availability"
customer = "courts"
target_percent = 99.0

[[objectives]]
name = "first"
indicator = "first_token"
routes = ["draft"]
threshold_ms = 500
target_percent = 95.0

[[objectives]]
name = "desk"
indicator = "availability"
routes = ["shelf", "carton"]
target_percent = 99.9
"#;

const MINUTE: u64 = 60_000;

fn objectives(text: &str) -> Result<BurnObjectives, String> {
    let text = SettingsText::new("slo.toml", text);
    let raw: RawObjectives = text.parse().map_err(|fault| fault.to_string())?;
    BurnObjectives::try_from((&text, raw)).map_err(|fault| fault.to_string())
}

fn sample(minute: u64, source: &str, good: u64, total: u64) -> BurnSample {
    let pair = CountPair { good, total };
    BurnSample {
        at_ms: minute * MINUTE,
        source: source.to_owned(),
        counts: [("courts".to_owned(), pair)].into_iter().collect(),
    }
}

/// Guards against rates that are not the bad part divided by the allowed part of the window.
#[test]
fn a_rate_is_the_bad_part_over_the_allowed_part() {
    let objectives = objectives(OBJECTIVES).unwrap();
    // 100 requests a minute; from minute 60 on, 30 of them fail.
    let good = |minute: u64| minute * 100 - minute.saturating_sub(60) * 30;
    let samples: Vec<BurnSample> = (0..=120)
        .map(|minute| sample(minute, "a", good(minute), minute * 100))
        .collect();
    let at = |minute: u64| burn_rates(&objectives, &samples, minute * MINUTE).remove(0);
    let quiet = at(60);
    assert_eq!(
        (quiet.short.rate, quiet.state),
        (Some(0.0), BurnState::Fine)
    );
    // The short window burns at once; the alarm waits for the long one.
    let early = at(65);
    assert_eq!((early.short.bad, early.short.total), (150, 500));
    assert!((early.short.rate.unwrap() - 30.0).abs() < 1e-9);
    assert_eq!(
        (early.long.bad, early.long.total, early.state),
        (150, 6000, BurnState::Fine)
    );
    let late = at(120);
    assert!((late.long.rate.unwrap() - 30.0).abs() < 1e-9);
    assert_eq!(late.state, BurnState::Burning);
    assert_eq!(late.long.covered_ms, 60 * MINUTE);
    // Without traffic for a whole short window, the alarm ends.
    assert_eq!(at(126).state, BurnState::Fine);
    assert_eq!(at(300).state, BurnState::NoData);
}

/// Guards against negative or doubled counts when a process restarts or another one appears.
#[test]
fn restarts_and_new_sources_count_only_what_was_seen() {
    let objectives = objectives(OBJECTIVES).unwrap();
    let samples = [
        sample(0, "a", 1000, 1000),
        sample(1, "a", 1100, 1100),
        sample(2, "a", 40, 50),
        sample(2, "b", 5000, 9000),
        sample(3, "a", 90, 100),
        sample(3, "b", 5010, 9010),
    ];
    let burn = burn_rates(&objectives, &samples, 3 * MINUTE).remove(0);
    // Source a: 100 + 50 after the restart + 50; source b: 10 since it was first seen.
    assert_eq!((burn.short.total, burn.short.bad), (210, 10));
    assert_eq!(burn.short.covered_ms, 3 * MINUTE);
}

/// Guards against selectors that count other customers, answers or buckets.
#[test]
fn metrics_are_counted_by_subject_answer_and_bucket() {
    let page = r#"
# TYPE catkindeck_entry_customer_requests_total counter
catkindeck_entry_customer_requests_total{customer="courts",whole="true"} 90
catkindeck_entry_customer_requests_total{customer="courts",whole="false"} 10
catkindeck_entry_customer_requests_total{customer="other",whole="false"} 7
# TYPE catkindeck_entry_requests_total counter
catkindeck_entry_requests_total{route="shelf",answer="ok"} 50
catkindeck_entry_requests_total{route="shelf",answer="upstream_failed"} 3
catkindeck_entry_requests_total{route="carton",answer="overloaded"} 2
catkindeck_entry_requests_total{route="carton",answer="bad_request"} 4
catkindeck_entry_requests_total{route="draft",answer="upstream_failed"} 8
# TYPE catkindeck_entry_first_part_seconds histogram
catkindeck_entry_first_part_seconds_bucket{route="draft",le="0.25"} 60
catkindeck_entry_first_part_seconds_bucket{route="draft",le="0.5"} 70
catkindeck_entry_first_part_seconds_bucket{route="draft",le="1"} 75
catkindeck_entry_first_part_seconds_bucket{route="draft",le="+Inf"} 80
catkindeck_entry_first_part_seconds_sum{route="draft"} 12
catkindeck_entry_first_part_seconds_count{route="draft"} 80
"#;
    let objectives = objectives(OBJECTIVES).unwrap();
    let sample = count_scrape(&objectives, "a", page, 0).unwrap();
    let pair = |name: &str| {
        let pair = sample.counts.get(&name.to_owned()).unwrap();
        (pair.good, pair.total)
    };
    assert_eq!(pair("courts"), (90, 100));
    assert_eq!(pair("first"), (70, 80));
    // A caller's mistake does not count against the service.
    assert_eq!(pair("desk"), (54, 59));
    assert!(count_scrape(&objectives, "a", "no{ metrics at all }}\n\u{0}", 0).is_ok());
}

/// What is replaced in the objectives, by what, and what the message contains.
const FAULTS: &str = r#"
99.0 | 100.0 | slo.toml:12: target_percent: objective courts: expected above 0 and below 100
customer = "courts" | run = "r" | objective courts: expected either `routes` or `customer`
threshold_ms = 500\n |  | objective first: exactly `first_token` has a threshold
short_ms = 300000 | short_ms = 3600000 | slo.toml:4: short_ms
name = "first" | name = "courts" | expected unique names
"availability" | "avail" | unknown variant `avail`
"#;

/// Guards against objectives that can never be met or that measure nothing.
#[test]
fn faulty_objectives_are_refused() {
    for case in FAULTS.trim().lines() {
        let case = case.replace("\\n", "\n");
        let [from, to, expected] = case.split(" | ").collect::<Vec<_>>()[..] else {
            panic!("{case}");
        };
        let fault = objectives(&OBJECTIVES.replacen(from, to, 1)).unwrap_err();
        assert!(fault.contains(expected), "{fault}");
    }
}

/// Guards against a sample file that an interrupted run makes useless, or that grows for ever.
#[test]
fn the_sample_file_survives_a_cut_line_and_drops_old_samples() {
    let directory = tempdir().unwrap();
    let path = directory.path().join("burn.jsonl");
    let mut file = SampleFile::open(&path).unwrap();
    file.append(
        vec![sample(0, "a", 1, 1), sample(1, "a", 2, 2)],
        MINUTE,
        10 * MINUTE,
    )
    .unwrap();
    let mut text = fs::read_to_string(&path).unwrap();
    text.push_str("{\"at_ms\": 120");
    fs::write(&path, text).unwrap();
    let mut file = SampleFile::open(&path).unwrap();
    assert_eq!((file.samples().len(), file.skipped()), (2, 1));
    file.append(vec![sample(2, "a", 3, 3)], 2 * MINUTE, 10 * MINUTE)
        .unwrap();
    let file = SampleFile::open(&path).unwrap();
    assert_eq!((file.samples().len(), file.skipped()), (3, 1));
    let mut file = SampleFile::open(&path).unwrap();
    file.append(vec![sample(60, "a", 4, 4)], 60 * MINUTE, 10 * MINUTE)
        .unwrap();
    let file = SampleFile::open(&path).unwrap();
    assert_eq!((file.samples().len(), file.skipped()), (1, 0));
}

/// Guards against a page that needs other files, and against a wrong exit code.
#[test]
fn the_page_stands_alone_and_the_exit_code_tells_of_burning() {
    let directory = tempdir().unwrap();
    let objectives = objectives(OBJECTIVES).unwrap();
    let samples: Vec<BurnSample> = (0..=60)
        .map(|minute| sample(minute, "a", minute * 50, minute * 100))
        .collect();
    let report = BurnReport::new(
        &objectives,
        &samples,
        60 * MINUTE,
        vec!["<b>".to_owned()],
        0,
    );
    let page = render_page(&objectives, &report, &samples).unwrap();
    assert_eq!(page.matches("<svg").count(), 1);
    assert_eq!(page.matches("no data</p>").count(), 2);
    assert!(page.contains("1970-01-01 01:00 UTC") && page.contains("&lt;b&gt;"));
    let references = page.matches("http").count() - page.matches("xmlns=\"http").count();
    assert_eq!((references, page.matches("src=").count()), (0, 0));
    // Samples of long ago say nothing about now; a source that does not answer is named.
    fs::write(directory.path().join("slo.toml"), OBJECTIVES).unwrap();
    let words = [
        "burn",
        "--objectives",
        "slo.toml",
        "--samples",
        "s.jsonl",
        "--page",
        "p.html",
    ];
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let (code, text) = outcome(&run(directory.path(), nowhere, &words));
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("no data"), "{text}");
    let sources = format!("sources = [\"http://127.0.0.1:1/metrics\"]\n{OBJECTIVES}");
    fs::write(directory.path().join("slo.toml"), sources).unwrap();
    let (code, text) = outcome(&run(directory.path(), nowhere, &words));
    assert_eq!(code, 8, "{text}");
    assert!(
        text.contains("not read: http://127.0.0.1:1/metrics"),
        "{text}"
    );
    assert!(
        fs::read_to_string(directory.path().join("p.html"))
            .unwrap()
            .contains("Sources not read")
    );
}
