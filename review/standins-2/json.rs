//! A small JSON reader and writer.

use std::fmt::Write;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            letter if (letter as u32) < 0x20 => {
                write!(quoted, "\\u{:04x}", letter as u32).expect("a string takes all text");
            }
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, word: &[u8]) -> Option<()> {
    let found = bytes.get(*at..)?.starts_with(word);
    found.then(|| *at += word.len())
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                if take(bytes, at, b"}").is_some() {
                    return Some(Json::Map(fields));
                }
                if !fields.is_empty() {
                    take(bytes, at, b",")?;
                    skip_space(bytes, at);
                }
                let Json::Text(name) = parse_value(bytes, at)? else {
                    return None;
                };
                skip_space(bytes, at);
                take(bytes, at, b":")?;
                fields.push((name, parse_value(bytes, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                if take(bytes, at, b"]").is_some() {
                    return Some(Json::List(items));
                }
                if !items.is_empty() {
                    take(bytes, at, b",")?;
                }
                items.push(parse_value(bytes, at)?);
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => take(bytes, at, b"true").map(|()| Json::Bool(true)),
        b'f' => take(bytes, at, b"false").map(|()| Json::Bool(false)),
        b'n' => take(bytes, at, b"null").map(|()| Json::Null),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escape = *bytes.get(*at)?;
                *at += 1;
                let letter = match escape {
                    b'n' => '\n',
                    b'r' => '\r',
                    b't' => '\t',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                    }
                    other => other as char,
                };
                let mut buffer = [0; 4];
                text.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
            }
            byte => text.push(byte),
        }
    }
}
