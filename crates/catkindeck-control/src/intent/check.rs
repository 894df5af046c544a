//! Validation of single values and of references between declared objects.

use {
    catkindeck::{
        id::{KeyDigest, ObjectName},
        process::parse_address,
        settings::{SettingsError, SettingsText, nearest_word},
    },
    std::net::SocketAddr,
    toml::Spanned,
};

/// The inclusive bounds of a number.
#[derive(Debug, Clone, Copy)]
pub(super) struct NumberBounds {
    pub low: i64,
    pub high: i64,
    /// The value that is used if the field is absent.
    pub default: i64,
    /// The unit for error messages, in the plural.
    pub unit: &'static str,
}

/// A parsed value with the text that contains it, so that `TryFrom` conversions can report error
/// locations.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocatedValue<'a, R> {
    pub text: &'a SettingsText,
    pub raw: &'a R,
}

impl<R> LocatedValue<'_, R> {
    pub fn name(&self, field: &str, value: &Spanned<String>) -> Result<ObjectName, SettingsError> {
        ObjectName::try_from(value.get_ref().as_str()).map_err(|error| {
            let expected = format!("{}, got `{}`", error.detail, value.get_ref());
            self.text
                .field_error_at(value.span().start, field, expected)
        })
    }

    /// Returns the number, or its default if it is absent, after checking it against its bounds.
    pub fn number(
        &self,
        field: &str,
        value: Option<&Spanned<i64>>,
        bounds: NumberBounds,
    ) -> Result<u64, SettingsError> {
        let (number, offset) = value.map_or((bounds.default, 0), |value| {
            (*value.get_ref(), value.span().start)
        });
        match u64::try_from(number) {
            Ok(checked) if (bounds.low..=bounds.high).contains(&number) => Ok(checked),
            _ => {
                let NumberBounds {
                    low, high, unit, ..
                } = bounds;
                let expected = format!("expected {low} to {high} {unit}, got {number}");
                Err(self.text.field_error_at(offset, field, expected))
            }
        }
    }

    /// Does the same as [`Self::number`] for bounds that fit into 32 bits.
    pub fn number_u32(
        &self,
        field: &str,
        value: Option<&Spanned<i64>>,
        bounds: NumberBounds,
    ) -> Result<u32, SettingsError> {
        let number = self.number(field, value, bounds)?;
        Ok(u32::try_from(number).unwrap_or(u32::MAX))
    }

    /// Returns the index of `value` in the list of known words.
    pub fn index_of_word(
        &self,
        field: &str,
        value: &Spanned<String>,
        known: &[&str],
    ) -> Result<usize, SettingsError> {
        let choice = value.get_ref().as_str();
        known
            .iter()
            .position(|other| *other == choice)
            .ok_or_else(|| {
                let expected = format!("expected one of {}, got `{choice}`", known.join(", "));
                self.text
                    .field_error_at(value.span().start, field, expected)
            })
    }

    /// Checks an IP address with port.
    pub fn address(
        &self,
        field: &str,
        value: &Spanned<String>,
    ) -> Result<SocketAddr, SettingsError> {
        parse_address(self.text, field, value.get_ref()).map_err(|error| {
            self.text
                .field_error_at(value.span().start, field, error.expected)
        })
    }

    pub fn digest(&self, field: &str, value: &Spanned<String>) -> Result<KeyDigest, SettingsError> {
        parse_digest(value.get_ref()).ok_or_else(|| {
            // The value is not included, because it may be a key that was pasted by mistake.
            let expected = "expected 64 hexadecimal digits, as `catkindeck keys create` prints";
            self.text
                .field_error_at(value.span().start, field, expected)
        })
    }
}

/// Parses the digest of a key from 64 hexadecimal digits.
pub(super) fn parse_digest(text: &str) -> Option<KeyDigest> {
    let hash = blake3::Hash::from_hex(text.as_bytes()).ok()?;
    Some(KeyDigest(*hash.as_bytes()))
}

/// The location of a declared name, for errors that are found after all files are parsed.
#[derive(Debug, Clone, Copy)]
pub(super) struct SourceLocation<'a> {
    /// The text of the file.
    pub text: &'a SettingsText,
    /// The byte offset of the name in the text.
    pub offset: usize,
}

/// The sorted names of all objects of one kind, with their locations.
#[derive(Debug)]
pub(super) struct NameTable<'a> {
    kind: &'static str,
    names: Vec<(&'a str, SourceLocation<'a>)>,
}

impl<'a> NameTable<'a> {
    pub fn new(kind: &'static str) -> Self {
        Self {
            kind,
            names: Vec::new(),
        }
    }

    /// Adds a name, or returns an error if it is already declared.
    pub fn add_unique(
        &mut self,
        field: &str,
        name: &'a str,
        location: SourceLocation<'a>,
    ) -> Result<(), SettingsError> {
        match self.names.binary_search_by(|(other, _)| (*other).cmp(name)) {
            Ok(index) => {
                let first = self.names[index].1;
                let earlier = first.text.field_error_at(first.offset, field, "");
                let expected = format!(
                    "expected a new name, but {} `{name}` is declared at {}:{}",
                    self.kind, earlier.file, earlier.line
                );
                Err(location
                    .text
                    .field_error_at(location.offset, field, expected))
            }
            Err(index) => {
                self.names.insert(index, (name, location));
                Ok(())
            }
        }
    }

    /// Returns an error, with a similar name if there is one, unless `name` is declared.
    pub fn check_declared(
        &self,
        field: &str,
        name: &str,
        location: SourceLocation<'_>,
    ) -> Result<(), SettingsError> {
        if self
            .names
            .binary_search_by(|(other, _)| (*other).cmp(name))
            .is_ok()
        {
            return Ok(());
        }
        let known: Vec<&str> = self.names.iter().map(|(name, _)| *name).collect();
        let hint = nearest_word(name, &known).map_or_else(String::new, |nearest| {
            format!(", did you mean `{nearest}`?")
        });
        let expected = format!("no {} `{name}` is declared{hint}", self.kind);
        Err(location
            .text
            .field_error_at(location.offset, field, expected))
    }
}
