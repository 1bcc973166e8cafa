//! Parses a settings text and checks it against the schema: reports unknown,
//! duplicate and missing keys, and values of the wrong type.

use std::collections::{BTreeMap, HashSet};

use heatherrun_schema::fields::{self, Field, FieldKind, Message};
use jsonc_parser::ast::{Object, Value as AstValue};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Number, Value};

use crate::FileKind;
use crate::fault::{Fault, SettingsError, Severity};
use crate::lines::LineIndex;
use crate::nearest::nearest;

/// Keys that may be left out, each after the name of its schema message.
const OPTIONAL_KEYS: [(&str, &str); 22] = [
    ("NodeSettings", "log"),
    ("NodeSettings", "metrics"),
    ("NodeSettings", "address_secs"),
    ("NodeSettings", "stop_secs"),
    ("NodeSettings", "gateway"),
    ("NodeSettings", "memory_mb"),
    ("NodeSettings", "max_fds"),
    ("GatewaySettings", "directory"),
    ("GatewaySettings", "scrape"),
    ("GatewaySettings", "rollout"),
    ("GatewaySettings", "teams"),
    ("TeamSettings", "strict_revoke"),
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

/// Units of numbers, by the suffix of the key.
const UNITS_BY_SUFFIX: [(&str, &str); 7] = [
    ("_ms", "milliseconds"),
    ("deadline_max", "milliseconds"),
    ("_secs", "seconds"),
    ("_percent", "per cent"),
    ("_ppm", "parts per million"),
    ("_bytes", "bytes"),
    ("_mb", "MB"),
];

/// A settings text that was parsed and checked against the schema, and the
/// faults found so far.
#[derive(Debug)]
pub(crate) struct Document {
    /// The values, without those that have a fault.
    pub(crate) tree: Value,
    file: String,
    key_lines: BTreeMap<String, usize>,
    faults: Vec<Fault>,
}

impl Document {
    /// Whether the text has `key` with a value of the right type.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.key_lines.contains_key(key)
    }

    /// Adds an error at `key`.
    pub(crate) fn add_error(&mut self, key: &str, detail: &str, remedy: &str) {
        let line = self.line_of(key);
        self.add_fault(line, key, Severity::Error, (detail, remedy));
    }

    /// Adds a warning at `key`.
    pub(crate) fn add_warning(&mut self, key: &str, detail: &str, remedy: &str) {
        let line = self.line_of(key);
        self.add_fault(line, key, Severity::Warning, (detail, remedy));
    }

    /// Line of `key`, or of its closest ancestor in the text.
    fn line_of(&self, key: &str) -> usize {
        let mut path = key;
        loop {
            if let Some(line) = self.key_lines.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(at) => path = &path[..at],
                None => return self.key_lines.get("").copied().unwrap_or(1),
            }
        }
    }

    fn add_fault(&mut self, line: usize, key: &str, severity: Severity, text: (&str, &str)) {
        self.faults.push(Fault {
            file: self.file.clone(),
            line,
            key: key.to_owned(),
            severity,
            detail: text.0.to_owned(),
            remedy: text.1.to_owned(),
        });
    }

    /// Returns the errors and the warnings, each ordered by line.
    pub(crate) fn into_errors_and_warnings(mut self) -> (Vec<Fault>, Vec<Fault>) {
        self.faults.sort_by_key(|f| f.line);
        self.faults
            .into_iter()
            .partition(|f| f.severity == Severity::Error)
    }

    pub(crate) fn into_error(self) -> SettingsError {
        let (faults, warnings) = self.into_errors_and_warnings();
        SettingsError { faults, warnings }
    }
}

/// Allows comments and trailing commas, but no other extension of JSON.
const fn parse_options() -> ParseOptions {
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

/// Detects the kind of the settings in `text` from the top-level keys; a text
/// that is no object, or fits both kinds equally, counts as a tier.
pub(crate) fn detect_kind(text: &str) -> FileKind {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &parse_options());
    let Ok(Some(AstValue::Object(object))) = parsed.map(|p| p.value) else {
        return FileKind::Tier;
    };
    if count_known_keys(&object, FileKind::Node) > count_known_keys(&object, FileKind::Tier) {
        FileKind::Node
    } else {
        FileKind::Tier
    }
}

/// Counts the top-level keys that the schema of `kind` has.
fn count_known_keys(object: &Object<'_>, kind: FileKind) -> usize {
    let fields = fields::message(kind.message_name()).map_or(&[][..], |m| m.fields);
    let is_present = |f: &&Field| object.get(f.name).is_some();
    fields.iter().filter(is_present).count()
}

/// Returns the other kind if the schema of `kind` has none of the top-level
/// keys and that of the other kind has at least one.
fn other_kind(object: &Object<'_>, kind: FileKind) -> Option<FileKind> {
    let other = match kind {
        FileKind::Node => FileKind::Tier,
        FileKind::Tier => FileKind::Node,
    };
    let only_other = count_known_keys(object, kind) == 0 && count_known_keys(object, other) > 0;
    only_other.then_some(other)
}

/// Parses `text`, the content of `file`, as settings of `kind`.
pub(crate) fn parse(file: &str, text: &str, kind: FileKind) -> Result<Document, SettingsError> {
    let mut document = Document {
        tree: Value::Null,
        file: file.to_owned(),
        key_lines: BTreeMap::new(),
        faults: Vec::new(),
    };
    let remedy = "write JSON with comments";
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
        Ok(parsed) => parsed,
        Err(e) => {
            let detail = e.kind().to_string();
            let line = e.line_display();
            document.add_fault(line, "", Severity::Error, (&detail, remedy));
            return Err(document.into_error());
        }
    };
    let (Some(AstValue::Object(object)), Some(message)) =
        (parsed.value, fields::message(kind.message_name()))
    else {
        document.add_fault(
            1,
            "",
            Severity::Error,
            ("the top level is not an object", remedy),
        );
        return Err(document.into_error());
    };
    if let Some(other) = other_kind(&object, kind) {
        let detail = format!("the file holds {}", other.description());
        let remedy = format!("name a file of {}", kind.description());
        document.add_fault(1, "", Severity::Error, (&detail, &remedy));
        return Err(document.into_error());
    }
    let mut parser = Parser {
        lines: LineIndex::new(text),
        document,
    };
    parser
        .document
        .key_lines
        .insert(String::new(), parser.lines.line_at(object.start()));
    let tree = parser.parse_object(&object, message, "");
    parser.document.tree = tree;
    Ok(parser.document)
}

/// Checks the syntax tree of one text against the schema.
struct Parser {
    lines: LineIndex,
    document: Document,
}

impl Parser {
    fn parse_object(&mut self, object: &Object<'_>, message: &Message, path: &str) -> Value {
        let mut values = Map::new();
        let mut seen = HashSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let key = join_path(path, name);
            let line = self.lines.line_at(property.start());
            let Some(field) = message.fields.iter().find(|f| f.name == name) else {
                self.report_unknown_key(line, &key, name, message);
                continue;
            };
            if !seen.insert(name.to_owned()) {
                let text = ("duplicate key", "keep one of them");
                self.document.add_fault(line, &key, Severity::Error, text);
                continue;
            }
            if let Some(value) = self.parse_field(&property.value, field, &key) {
                self.document.key_lines.insert(key, line);
                values.insert(name.to_owned(), value);
            }
        }
        for field in message.fields {
            if seen.contains(field.name) || OPTIONAL_KEYS.contains(&(message.name, field.name)) {
                continue;
            }
            let line = self.lines.line_at(object.start());
            let remedy = format!("add {:?}: {}", field.name, describe_expected(field));
            let text = ("the key is missing", remedy.as_str());
            let key = join_path(path, field.name);
            self.document.add_fault(line, &key, Severity::Error, text);
        }
        Value::Object(values)
    }

    fn report_unknown_key(&mut self, line: usize, key: &str, name: &str, message: &Message) {
        let detail = format!("unknown key {name:?}");
        let names = || message.fields.iter().map(|f| f.name);
        let remedy = match nearest(name, names()) {
            Some(known) => format!("did you mean {known:?}?"),
            None => format!("use one of {}", names().collect::<Vec<_>>().join(", ")),
        };
        self.document
            .add_fault(line, key, Severity::Error, (&detail, &remedy));
    }

    fn parse_field(&mut self, ast: &AstValue<'_>, field: &Field, key: &str) -> Option<Value> {
        if !field.many {
            return self.parse_value(ast, field, key);
        }
        let AstValue::Array(array) = ast else {
            self.report_wrong_type(ast, field, key);
            return None;
        };
        let item_field = Field {
            many: false,
            ..*field
        };
        let mut items = Vec::with_capacity(array.elements.len());
        for (ix, element) in array.elements.iter().enumerate() {
            let key = format!("{key}[{ix}]");
            let line = self.lines.line_at(element.start());
            self.document.key_lines.insert(key.clone(), line);
            // An empty object replaces an invalid item, so that the indices in
            // the keys of later items stay correct.
            let value = self.parse_value(element, &item_field, &key);
            items.push(value.unwrap_or_else(|| Value::Object(Map::new())));
        }
        Some(Value::Array(items))
    }

    fn parse_value(&mut self, ast: &AstValue<'_>, field: &Field, key: &str) -> Option<Value> {
        match (field.kind, ast) {
            (FieldKind::Text, AstValue::StringLit(text)) => {
                return Some(Value::String(text.value.clone().into_owned()));
            }
            (FieldKind::Flag, AstValue::BooleanLit(flag)) => return Some(Value::Bool(flag.value)),
            (FieldKind::Number, AstValue::NumberLit(number)) => {
                if let Ok(number) = number.value.parse::<u32>() {
                    return Some(Value::Number(Number::from(number)));
                }
            }
            (FieldKind::Fraction, AstValue::NumberLit(number)) => {
                let fraction = number.value.parse::<f64>().ok().filter(|f| *f >= 0.0);
                if let Some(fraction) = fraction.and_then(Number::from_f64) {
                    return Some(Value::Number(fraction));
                }
            }
            (FieldKind::Message(name), AstValue::Object(object)) => {
                let message = fields::message(name)?;
                return Some(self.parse_object(object, message, key));
            }
            _ => {}
        }
        self.report_wrong_type(ast, field, key);
        None
    }

    fn report_wrong_type(&mut self, ast: &AstValue<'_>, field: &Field, key: &str) {
        let found = match ast {
            AstValue::StringLit(text) => format!("the text {:?}", text.value),
            AstValue::NumberLit(number) => format!("the number {}", number.value),
            AstValue::BooleanLit(flag) => flag.value.to_string(),
            AstValue::Object(_) => "an object".to_owned(),
            AstValue::Array(_) => "a list".to_owned(),
            AstValue::NullKeyword(_) => "null".to_owned(),
        };
        let line = self.lines.line_at(ast.start());
        let detail = format!("the value is {found}");
        let remedy = format!("write {}", describe_expected(field));
        self.document
            .add_fault(line, key, Severity::Error, (&detail, &remedy));
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Describes the values that a field accepts.
fn describe_expected(field: &Field) -> String {
    let item = match field.kind {
        FieldKind::Text => "a text in double quotes".to_owned(),
        FieldKind::Flag => "true or false".to_owned(),
        FieldKind::Message(name) => format!("an object of {}", key_names(name)),
        FieldKind::Fraction => "a number of at least 0".to_owned(),
        FieldKind::Number => match UNITS_BY_SUFFIX
            .iter()
            .find(|(suffix, _)| field.name.ends_with(suffix))
        {
            Some((_, unit)) => format!("a whole number of {unit}, without a unit"),
            None => format!("a whole number from 0 to {}", u32::MAX),
        },
    };
    if field.many {
        format!("a list of {item}")
    } else {
        item
    }
}

fn key_names(message: &str) -> String {
    let known = fields::message(message).map_or(&[][..], |m| m.fields);
    let names: Vec<_> = known.iter().map(|f| f.name).collect();
    names.join(", ")
}
