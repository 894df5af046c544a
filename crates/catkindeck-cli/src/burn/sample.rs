//! Samples of counters, kept in a file of JSON lines.

use {
    crate::files::{append_file, replace_file, unreadable},
    catkindeck::{ErrorKind, ServiceError, SortedMap, record},
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// The good and all events of an objective since a process started.
#[record]
#[derive(Copy, Default)]
pub struct CountPair {
    /// The good events.
    pub good: u64,
    /// All events.
    pub total: u64,
}

/// What one source counted at a time.
#[record]
pub struct BurnSample {
    /// The time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The address of `/metrics`.
    pub source: String,
    /// The counts by objective.
    pub counts: SortedMap<String, CountPair>,
}

/// The file of samples.
#[derive(Debug)]
pub struct SampleFile {
    path: PathBuf,
    samples: Vec<BurnSample>,
    skipped: usize,
    ends_open: bool,
}

impl SampleFile {
    /// Reads the file; an absent file has no samples.
    ///
    /// Lines that are not samples are skipped and counted, such as the last one after a run that
    /// was interrupted while it wrote.
    ///
    /// # Errors
    ///
    /// Returns the fault of reading.
    pub fn open(path: &Path) -> Result<Self, ServiceError> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(unreadable(path, &error)),
        };
        let mut samples = Vec::new();
        let mut skipped = 0;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(sample) => samples.push(sample),
                Err(_) => skipped += 1,
            }
        }
        samples.sort_by_key(|sample: &BurnSample| sample.at_ms);
        Ok(Self {
            path: path.to_owned(),
            samples,
            skipped,
            ends_open: !text.is_empty() && !text.ends_with('\n'),
        })
    }

    /// Returns the samples in the order of their times.
    pub fn samples(&self) -> &[BurnSample] {
        &self.samples
    }

    /// Returns the number of lines that were no samples.
    pub fn skipped(&self) -> usize {
        self.skipped
    }

    /// Adds samples, and rewrites the file without old ones when half of it is old.
    ///
    /// # Errors
    ///
    /// Returns the fault of writing.
    pub fn append(
        &mut self,
        samples: Vec<BurnSample>,
        now_ms: u64,
        retention_ms: u64,
    ) -> Result<(), ServiceError> {
        let oldest_ms = now_ms.saturating_sub(retention_ms);
        self.samples.extend(samples.iter().cloned());
        let old = self
            .samples
            .partition_point(|sample| sample.at_ms < oldest_ms);
        if old > self.samples.len() / 2 {
            self.samples.drain(..old);
            return replace_file(&self.path, &to_lines(&self.samples)?);
        }
        let start = if self.ends_open { "\n" } else { "" };
        append_file(&self.path, &format!("{start}{}", to_lines(&samples)?))
    }
}

fn to_lines(samples: &[BurnSample]) -> Result<String, ServiceError> {
    let mut lines = String::new();
    for sample in samples {
        let line = serde_json::to_string(sample).map_err(|error| {
            ServiceError::not_run(ErrorKind::Internal, format!("cannot encode: {error}"))
        })?;
        lines.push_str(&line);
        lines.push('\n');
    }
    Ok(lines)
}
