//! The options and positional arguments of one command.

use std::ffi::OsString;
use std::net::SocketAddr;

use lexopt::{Arg, Parser};

use super::{Error, Input, Topic};
use crate::clock::Millis;
use crate::settings::unit::{HttpAddress, Span};

/// The arguments after a command's name.
#[derive(Debug)]
pub struct Arguments {
    topic: Topic,
    options: Vec<(&'static str, OsString)>,
    flags: Vec<&'static str>,
    positional: Vec<OsString>,
}

impl Arguments {
    /// Parses the rest of the command line.
    pub fn parse(mut parser: Parser, topic: Topic) -> Result<Self, Error> {
        let shape = topic.shape();
        let mut arguments =
            Self { topic, options: Vec::new(), flags: Vec::new(), positional: Vec::new() };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Short('h') | Arg::Long("help") => arguments.flags.push("help"),
                Arg::Long(name) => {
                    if let Some(flag) = find(shape.flags, name) {
                        arguments.flags.push(flag);
                    } else if let Some(option) = find(shape.options, name) {
                        arguments.set(option, parser.value()?)?;
                    } else {
                        let name = format!("--{name}");
                        return Err(Error::Unexpected { word: name, topic });
                    }
                }
                Arg::Value(word) if arguments.positional.len() < shape.positional_max => {
                    arguments.positional.push(word);
                }
                Arg::Value(word) => {
                    let word = word.to_string_lossy().into_owned();
                    return Err(Error::Unexpected { word, topic });
                }
                Arg::Short(letter) => {
                    return Err(Error::Unexpected { word: format!("-{letter}"), topic });
                }
            }
        }
        Ok(arguments)
    }

    /// Returns whether a flag is given.
    pub fn is_set(&self, flag: &str) -> bool {
        self.flags.contains(&flag)
    }

    /// Returns the positional argument at `index`, if there is one and it is Unicode.
    pub fn positional(&self, index: usize) -> Option<&str> {
        self.positional.get(index).and_then(|word| word.to_str())
    }

    /// Returns the last positional argument, which names an input. `name` stands for it in the error if it is
    /// missing.
    pub fn file(&self, name: &'static str) -> Result<Input, Error> {
        let index = self.topic.shape().positional_max - 1;
        let word = self.positional.get(index).ok_or_else(|| self.missing(name))?;
        Ok(if word == "-" { Input::Stdin } else { Input::File(word.into()) })
    }

    /// Returns the value of a required option.
    pub fn required(&self, name: &'static str) -> Result<&OsString, Error> {
        self.value(name).ok_or_else(|| self.missing(name))
    }

    /// Returns the value of a text option, if it is given.
    pub fn text(&self, name: &'static str) -> Result<Option<String>, Error> {
        self.optional(name, "text in Unicode, not empty", |text| {
            Some(text.to_owned()).filter(|text| !text.is_empty())
        })
    }

    /// Returns the value of an option as parsed by `parse`, if it is given. `expected` says in the error what
    /// values are valid.
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

    /// Returns the value of an option that takes a time above zero, if it is given.
    pub fn time(&self, name: &'static str) -> Result<Option<Millis>, Error> {
        let above_zero = |text: &str| Span::parse(text).filter(|time| *time > Millis::ZERO);
        self.optional(name, "a time with its unit, such as 500ms or 5s", above_zero)
    }

    /// Returns the value of a required option that takes the address of an HTTP server.
    pub fn address(&self, name: &'static str) -> Result<SocketAddr, Error> {
        let address = self.optional(name, "http://IP:PORT", HttpAddress::parse)?;
        address.ok_or_else(|| self.missing(name))
    }

    /// Returns the value of a required option that takes addresses of HTTP servers, separated by commas.
    pub fn addresses(&self, name: &'static str) -> Result<Vec<SocketAddr>, Error> {
        let list = |text: &str| text.split(',').map(HttpAddress::parse).collect();
        let addresses = self.optional(name, "http://IP:PORT[,http://IP:PORT…]", list)?;
        addresses.ok_or_else(|| self.missing(name))
    }

    /// Returns the error for a required option or argument that is missing.
    pub fn missing(&self, name: &'static str) -> Error {
        Error::Missing { name, topic: self.topic }
    }

    fn value(&self, name: &str) -> Option<&OsString> {
        self.options.iter().find(|(option, _)| *option == name).map(|(_, value)| value)
    }

    fn set(&mut self, option: &'static str, value: OsString) -> Result<(), Error> {
        if self.value(option).is_some() {
            return Err(Error::Duplicate(option));
        }
        self.options.push((option, value));
        Ok(())
    }
}

fn find(names: &[&'static str], name: &str) -> Option<&'static str> {
    names.iter().copied().find(|known| *known == name)
}
