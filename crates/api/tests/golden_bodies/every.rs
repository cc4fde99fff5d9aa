//! All values of an enum.

/// One value of each variant. The list is a match without a wildcard as well,
/// so that a new variant must be added before the tests compile again. A part
/// of a variant without field names goes by its number: `Failed { 0: text }`.
macro_rules! every {
    ($kind:ident: $($variant:ident $({ $($field:tt: $value:expr),+ $(,)? })?),+ $(,)?) => {{
        let all = [$($kind::$variant { $($($field: $value),+)? }),+];
        for one in &all {
            match one {
                $($kind::$variant { .. } => {})+
            }
        }
        all
    }};
}
