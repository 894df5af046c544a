//! Parsing of TOML settings and declarations, with errors that name the file, line and field.

use {
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
    thiserror::Error,
};

/// An error in a settings or declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {field}: {expected}")]
pub struct SettingsError {
    pub file: String,
    /// The line, counted from one; zero if the file could not be read.
    pub line: usize,
    /// The field, or `-` if the error does not concern one.
    pub field: String,
    /// What is wrong and what is expected.
    pub expected: String,
}

/// The text of a TOML file and the file's name, kept so that later validation can report lines.
#[derive(Debug, Clone)]
pub struct SettingsText {
    file: String,
    text: String,
}

impl SettingsText {
    /// Reads a settings file.
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
                expected: format!("cannot read the file: {error}"),
            }),
        }
    }

    /// Creates a text that does not come from a file; `file` is the name used in errors.
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Returns the file's path, relative to which the paths inside it are resolved.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Parses the text into a raw type, which must declare `#[serde(deny_unknown_fields)]`.
    ///
    /// # Errors
    ///
    /// Returns the first error; for an unknown field it suggests the closest known name.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, SettingsError> {
        toml::from_str(&self.text).map_err(|error| self.parse_error(&error))
    }

    /// Creates an error for a field whose value is invalid.
    pub fn field_error(&self, field: &str, expected: impl Into<String>) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            line: self.line_of_field(field),
            field: field.to_owned(),
            expected: expected.into(),
        }
    }

    /// Creates an error for the value at a byte offset, as reported by `toml::Spanned`.
    ///
    /// In files with arrays of tables a field name occurs several times, so the name alone does not
    /// determine the line.
    pub fn field_error_at(
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

    fn parse_error(&self, error: &toml::de::Error) -> SettingsError {
        let offset = error.span().map_or(0, |span| span.start);
        let line = self.line_at(offset);
        let message = error.message();
        let line_text = self.text.lines().nth(line.saturating_sub(1)).unwrap_or("");
        let mut quoted = message.split('`').skip(1).step_by(2);
        let (field, expected) = if message.starts_with("unknown field") {
            let field = quoted.next().unwrap_or("-").to_owned();
            let known: Vec<&str> = quoted.collect();
            (field.clone(), unknown_field(&field, &known))
        } else if message.starts_with("missing field") {
            (
                quoted.next().unwrap_or("-").to_owned(),
                "this field is required".to_owned(),
            )
        } else {
            let field = line_text.split('=').next().unwrap_or("-").trim();
            (
                if field.is_empty() { "-" } else { field }.to_owned(),
                toml_expectation(message),
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

/// Rephrases the parser's expectation in terms of TOML types instead of Rust types.
fn toml_expectation(message: &str) -> String {
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

fn unknown_field(field: &str, known: &[&str]) -> String {
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

/// Returns the known word with the smallest edit distance to `word`.
pub fn nearest_word<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .copied()
        .min_by_key(|candidate| edit_distance(word, candidate))
}

/// Returns the Levenshtein distance between two words.
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
