//! Attribute macros for the common sets of derives.
//!
//! The workspace has three kinds of plain data; each kind carries the same derives everywhere, so
//! that a type can move between crates without a new derive list. See `docs/design.md`, section 10.

use proc_macro::TokenStream;

const KEY: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
                   ::serde::Serialize, ::serde::Deserialize)]";
const RECORD: &str = "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";
const MESSAGE: &str =
    "#[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]";

/// Derives the set for small `Copy` identifiers, which are ordered so that sorted vectors work.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(KEY, item)
}

/// Derives the set for plain data that may hold floating-point numbers.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(RECORD, item)
}

/// Derives the set for messages and stored values, whose equality is total.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(MESSAGE, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives.parse().expect("the derive list is valid Rust");
    output.extend(item);
    output
}
