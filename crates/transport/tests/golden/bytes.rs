//! Comparison of encoded values with recorded lines of the form `name hex`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};

const HEX_DIGITS_OF_BYTE: usize = 2;
const HEX: u32 = 16;

/// A sample value with the name of its recorded line.
pub struct Sample<T> {
    pub name: &'static str,
    pub value: T,
}

/// Encoding and decoding of sample values.
pub struct Codec<T> {
    pub encode: fn(&T) -> Vec<u8>,
    pub decode: fn(&[u8]) -> T,
}

/// Asserts that each sample encodes to its recorded bytes, that these decode to the
/// sample, and that no other line is recorded.
pub fn assert_recorded<T: PartialEq + Debug>(
    recorded: &str,
    samples: &[Sample<T>],
    codec: &Codec<T>,
) {
    let recorded = read_lines(recorded);
    let names: BTreeSet<&str> = samples.iter().map(|sample| sample.name).collect();
    assert_eq!(names.len(), samples.len(), "two samples share a name");
    let differing = find_differing(&recorded, samples, codec);
    assert!(differing.is_empty(), "not as recorded:\n{differing}");
    assert_eq!(recorded.keys().copied().collect::<BTreeSet<_>>(), names);
    for sample in samples {
        let decoded = (codec.decode)(&recorded[sample.name]);
        assert_eq!(decoded, sample.value, "{}", sample.name);
    }
}

/// Returns the lines to record for all samples whose bytes differ from the recorded
/// ones.
fn find_differing<T>(
    recorded: &BTreeMap<&str, Vec<u8>>,
    samples: &[Sample<T>],
    codec: &Codec<T>,
) -> String {
    let mut differing = String::new();
    for sample in samples {
        let bytes = (codec.encode)(&sample.value);
        if recorded.get(sample.name) != Some(&bytes) {
            writeln!(differing, "{} {}", sample.name, to_hex(&bytes)).unwrap();
        }
    }
    differing
}

fn read_lines(text: &str) -> BTreeMap<&str, Vec<u8>> {
    let lines = text.lines().map(|line| {
        let (name, hex) = line.split_once(' ').expect("a line is `name hex`");
        (name, from_hex(hex))
    });
    lines.collect()
}

/// Decodes hex digits and ignores white space.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    let starts = (0..digits.len()).step_by(HEX_DIGITS_OF_BYTE);
    starts
        .map(|start| {
            let byte = &digits[start..start + HEX_DIGITS_OF_BYTE];
            u8::from_str_radix(byte, HEX).expect("a byte is two hex digits")
        })
        .collect()
}

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Names of all variants of an enum. Created by [`variants`].
pub struct Variants<T> {
    pub names: &'static [&'static str],
    pub name_of: fn(&T) -> &'static str,
}

impl<T> Variants<T> {
    /// Asserts that the values contain every variant.
    pub fn assert_covered<'a>(&self, values: impl IntoIterator<Item = &'a T>)
    where
        T: 'a,
    {
        let seen: BTreeSet<&str> = values.into_iter().map(self.name_of).collect();
        let all: BTreeSet<&str> = self.names.iter().copied().collect();
        assert_eq!(seen, all);
    }
}

/// Creates the [`Variants`] of an enum. The match has no wildcard, so a new variant
/// does not compile until it is listed, and a listed variant requires a sample.
macro_rules! variants {
    ($type:ident { $($variant:ident),+ $(,)? }) => {
        $crate::golden::bytes::Variants::<$type> {
            names: &[$(stringify!($variant)),+],
            name_of: |value| match value {
                $($type::$variant { .. } => stringify!($variant),)+
            },
        }
    };
}
pub(crate) use variants;
