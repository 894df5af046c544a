//! Counter samples, stored in a JSON Lines file.

use {
    crate::files::{append_file, read_error, replace_file},
    catkindeck::{ErrorKind, ServiceError, SortedMap, record},
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// The good events and all events of an objective since a process started.
#[record]
#[derive(Copy, Default)]
pub struct EventCounts {
    pub good: u64,
    pub total: u64,
}

/// The counts of one source at one time.
#[record]
pub struct BurnSample {
    /// The time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The URL of the `/metrics` endpoint.
    pub source: String,
    /// The counts by objective.
    pub counts: SortedMap<String, EventCounts>,
}

/// A file of samples, read into memory.
#[derive(Debug)]
pub struct SampleFile {
    path: PathBuf,
    samples: Vec<BurnSample>,
    skipped_lines: usize,
    missing_newline: bool,
}

impl SampleFile {
    /// Reads the file; a missing file has no samples.
    ///
    /// Malformed lines are skipped and counted, such as an incomplete last line after an interrupted
    /// run.
    ///
    /// # Errors
    ///
    /// Returns the error of reading the file.
    pub fn open(path: &Path) -> Result<Self, ServiceError> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(read_error(path, &error)),
        };
        let mut samples = Vec::new();
        let mut skipped_lines = 0;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(sample) => samples.push(sample),
                Err(_) => skipped_lines += 1,
            }
        }
        samples.sort_by_key(|sample: &BurnSample| sample.at_ms);
        Ok(Self {
            path: path.to_owned(),
            samples,
            skipped_lines,
            missing_newline: !text.is_empty() && !text.ends_with('\n'),
        })
    }

    /// Returns the samples, sorted by time.
    pub fn samples(&self) -> &[BurnSample] {
        &self.samples
    }

    /// Returns the number of malformed lines.
    pub fn skipped_lines(&self) -> usize {
        self.skipped_lines
    }

    /// Appends samples; rewrites the file without expired samples once they are more than half of it.
    ///
    /// # Errors
    ///
    /// Returns the error of writing the file.
    pub fn append(
        &mut self,
        samples: Vec<BurnSample>,
        now_ms: u64,
        retention_ms: u64,
    ) -> Result<(), ServiceError> {
        let cutoff_ms = now_ms.saturating_sub(retention_ms);
        self.samples.extend(samples.iter().cloned());
        let expired_count = self
            .samples
            .partition_point(|sample| sample.at_ms < cutoff_ms);
        if expired_count > self.samples.len() / 2 {
            self.samples.drain(..expired_count);
            return replace_file(&self.path, &encode_lines(&self.samples)?);
        }
        let separator = if self.missing_newline { "\n" } else { "" };
        append_file(
            &self.path,
            &format!("{separator}{}", encode_lines(&samples)?),
        )
    }
}

fn encode_lines(samples: &[BurnSample]) -> Result<String, ServiceError> {
    let mut lines = String::new();
    for sample in samples {
        let line = serde_json::to_string(sample).map_err(|error| {
            ServiceError::not_run(
                ErrorKind::Internal,
                format!("cannot encode a sample: {error}"),
            )
        })?;
        lines.push_str(&line);
        lines.push('\n');
    }
    Ok(lines)
}
