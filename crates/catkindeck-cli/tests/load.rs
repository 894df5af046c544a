//! Tests of the load generator.

mod support;

use {
    catkindeck::settings::SettingsText,
    catkindeck_cli::load::{
        ComparedSide, LoadProfile, LoadReport, LoadSchedule, RawLoad, generate_load,
    },
    support::start_entry,
};

fn profile(text: &str) -> Result<LoadProfile, String> {
    let text = SettingsText::new("load.toml", text);
    let raw: RawLoad = text.parse().map_err(|fault| fault.to_string())?;
    LoadProfile::try_from((&text, raw)).map_err(|fault| fault.to_string())
}

const OPEN_LOOP_PROFILE: &str = r#"
targets = ["http://127.0.0.1:1"]
loop = "open"
rate_per_s = 1000
duration_ms = 100
[[customers]]
name = "large"
share = 6
[[customers]]
name = "small"
"#;

/// Guards against a schedule that favours a customer or slows down with the service.
#[test]
fn schedule_keeps_shares_rates_and_pairs() {
    let schedule = LoadSchedule::new(&profile(OPEN_LOOP_PROFILE).unwrap(), false);
    let small = (0..7000).filter(|index| schedule.request(*index).customer == 1);
    assert_eq!(small.count(), 1000);
    assert_eq!(schedule.request(2500).due_us, Some(2_500_000));
    let compared = LoadSchedule::new(&profile(OPEN_LOOP_PROFILE).unwrap(), true);
    let (entry, direct) = (compared.request(8), compared.request(9));
    assert_eq!(
        (entry.side, direct.side),
        (ComparedSide::Entry, ComparedSide::Direct)
    );
    assert_eq!(
        (entry.number, entry.customer),
        (direct.number, direct.customer)
    );
}

/// Guards against accepting invalid profiles, which would give misleading results.
#[test]
fn invalid_profiles_are_rejected() {
    let cases = [
        (
            "rate_per_s = 1000\n",
            "",
            "an open loop needs the field `rate_per_s`",
        ),
        ("\"open\"", "\"closed\"", "expected no rate"),
        (
            "share = 6",
            "share = 0",
            "load.toml:8: share: expected share from 1 to 1000, got 0",
        ),
        (
            "http://127.0.0.1:1",
            "127.0.0.1:1",
            "expected an address such as http://",
        ),
        ("duration_ms", "duration", "did you mean `duration_ms`?"),
    ];
    for (from, to, expected) in cases {
        let fault = profile(&OPEN_LOOP_PROFILE.replacen(from, to, 1)).unwrap_err();
        assert!(fault.contains(expected), "{fault}");
    }
}

/// Guards against truncated responses counted as finished, and against sides that do not alternate.
#[test]
fn complete_truncated_and_direct_responses_are_distinguished() {
    let address = start_entry();
    let profile = profile(&format!(
        r#"
targets = ["http://{address}"]
direct = "http://{address}"
loop = "closed"
threads = 2
duration_ms = 60000
request_limit = 60
[[customers]]
name = "complete"
model = "m"
direct_path = "/engine"
[[customers]]
name = "streamed"
model = "m"
stream = true
direct_path = "/engine"
[[customers]]
name = "truncated"
model = "m"
stream = true
path = "/truncated"
direct_path = "/engine"
"#
    ));
    let profile = profile.unwrap();
    let stats = generate_load(&profile, true).unwrap();
    let entry = &stats.entry;
    assert_eq!(
        (entry[0].finished, entry[1].finished),
        (10, 10),
        "{stats:?}"
    );
    assert_eq!(entry[0].tokens, 2 * entry[0].finished);
    assert_eq!(entry[1].tokens, 2 * entry[1].finished);
    assert_eq!(entry[2].finished, 0);
    assert_eq!(entry[2].failed.get(&"truncated".to_owned()), Some(&10));
    assert!(
        stats
            .direct
            .iter()
            .all(|side| (side.finished, side.tokens) == (10, 20))
    );
    let report = LoadReport::new(&profile, &stats);
    assert!(report.ratio.is_some());
    assert_eq!(report.worst_customer.as_deref(), Some("truncated"));
}
