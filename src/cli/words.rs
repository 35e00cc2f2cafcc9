//! The options and words of one command, by name.

use std::ffi::OsString;
use std::net::SocketAddr;

use lexopt::{Arg, Parser};

use super::{Error, Input, Topic};
use crate::clock::Millis;
use crate::settings::unit::{HttpAddress, Span};

/// What stands after a command's name.
#[derive(Debug)]
pub struct Words {
    topic: Topic,
    options: Vec<(&'static str, OsString)>,
    flags: Vec<&'static str>,
    rest: Vec<OsString>,
}

impl Words {
    /// Reads all that is left on the command line.
    pub fn read(mut parser: Parser, topic: Topic) -> Result<Self, Error> {
        let shape = topic.shape();
        let mut words = Self { topic, options: Vec::new(), flags: Vec::new(), rest: Vec::new() };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Short('h') | Arg::Long("help") => words.flags.push("help"),
                Arg::Long(name) => {
                    if let Some(flag) = find(shape.flags, name) {
                        words.flags.push(flag);
                    } else if let Some(option) = find(shape.options, name) {
                        words.set(option, parser.value()?)?;
                    } else {
                        let name = format!("--{name}");
                        return Err(Error::Unexpected { word: name, topic });
                    }
                }
                Arg::Value(word) if words.rest.len() < shape.words_max => words.rest.push(word),
                Arg::Value(word) => {
                    let word = word.to_string_lossy().into_owned();
                    return Err(Error::Unexpected { word, topic });
                }
                Arg::Short(letter) => {
                    return Err(Error::Unexpected { word: format!("-{letter}"), topic });
                }
            }
        }
        Ok(words)
    }

    /// Whether a flag is given.
    pub fn is_set(&self, flag: &str) -> bool {
        self.flags.contains(&flag)
    }

    /// The word at `index`, if there is one and it is Unicode.
    pub fn word(&self, index: usize) -> Option<&str> {
        self.rest.get(index).and_then(|word| word.to_str())
    }

    /// The last word, which names an input.
    pub fn file(&self, name: &'static str) -> Result<Input, Error> {
        let wanted = self.topic.shape().words_max;
        let word = self.rest.get(wanted - 1).ok_or_else(|| self.lacks(name))?;
        Ok(if word == "-" { Input::Stdin } else { Input::File(word.into()) })
    }

    /// The value of an option that has to be given.
    pub fn required(&self, name: &'static str) -> Result<&OsString, Error> {
        self.value(name).ok_or_else(|| self.lacks(name))
    }

    /// The value of an option, if it is given.
    pub fn text(&self, name: &'static str) -> Result<Option<String>, Error> {
        self.optional(name, "text in Unicode, not empty", |text| {
            Some(text.to_owned()).filter(|text| !text.is_empty())
        })
    }

    /// The value of an option as `parse` reads it, if it is given.
    pub fn optional<T>(
        &self,
        name: &'static str,
        expected: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<Option<T>, Error> {
        let Some(value) = self.value(name) else { return Ok(None) };
        let parsed = value.to_str().and_then(parse);
        parsed.map(Some).ok_or_else(|| Error::Value {
            option: name,
            value: value.to_string_lossy().into_owned(),
            expected,
        })
    }

    /// A span of time, if it is given.
    pub fn time(&self, name: &'static str) -> Result<Option<Millis>, Error> {
        let above_zero = |text: &str| Span::parse(text).filter(|span| *span > Millis::ZERO);
        self.optional(name, "a time with its unit, such as 500ms or 5s", above_zero)
    }

    /// The address of an HTTP server.
    pub fn address(&self, name: &'static str) -> Result<SocketAddr, Error> {
        let address = self.optional(name, "http://IP:PORT", HttpAddress::parse)?;
        address.ok_or_else(|| self.lacks(name))
    }

    /// The addresses of one or more HTTP servers, separated by commas.
    pub fn addresses(&self, name: &'static str) -> Result<Vec<SocketAddr>, Error> {
        let list = |text: &str| text.split(',').map(HttpAddress::parse).collect();
        let addresses = self.optional(name, "http://IP:PORT[,http://IP:PORT…]", list)?;
        addresses.ok_or_else(|| self.lacks(name))
    }

    /// The error for something that has to be given and is not.
    pub fn lacks(&self, name: &'static str) -> Error {
        Error::Missing { name, topic: self.topic }
    }

    fn value(&self, name: &str) -> Option<&OsString> {
        self.options.iter().find(|(option, _)| *option == name).map(|(_, value)| value)
    }

    fn set(&mut self, option: &'static str, value: OsString) -> Result<(), Error> {
        if self.value(option).is_some() {
            return Err(Error::Twice(option));
        }
        self.options.push((option, value));
        Ok(())
    }
}

fn find(names: &[&'static str], name: &str) -> Option<&'static str> {
    names.iter().copied().find(|known| *known == name)
}
