//! Tests of the burn report.

mod support;

use {
    catkindeck::settings::SettingsText,
    catkindeck_cli::burn::{
        BurnObjectives, BurnReport, BurnSample, BurnState, EventCounts, RawObjectives, SampleFile,
        burn_rates, count_page_events, render_page,
    },
    std::fs,
    support::{exit_code_and_output, run},
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
    let pair = EventCounts { good, total };
    BurnSample {
        at_ms: minute * MINUTE,
        source: source.to_owned(),
        counts: [("courts".to_owned(), pair)].into_iter().collect(),
    }
}

/// Guards against rates other than the bad share of the events divided by the error budget.
#[test]
fn burn_rate_is_bad_share_over_error_budget() {
    let objectives = objectives(OBJECTIVES).unwrap();
    // 100 requests a minute; from minute 60 on, 30 of them fail.
    let good = |minute: u64| minute * 100 - minute.saturating_sub(60) * 30;
    let samples: Vec<BurnSample> = (0..=120)
        .map(|minute| sample(minute, "a", good(minute), minute * 100))
        .collect();
    let at = |minute: u64| burn_rates(&objectives, &samples, minute * MINUTE).remove(0);
    let before_failures = at(60);
    assert_eq!(
        (before_failures.short.rate, before_failures.state),
        (Some(0.0), BurnState::Fine)
    );
    // The short window exceeds the limit at once; the alarm also needs the long window.
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
    // Without traffic during the short window, the alarm ends.
    assert_eq!(at(126).state, BurnState::Fine);
    assert_eq!(at(300).state, BurnState::NoData);
}

/// Guards against negative or double counting after a process restarts or a source is added.
#[test]
fn restarts_and_new_sources_count_only_observed_events() {
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
    // Source a: 100, 50 after the restart and 50; source b: 10 since its first sample.
    assert_eq!((burn.short.total, burn.short.bad), (210, 10));
    assert_eq!(burn.short.covered_ms, 3 * MINUTE);
}

/// Guards against selectors that match other customers, answers or buckets.
#[test]
fn events_are_counted_by_label_and_bucket() {
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
    let sample = count_page_events(&objectives, "a", page, 0).unwrap();
    let pair = |name: &str| {
        let pair = sample.counts.get(&name.to_owned()).unwrap();
        (pair.good, pair.total)
    };
    assert_eq!(pair("courts"), (90, 100));
    assert_eq!(pair("first"), (70, 80));
    // An error of the caller does not count as a failure of the service.
    assert_eq!(pair("desk"), (54, 59));
    assert!(count_page_events(&objectives, "a", "no{ metrics at all }}\n\u{0}", 0).is_ok());
}

/// Text to replace in the objectives, its replacement, and a part of the expected message.
const INVALID_OBJECTIVES: &str = r#"
99.0 | 100.0 | slo.toml:12: target_percent: objective courts: expected above 0 and below 100
customer = "courts" | run = "r" | objective courts: expected either `routes` or `customer`
threshold_ms = 500\n |  | objective first: required by `first_token`, not allowed for other indicators
short_ms = 300000 | short_ms = 3600000 | slo.toml:4: short_ms
name = "first" | name = "courts" | expected unique names
"availability" | "avail" | unknown variant `avail`
"#;

/// Guards against accepting objectives that cannot be met or that measure nothing.
#[test]
fn invalid_objectives_are_rejected() {
    for case in INVALID_OBJECTIVES.trim().lines() {
        let case = case.replace("\\n", "\n");
        let [from, to, expected] = case.split(" | ").collect::<Vec<_>>()[..] else {
            panic!("{case}");
        };
        let fault = objectives(&OBJECTIVES.replacen(from, to, 1)).unwrap_err();
        assert!(fault.contains(expected), "{fault}");
    }
}

/// Guards against a sample file that is unreadable after an interrupted write, or grows without bound.
#[test]
fn sample_file_tolerates_truncated_line_and_drops_expired_samples() {
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
    assert_eq!((file.samples().len(), file.skipped_lines()), (2, 1));
    file.append(vec![sample(2, "a", 3, 3)], 2 * MINUTE, 10 * MINUTE)
        .unwrap();
    let file = SampleFile::open(&path).unwrap();
    assert_eq!((file.samples().len(), file.skipped_lines()), (3, 1));
    let mut file = SampleFile::open(&path).unwrap();
    file.append(vec![sample(60, "a", 4, 4)], 60 * MINUTE, 10 * MINUTE)
        .unwrap();
    let file = SampleFile::open(&path).unwrap();
    assert_eq!((file.samples().len(), file.skipped_lines()), (1, 0));
}

/// Guards against a page that references other files, and against wrong exit codes.
#[test]
fn page_is_self_contained_and_exit_code_reports_status() {
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
    // Without recent samples there is no data; a source that cannot be read is listed.
    fs::write(directory.path().join("slo.toml"), OBJECTIVES).unwrap();
    let arguments = [
        "burn",
        "--objectives",
        "slo.toml",
        "--samples",
        "s.jsonl",
        "--page",
        "p.html",
    ];
    let unused_address = "127.0.0.1:1".parse().unwrap();
    let (code, text) = exit_code_and_output(&run(directory.path(), unused_address, &arguments));
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("no data"), "{text}");
    let sources = format!("sources = [\"http://127.0.0.1:1/metrics\"]\n{OBJECTIVES}");
    fs::write(directory.path().join("slo.toml"), sources).unwrap();
    let (code, text) = exit_code_and_output(&run(directory.path(), unused_address, &arguments));
    assert_eq!(code, 8, "{text}");
    assert!(
        text.contains("cannot scrape http://127.0.0.1:1/metrics"),
        "{text}"
    );
    assert!(
        fs::read_to_string(directory.path().join("p.html"))
            .unwrap()
            .contains("Sources that could not be scraped")
    );
}
