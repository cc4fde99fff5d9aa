//! Macro that lists one value of each variant of an enum.

/// Returns an array with one value of each variant. The variants are also matched
/// without a wildcard, so that the tests do not compile until a new variant is
/// added. A field of a tuple variant is given by its index: `Failed { 0: text }`.
macro_rules! every {
    ($kind:ident: $($variant:ident $({ $($field:tt: $value:expr),+ $(,)? })?),+ $(,)?) => {{
        let values = [$($kind::$variant { $($($field: $value),+)? }),+];
        for value in &values {
            match value {
                $($kind::$variant { .. } => {})+
            }
        }
        values
    }};
}
