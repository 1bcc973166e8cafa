//! JSON encoding of the schema's enumerations: names in lower case, without the
//! prefix.

/// Defines a serde `with` module that encodes one generated enumeration by name.
macro_rules! enum_by_name {
    ($module:ident, $type:ident, $prefix:literal) => {
        pub mod $module {
            use crate::v1::$type;
            use serde::{Deserialize, Deserializer, Serializer, de::Error};

            #[allow(clippy::trivially_copy_pass_by_ref)]
            pub fn serialize<S: Serializer>(
                number: &i32,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                let value = $type::try_from(*number).unwrap_or_default();
                let name = value.as_str_name().trim_start_matches($prefix);
                serializer.serialize_str(&name.to_ascii_lowercase())
            }

            pub fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<i32, D::Error> {
                let name = String::deserialize(deserializer)?;
                let full_name = format!("{}{}", $prefix, name.to_ascii_uppercase());
                $type::from_str_name(&full_name)
                    .map(|value| value as i32)
                    .ok_or_else(|| {
                        let values = (0..).map_while(|n| $type::try_from(n).ok());
                        let names: Vec<_> = values
                            .map(|value| value.as_str_name().trim_start_matches($prefix))
                            .map(str::to_ascii_lowercase)
                            .collect();
                        let names = names.join(", ");
                        D::Error::custom(format!("unknown value {name:?}; use one of {names}"))
                    })
            }
        }
    };
}

enum_by_name!(class, Class, "CLASS_");
enum_by_name!(ran, Ran, "RAN_");
