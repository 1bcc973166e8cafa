//! Goes through a settings text by the schema's fields: unknown keys, keys
//! that stand twice, values of another type, keys that are missing.

use std::collections::{BTreeMap, HashSet};

use heatherrun_schema::fields::{self, Field, FieldKind, Message};
use jsonc_parser::ast::{Object, Value as Node};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Number, Value};

use crate::FileKind;
use crate::fault::{Fault, SettingsError, Severity};
use crate::lines::Lines;
use crate::nearest::nearest;

/// Keys that may be left out, with the message that holds them.
const OPTIONAL: [(&str, &str); 17] = [
    ("NodeSettings", "log"),
    ("NodeSettings", "metrics"),
    ("NodeSettings", "address_secs"),
    ("NodeSettings", "stop_secs"),
    ("NodeSettings", "gateway"),
    ("GatewaySettings", "directory"),
    ("GatewaySettings", "scrape"),
    ("FailureDomain", "out"),
    ("Service", "sharded"),
    ("Service", "pooled"),
    ("Service", "limits"),
    ("Service", "objectives"),
    ("Limits", "deadline_ms"),
    ("Limits", "deadline_max"),
    ("Limits", "extra_percent"),
    ("Limits", "body_bytes"),
    ("Limits", "once_secs"),
];

/// Units by the end of a key.
const UNITS: [(&str, &str); 6] = [
    ("_ms", "milliseconds"),
    ("deadline_max", "milliseconds"),
    ("_secs", "seconds"),
    ("_percent", "per cent"),
    ("_ppm", "parts per million"),
    ("_bytes", "bytes"),
];

/// A text whose shape has been checked.
#[derive(Debug)]
pub(crate) struct Shaped {
    /// Values without those that hold a fault.
    pub(crate) tree: Value,
    file: String,
    lines: BTreeMap<String, usize>,
    faults: Vec<Fault>,
}

impl Shaped {
    /// Whether `key` stands in the text with a value of its type.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.lines.contains_key(key)
    }

    /// Reports an error at `key`.
    pub(crate) fn fault(&mut self, key: &str, detail: &str, remedy: &str) {
        let line = self.line(key);
        self.report(line, key, Severity::Error, (detail, remedy));
    }

    /// Reports a warning at `key`.
    pub(crate) fn warn(&mut self, key: &str, detail: &str, remedy: &str) {
        let line = self.line(key);
        self.report(line, key, Severity::Warning, (detail, remedy));
    }

    /// Line of `key`, or of what holds it.
    fn line(&self, key: &str) -> usize {
        let mut path = key;
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(at) => path = &path[..at],
                None => return self.lines.get("").copied().unwrap_or(1),
            }
        }
    }

    fn report(&mut self, line: usize, key: &str, severity: Severity, text: (&str, &str)) {
        self.faults.push(Fault {
            file: self.file.clone(),
            line,
            key: key.to_owned(),
            severity,
            detail: text.0.to_owned(),
            remedy: text.1.to_owned(),
        });
    }

    /// Errors and warnings, each in the order of their lines.
    pub(crate) fn split(mut self) -> (Vec<Fault>, Vec<Fault>) {
        self.faults.sort_by_key(|f| f.line);
        self.faults
            .into_iter()
            .partition(|f| f.severity == Severity::Error)
    }

    pub(crate) fn into_error(self) -> SettingsError {
        let (faults, warnings) = self.split();
        SettingsError { faults, warnings }
    }
}

/// JSON with comments and commas after the last item, and nothing looser.
const fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Kind of the settings in `text` by the keys at the top.
pub(crate) fn kind(text: &str) -> FileKind {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options());
    let Ok(Some(Node::Object(object))) = parsed.map(|p| p.value) else {
        return FileKind::Tier;
    };
    if known_keys(&object, FileKind::Node) > known_keys(&object, FileKind::Tier) {
        FileKind::Node
    } else {
        FileKind::Tier
    }
}

/// Keys at the top that settings of `kind` may have.
fn known_keys(object: &Object<'_>, kind: FileKind) -> usize {
    let fields = fields::message(kind.message()).map_or(&[][..], |m| m.fields);
    let has = |f: &&Field| object.get(f.name).is_some();
    fields.iter().filter(has).count()
}

/// The other kind, when the keys are of that one alone.
fn other_kind(object: &Object<'_>, kind: FileKind) -> Option<FileKind> {
    let other = match kind {
        FileKind::Node => FileKind::Tier,
        FileKind::Tier => FileKind::Node,
    };
    let alone = known_keys(object, kind) == 0 && known_keys(object, other) > 0;
    alone.then_some(other)
}

/// Reads `text` as settings of `kind`.
pub(crate) fn read(file: &str, text: &str, kind: FileKind) -> Result<Shaped, SettingsError> {
    let mut shaped = Shaped {
        tree: Value::Null,
        file: file.to_owned(),
        lines: BTreeMap::new(),
        faults: Vec::new(),
    };
    let remedy = "write JSON with comments";
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &options()) {
        Ok(parsed) => parsed,
        Err(e) => {
            let detail = e.kind().to_string();
            let line = e.line_display();
            shaped.report(line, "", Severity::Error, (&detail, remedy));
            return Err(shaped.into_error());
        }
    };
    let (Some(Node::Object(object)), Some(message)) =
        (parsed.value, fields::message(kind.message()))
    else {
        shaped.report(1, "", Severity::Error, ("no object at the top", remedy));
        return Err(shaped.into_error());
    };
    if let Some(other) = other_kind(&object, kind) {
        let detail = format!("the file holds {}", other.words());
        let remedy = format!("name a file of {}", kind.words());
        shaped.report(1, "", Severity::Error, (&detail, &remedy));
        return Err(shaped.into_error());
    }
    let mut walk = Walk {
        lines: Lines::of(text),
        out: shaped,
    };
    walk.out
        .lines
        .insert(String::new(), walk.lines.line(object.start()));
    let tree = walk.object(&object, message, "");
    walk.out.tree = tree;
    Ok(walk.out)
}

/// One pass over a text.
struct Walk {
    lines: Lines,
    out: Shaped,
}

impl Walk {
    fn object(&mut self, object: &Object<'_>, message: &Message, path: &str) -> Value {
        let mut made = Map::new();
        let mut seen = HashSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let key = join(path, name);
            let line = self.lines.line(property.start());
            let Some(field) = message.fields.iter().find(|f| f.name == name) else {
                self.unknown(line, &key, name, message);
                continue;
            };
            if !seen.insert(name.to_owned()) {
                let text = ("the key stands twice", "keep one of them");
                self.out.report(line, &key, Severity::Error, text);
                continue;
            }
            if let Some(value) = self.field(&property.value, field, &key) {
                self.out.lines.insert(key, line);
                made.insert(name.to_owned(), value);
            }
        }
        for field in message.fields {
            if seen.contains(field.name) || OPTIONAL.contains(&(message.name, field.name)) {
                continue;
            }
            let line = self.lines.line(object.start());
            let remedy = format!("add {:?}: {}", field.name, wanted(field));
            let text = ("the key is missing", remedy.as_str());
            let key = join(path, field.name);
            self.out.report(line, &key, Severity::Error, text);
        }
        Value::Object(made)
    }

    fn unknown(&mut self, line: usize, key: &str, name: &str, message: &Message) {
        let detail = format!("unknown key {name:?}");
        let names = || message.fields.iter().map(|f| f.name);
        let remedy = match nearest(name, names()) {
            Some(known) => format!("did you mean {known:?}?"),
            None => format!("use one of {}", names().collect::<Vec<_>>().join(", ")),
        };
        self.out
            .report(line, key, Severity::Error, (&detail, &remedy));
    }

    fn field(&mut self, node: &Node<'_>, field: &Field, key: &str) -> Option<Value> {
        if !field.many {
            return self.value(node, field, key);
        }
        let Node::Array(array) = node else {
            self.wrong(node, field, key);
            return None;
        };
        let one = Field {
            many: false,
            ..*field
        };
        let mut made = Vec::with_capacity(array.elements.len());
        for (ix, element) in array.elements.iter().enumerate() {
            let key = format!("{key}[{ix}]");
            let line = self.lines.line(element.start());
            self.out.lines.insert(key.clone(), line);
            // An item with a fault keeps its place, so that the paths of later items stay right.
            let value = self.value(element, &one, &key);
            made.push(value.unwrap_or_else(|| Value::Object(Map::new())));
        }
        Some(Value::Array(made))
    }

    fn value(&mut self, node: &Node<'_>, field: &Field, key: &str) -> Option<Value> {
        match (field.kind, node) {
            (FieldKind::Text, Node::StringLit(text)) => {
                return Some(Value::String(text.value.clone().into_owned()));
            }
            (FieldKind::Flag, Node::BooleanLit(flag)) => return Some(Value::Bool(flag.value)),
            (FieldKind::Number, Node::NumberLit(number)) => {
                if let Ok(number) = number.value.parse::<u32>() {
                    return Some(Value::Number(Number::from(number)));
                }
            }
            (FieldKind::Fraction, Node::NumberLit(number)) => {
                let fraction = number.value.parse::<f64>().ok().filter(|f| *f >= 0.0);
                if let Some(fraction) = fraction.and_then(Number::from_f64) {
                    return Some(Value::Number(fraction));
                }
            }
            (FieldKind::Message(name), Node::Object(object)) => {
                let message = fields::message(name)?;
                return Some(self.object(object, message, key));
            }
            _ => {}
        }
        self.wrong(node, field, key);
        None
    }

    fn wrong(&mut self, node: &Node<'_>, field: &Field, key: &str) {
        let found = match node {
            Node::StringLit(text) => format!("the text {:?}", text.value),
            Node::NumberLit(number) => format!("the number {}", number.value),
            Node::BooleanLit(flag) => flag.value.to_string(),
            Node::Object(_) => "an object".to_owned(),
            Node::Array(_) => "a list".to_owned(),
            Node::NullKeyword(_) => "null".to_owned(),
        };
        let line = self.lines.line(node.start());
        let detail = format!("the value is {found}");
        let remedy = format!("write {}", wanted(field));
        self.out
            .report(line, key, Severity::Error, (&detail, &remedy));
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// What a field takes, in words.
fn wanted(field: &Field) -> String {
    let one = match field.kind {
        FieldKind::Text => "a text in double quotes".to_owned(),
        FieldKind::Flag => "true or false".to_owned(),
        FieldKind::Message(name) => format!("an object of {}", keys(name)),
        FieldKind::Fraction => "a number of at least 0".to_owned(),
        FieldKind::Number => match UNITS.iter().find(|(end, _)| field.name.ends_with(end)) {
            Some((_, unit)) => format!("a whole number of {unit}, without a unit"),
            None => format!("a whole number from 0 to {}", u32::MAX),
        },
    };
    if field.many {
        format!("a list of {one}")
    } else {
        one
    }
}

fn keys(message: &str) -> String {
    let known = fields::message(message).map_or(&[][..], |m| m.fields);
    let names: Vec<_> = known.iter().map(|f| f.name).collect();
    names.join(", ")
}
