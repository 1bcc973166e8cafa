//! Messages of the schema with their fields, as data: what the check of
//! settings goes by.

/// What one field holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// Text.
    Text,
    /// Whole number that is not negative.
    Number,
    /// Number that is not negative, with or without a fraction.
    Fraction,
    /// True or false.
    Flag,
    /// Message of this name.
    Message(&'static str),
}

/// One field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// What it holds.
    pub kind: FieldKind,
    /// True when it holds a list.
    pub many: bool,
}

/// One message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message {
    /// Name.
    pub name: &'static str,
    /// Fields in the order of the schema.
    pub fields: &'static [Field],
}

include!("generated/fields.rs");

/// The message called `name`.
#[must_use]
pub fn message(name: &str) -> Option<&'static Message> {
    MESSAGES.iter().find(|m| m.name == name)
}
