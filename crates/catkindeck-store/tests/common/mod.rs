//! The configuration of the property tests.

use {
    proptest::test_runner::{Config, RngSeed},
    std::sync::OnceLock,
};

static SEED: OnceLock<u64> = OnceLock::new();

/// Returns a configuration with a fixed seed, or, if `CATKINDECK_FUZZ_CASES` is set, with that many
/// cases and a random seed, which is printed. `CATKINDECK_FUZZ_SEED` overrides either seed.
pub fn fuzz_config(cases: u32) -> Config {
    let requested_cases = std::env::var("CATKINDECK_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse::<u32>().ok());
    // The macros request the configuration more than once, so the seed is generated only once.
    let seed = *SEED.get_or_init(|| choose_seed(requested_cases.is_some()));
    Config {
        cases: requested_cases.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        // Long sequences shrink slowly; a few hundred iterations give a readable case.
        max_shrink_iters: 400,
        ..Config::default()
    }
}

fn choose_seed(random: bool) -> u64 {
    let given = std::env::var("CATKINDECK_FUZZ_SEED")
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    let seed = match given {
        Some(seed) => seed,
        None if random => getrandom::u64().expect("the operating system provides randomness"),
        None => 0x00c0_ffee,
    };
    if random {
        eprintln!("fuzz seed: CATKINDECK_FUZZ_SEED={seed}");
    }
    seed
}
