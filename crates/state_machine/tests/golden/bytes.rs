//! Comparison of encoded values with recorded bytes in hexadecimal digits.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};

const HEX_DIGITS_PER_BYTE: usize = 2;
const HEX_RADIX: u32 = 16;
/// Bytes on each line of a recorded file with a single long value.
const BYTES_PER_LINE: usize = 48;

/// Value with the name of its recorded line.
pub struct Sample<T> {
    pub name: &'static str,
    pub value: T,
}

/// Functions that encode and decode values of one type.
pub struct Codec<T> {
    pub encode: fn(&T) -> Vec<u8>,
    pub decode: fn(&[u8]) -> T,
}

/// Asserts that each sample encodes to its recorded bytes and that these decode to
/// the sample. The recorded text has a line `name hex` for each sample.
pub fn assert_recorded<T: PartialEq + Debug>(
    recorded: &str,
    samples: &[Sample<T>],
    codec: &Codec<T>,
) {
    let recorded = read_lines(recorded);
    let names: BTreeSet<&str> = samples.iter().map(|sample| sample.name).collect();
    assert_eq!(names.len(), samples.len(), "two samples share a name");
    let differing = find_differing(&recorded, samples, codec);
    assert!(
        differing.is_empty(),
        "samples differ from their recorded bytes; now:\n{differing}"
    );
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

/// Asserts that one long value has the recorded bytes, which span many lines.
pub fn assert_recorded_bytes(recorded: &str, actual: &[u8]) {
    let lines: Vec<String> = actual.chunks(BYTES_PER_LINE).map(to_hex).collect();
    assert!(
        from_hex(recorded) == actual,
        "the value differs from its recorded bytes; now:\n{}",
        lines.join("\n")
    );
}

/// Returns the bytes of hexadecimal digits; white space is ignored.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    let starts = (0..digits.len()).step_by(HEX_DIGITS_PER_BYTE);
    starts
        .map(|start| {
            let byte = &digits[start..start + HEX_DIGITS_PER_BYTE];
            u8::from_str_radix(byte, HEX_RADIX).expect("a byte is two hex digits")
        })
        .collect()
}

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Names of all variants of an enum, created by [`variants`].
pub struct Variants<T> {
    pub names: &'static [&'static str],
    pub name_of: fn(&T) -> &'static str,
}

impl<T> Variants<T> {
    /// Asserts that every variant is among the values.
    pub fn assert_covered<'a>(&self, values: impl IntoIterator<Item = &'a T>)
    where
        T: 'a,
    {
        let seen: BTreeSet<&str> = values.into_iter().map(self.name_of).collect();
        let all: BTreeSet<&str> = self.names.iter().copied().collect();
        assert_eq!(seen, all);
    }
}

/// Creates a [`Variants`] from the variants of an enum. The match has no wildcard, so
/// a new variant does not compile until it is listed, and a listed variant fails the
/// test until it has a sample.
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
