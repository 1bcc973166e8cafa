//! Descriptions of the schema's messages and their fields, used to validate
//! settings files.

/// Type of a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// String.
    Text,
    /// Non-negative integer.
    Number,
    /// Non-negative number, possibly with a fraction.
    Fraction,
    /// Boolean.
    Flag,
    /// Nested message with this name.
    Message(&'static str),
}

/// A field of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Type of the value, or of each element of a list.
    pub kind: FieldKind,
    /// True when the field is repeated, that is, a list.
    pub many: bool,
}

/// A message of the schema.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message {
    /// Name of the message.
    pub name: &'static str,
    /// Fields, in the order of the schema.
    pub fields: &'static [Field],
}

include!("generated/fields.rs");

/// Looks up the message called `name`.
#[must_use]
pub fn message(name: &str) -> Option<&'static Message> {
    MESSAGES.iter().find(|m| m.name == name)
}
