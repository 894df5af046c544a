//! Reading TOML settings and declarations with errors that name file, line, field and expectation.

use {
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
    thiserror::Error,
};

/// A fault in a settings or declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {field}: {expected}")]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// The line, counted from one; zero if the file could not be read.
    pub line: usize,
    /// The field, or `-` if the fault is not in one.
    pub field: String,
    /// What is wrong and what is expected.
    pub expected: String,
}

/// The text of a TOML file with its name, kept so that later checks can name the line.
#[derive(Debug, Clone)]
pub struct SettingsText {
    file: String,
    text: String,
}

impl SettingsText {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns an error with line zero if the file cannot be read.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Ok(Self { file, text }),
            Err(error) => Err(SettingsError {
                file,
                line: 0,
                field: "-".to_owned(),
                expected: format!("expected a readable TOML file, got: {error}"),
            }),
        }
    }

    /// Makes a text that does not come from a file.
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Returns the file's name, to which relative paths inside it refer.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Parses the text into a raw type, which declares `#[serde(deny_unknown_fields)]`.
    ///
    /// # Errors
    ///
    /// Returns the first fault; for an unknown field the nearest known name is suggested.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, SettingsError> {
        toml::from_str(&self.text).map_err(|error| self.describe(&error))
    }

    /// Makes an error for a field whose value is not acceptable.
    pub fn fault(&self, field: &str, expected: impl Into<String>) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            line: self.line_of_field(field),
            field: field.to_owned(),
            expected: expected.into(),
        }
    }

    /// Makes an error for the value at a byte offset, as `toml::Spanned` gives it.
    ///
    /// Files with lists of tables repeat field names, so the name alone does not give the line.
    pub fn fault_at(
        &self,
        offset: usize,
        field: &str,
        expected: impl Into<String>,
    ) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            line: self.line_at(offset),
            field: field.to_owned(),
            expected: expected.into(),
        }
    }

    fn describe(&self, error: &toml::de::Error) -> SettingsError {
        let offset = error.span().map_or(0, |span| span.start);
        let line = self.line_at(offset);
        let message = error.message();
        let line_text = self.text.lines().nth(line.saturating_sub(1)).unwrap_or("");
        let mut quoted = message.split('`').skip(1).step_by(2);
        let (field, expected) = if message.starts_with("unknown field") {
            let field = quoted.next().unwrap_or("-").to_owned();
            let known: Vec<&str> = quoted.collect();
            (field.clone(), describe_unknown(&field, &known))
        } else if message.starts_with("missing field") {
            (
                quoted.next().unwrap_or("-").to_owned(),
                "this field is required".to_owned(),
            )
        } else {
            let field = line_text.split('=').next().unwrap_or("-").trim();
            (
                if field.is_empty() { "-" } else { field }.to_owned(),
                in_terms_of_toml(message),
            )
        };
        SettingsError {
            file: self.file.clone(),
            line,
            field,
            expected,
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
            + 1
    }

    fn line_of_field(&self, field: &str) -> usize {
        let last = field.rsplit('.').next().unwrap_or(field);
        let position = self.text.lines().position(|line| {
            line.trim_start()
                .strip_prefix(last)
                .is_some_and(|rest| rest.trim_start().starts_with('='))
        });
        position.map_or(1, |index| index + 1)
    }
}

/// Restates what the parser expected in the terms of TOML instead of Rust.
fn in_terms_of_toml(message: &str) -> String {
    let Some((got, expected)) = message.rsplit_once("expected ") else {
        return message.to_owned();
    };
    let expected = match expected {
        "u8" | "u16" | "u32" | "u64" | "usize" => "a whole number that is not negative",
        "i8" | "i16" | "i32" | "i64" | "isize" => "a whole number",
        "f32" | "f64" => "a number",
        "a sequence" => "a list",
        "a map" => "a table",
        other if other.starts_with("struct ") => "a table",
        other => other,
    };
    format!("{got}expected {expected}")
}

fn describe_unknown(field: &str, known: &[&str]) -> String {
    match nearest_word(field, known) {
        Some(nearest) => {
            format!(
                "unknown field, did you mean `{nearest}`? known: {}",
                known.join(", ")
            )
        }
        None => "unknown field".to_owned(),
    }
}

/// Returns the known word with the fewest edits from `word`.
pub fn nearest_word<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .copied()
        .min_by_key(|candidate| edit_distance(word, candidate))
}

/// Returns the number of single-character edits between two words (Levenshtein distance).
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, other) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(letter != *other);
            diagonal = row[column + 1];
            row[column + 1] = substitution.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
