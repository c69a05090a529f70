//! Reads JSON with comments field by field and collects every error with its position.
//!
//! A deserializer stops at the first error, but operators want to see all of them at once; see
//! [docs/CONFIGURATION.md](../docs/CONFIGURATION.md).

use std::{cell::RefCell, ops::RangeInclusive, rc::Rc};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::error::{Finding, Findings};

/// The text of one file and the findings collected so far.
pub struct Source<'t> {
    name: &'t str,
    text: &'t str,
    findings: RefCell<Vec<Finding>>,
}

impl<'t> Source<'t> {
    /// Creates a source from a text; findings refer to it by `name`.
    #[must_use]
    pub fn new(name: &'t str, text: &'t str) -> Rc<Self> {
        Rc::new(Self {
            name,
            text,
            findings: RefCell::default(),
        })
    }

    /// Parses the text as one object; a syntax error becomes the only finding.
    #[must_use]
    pub fn parse_object(self: &Rc<Self>) -> Option<Fields<'t>> {
        match parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        ) {
            Ok(result) => match result.value {
                Some(Value::Object(object)) => Some(Fields::new(object, Rc::clone(self))),
                _ => {
                    self.add(0, "the file must contain a single object".into());
                    None
                }
            },
            Err(error) => {
                self.add(error.range().start, error.kind().to_string());
                None
            }
        }
    }

    /// Adds a finding at a byte offset.
    pub fn add(&self, offset: usize, message: String) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        self.findings.borrow_mut().push(Finding {
            source: self.name.to_owned(),
            line,
            column,
            message,
        });
    }

    /// Removes and returns all findings, ordered by position.
    #[must_use]
    pub fn take_findings(&self) -> Findings {
        let mut findings = self.findings.take();
        findings.sort_by_key(|f| (f.line, f.column));
        Findings(findings)
    }
}

/// One object, whose fields are removed as they are read; [`Fields::reject_unknown`] reports the rest.
pub struct Fields<'t> {
    object: Object<'t>,
    source: Rc<Source<'t>>,
}

/// A value and its byte offset in the text.
#[derive(Debug, Clone, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The byte offset of the value in the text.
    pub offset: usize,
}

impl<'t> Fields<'t> {
    fn new(object: Object<'t>, source: Rc<Source<'t>>) -> Self {
        Self { object, source }
    }

    /// Returns the byte offset of the object.
    #[must_use]
    pub fn offset(&self) -> usize {
        self.object.range.start
    }

    /// Adds a finding at the offset of the object.
    pub fn add_finding(&self, message: String) {
        self.source.add(self.offset(), message);
    }

    /// Returns whether the object has a field that was not read yet.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.object.get(name).is_some()
    }

    /// Removes a field and returns its value. Adds a finding if the object has another field of that name.
    fn remove(&mut self, name: &str) -> Option<Value<'t>> {
        let i = self
            .object
            .properties
            .iter()
            .position(|p| p.name.as_str() == name)?;
        let removed = self.object.properties.remove(i);
        let duplicate = self
            .object
            .properties
            .iter()
            .find(|p| p.name.as_str() == name);
        if let Some(duplicate) = duplicate {
            self.source.add(
                duplicate.range.start,
                format!("field \"{name}\" is declared twice"),
            );
        }
        Some(removed.value)
    }

    /// Reads an optional string.
    pub fn string(&mut self, name: &str) -> Option<Located<String>> {
        let value = self.remove(name)?;
        let offset = value.start();
        match value {
            Value::StringLit(s) => Some(Located {
                value: s.value.into_owned(),
                offset,
            }),
            _ => {
                self.source
                    .add(offset, format!("\"{name}\" must be a string"));
                None
            }
        }
    }

    /// Reads a required string that must not be empty.
    pub fn required_string(&mut self, name: &str) -> Option<Located<String>> {
        let before = self.object.properties.len();
        let found = self.string(name);
        if found.is_none() && self.object.properties.len() == before {
            self.add_finding(format!("\"{name}\" is missing"));
        }
        let found = found?;
        if found.value.is_empty() {
            self.source
                .add(found.offset, format!("\"{name}\" must not be empty"));
            return None;
        }
        Some(found)
    }

    /// Reads an optional number and checks its bounds. Returns the default if it is missing or invalid.
    pub fn number(&mut self, name: &str, bounds: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(value) = self.remove(name) else {
            return default;
        };
        let offset = value.start();
        let parsed = value
            .as_number_lit()
            .and_then(|n| n.value.parse::<f64>().ok());
        match parsed {
            Some(n) if bounds.contains(&n) => n,
            Some(n) => {
                let (low, high) = (bounds.start(), bounds.end());
                self.source.add(
                    offset,
                    format!("\"{name}\" is {n}, but must be between {low} and {high}"),
                );
                default
            }
            None => {
                self.source
                    .add(offset, format!("\"{name}\" must be a number"));
                default
            }
        }
    }

    /// Reads an optional whole number and checks its bounds. Returns the default if it is missing or
    /// invalid.
    pub fn integer(&mut self, name: &str, bounds: RangeInclusive<u32>, default: u32) -> u32 {
        let offset = self
            .object
            .get(name)
            .map_or(self.offset(), |p| p.value.start());
        let bounds = f64::from(*bounds.start())..=f64::from(*bounds.end());
        let n = self.number(name, bounds, f64::from(default));
        if n.fract() != 0.0 {
            self.source
                .add(offset, format!("\"{name}\" must be a whole number"));
            return default;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let integer = n as u32;
        integer
    }

    /// Reads an optional boolean. Returns the default if it is missing or invalid.
    pub fn boolean(&mut self, name: &str, default: bool) -> bool {
        let Some(value) = self.remove(name) else {
            return default;
        };
        if let Some(literal) = value.as_boolean_lit() {
            return literal.value;
        }
        self.source
            .add(value.start(), format!("\"{name}\" must be true or false"));
        default
    }

    /// Reads an optional list of strings.
    pub fn strings(&mut self, name: &str) -> Vec<Located<String>> {
        let mut strings = Vec::new();
        for value in self.elements(name) {
            let offset = value.start();
            match value {
                Value::StringLit(s) => strings.push(Located {
                    value: s.value.into_owned(),
                    offset,
                }),
                _ => self
                    .source
                    .add(offset, format!("\"{name}\" must contain only strings")),
            }
        }
        strings
    }

    /// Reads an optional object.
    pub fn object(&mut self, name: &str) -> Option<Fields<'t>> {
        match self.remove(name)? {
            Value::Object(object) => Some(Fields::new(object, Rc::clone(&self.source))),
            value => {
                self.source
                    .add(value.start(), format!("\"{name}\" must be an object"));
                None
            }
        }
    }

    /// Reads an optional list of objects.
    pub fn objects(&mut self, name: &str) -> Vec<Fields<'t>> {
        let mut objects = Vec::new();
        for value in self.elements(name) {
            let offset = value.start();
            match value {
                Value::Object(object) => objects.push(Fields::new(object, Rc::clone(&self.source))),
                _ => self
                    .source
                    .add(offset, format!("\"{name}\" must contain only objects")),
            }
        }
        objects
    }

    fn elements(&mut self, name: &str) -> Vec<Value<'t>> {
        match self.remove(name) {
            None => Vec::new(),
            Some(Value::Array(array)) => array.elements,
            Some(value) => {
                self.source
                    .add(value.start(), format!("\"{name}\" must be a list"));
                Vec::new()
            }
        }
    }

    /// Adds a finding for every field that was not read.
    pub fn reject_unknown(self) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            self.source
                .add(property.range.start, format!("unknown field \"{name}\""));
        }
    }
}
