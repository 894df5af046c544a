//! Configuration of the property tests.

use {
    proptest::test_runner::{Config, RngSeed},
    std::sync::OnceLock,
};

static SEED: OnceLock<u64> = OnceLock::new();

/// Returns a configuration with a fixed seed or, if `CATKINDECK_FUZZ_CASES` is set, with that
/// number of cases and a random seed, which is printed.
pub fn fuzz_config(cases: u32) -> Config {
    let longer = std::env::var("CATKINDECK_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse::<u32>().ok());
    // The macros evaluate the configuration more than once, but the seed must stay the same.
    let seed = *SEED.get_or_init(|| draw_seed(longer.is_some()));
    Config {
        cases: longer.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        // Long sequences shrink slowly, and a few hundred iterations already result in a readable
        // case.
        max_shrink_iters: 400,
        ..Config::default()
    }
}

fn draw_seed(random: bool) -> u64 {
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
