//! Serialization of structs with named fields as tuples: in JSON, an array of the values in field
//! order.

/// Implements the conversions that `#[serde(from = "...", into = "...")]` needs between a struct
/// and the tuple of its fields.
macro_rules! serialize_as_tuple {
    ($type:ident { $($field:ident: $field_type:ty),+ $(,)? }) => {
        impl From<$type> for ($($field_type,)+) {
            fn from(value: $type) -> Self {
                ($(value.$field,)+)
            }
        }

        impl From<($($field_type,)+)> for $type {
            fn from(($($field,)+): ($($field_type,)+)) -> Self {
                $type { $($field),+ }
            }
        }
    };
}

pub(crate) use serialize_as_tuple;
