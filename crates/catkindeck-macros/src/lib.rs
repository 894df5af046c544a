//! Attribute macros for common sets of derives.
//!
//! The workspace has three kinds of plain data. All types of one kind have the same derives, so
//! that a type can move between crates unchanged. See `docs/design.md`, section 10.

use proc_macro::TokenStream;

const KEY_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
                   ::serde::Serialize, ::serde::Deserialize)]";
const RECORD_DERIVES: &str =
    "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";
const MESSAGE_DERIVES: &str =
    "#[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]";

/// Derives the traits of small `Copy` identifiers, including `Ord` for use in sorted vectors.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(KEY_DERIVES, item)
}

/// Derives the traits of plain data that may contain floating-point numbers.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(RECORD_DERIVES, item)
}

/// Derives the traits of messages and stored values, which have total equality.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(MESSAGE_DERIVES, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives.parse().expect("the derive list is valid Rust");
    output.extend(item);
    output
}
