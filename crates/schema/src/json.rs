//! JSON form of the schema's enumerations: their names in lower case.

/// Makes a serde `with` module for one generated enumeration.
macro_rules! named_enum {
    ($module:ident, $type:ident, $prefix:literal) => {
        pub mod $module {
            use crate::v1::$type;
            use serde::{Deserialize, Deserializer, Serializer, de::Error};

            #[allow(clippy::trivially_copy_pass_by_ref)]
            pub fn serialize<S: Serializer>(value: &i32, out: S) -> Result<S::Ok, S::Error> {
                let known = $type::try_from(*value).unwrap_or_default();
                let name = known.as_str_name().trim_start_matches($prefix);
                out.serialize_str(&name.to_ascii_lowercase())
            }

            pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<i32, D::Error> {
                let name = String::deserialize(input)?;
                let full = format!("{}{}", $prefix, name.to_ascii_uppercase());
                $type::from_str_name(&full)
                    .map(|known| known as i32)
                    .ok_or_else(|| {
                        let known = (0..).map_while(|n| $type::try_from(n).ok());
                        let names: Vec<_> = known
                            .map(|k| k.as_str_name().trim_start_matches($prefix))
                            .map(str::to_ascii_lowercase)
                            .collect();
                        let names = names.join(", ");
                        D::Error::custom(format!("unknown value {name:?}; use one of {names}"))
                    })
            }
        }
    };
}

named_enum!(class, Class, "CLASS_");
named_enum!(ran, Ran, "RAN_");
