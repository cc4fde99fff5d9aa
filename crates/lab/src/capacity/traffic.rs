//! Rates of messages and bytes by kind, from the daemons' metrics.

use serde::Serialize;
use std::collections::BTreeMap;

/// Metric values of one daemon at one time, by metric name with labels.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counters {
    values: BTreeMap<String, f64>,
}

/// Rates of messages and bytes of one kind in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Flow {
    /// Messages per second.
    pub messages: f64,
    /// Bytes per second, including the framing.
    pub bytes: f64,
}

/// Rates of a daemon's messages by kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Rates of sent messages by kind.
    pub sent: BTreeMap<String, Flow>,
    /// Rates of received messages by kind.
    pub received: BTreeMap<String, Flow>,
}

impl Counters {
    /// Parses a metrics page in the Prometheus text format. Skips lines without a
    /// numeric value.
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let values = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Self {
            values: values.collect(),
        }
    }

    /// Returns the value of a metric, or 0 if it is absent.
    pub fn get(&self, name: &str) -> f64 {
        self.values.get(name).copied().unwrap_or_default()
    }

    /// Returns the rates since an earlier reading, taken `seconds` before.
    pub fn traffic_since(&self, earlier: &Self, seconds: f64) -> Traffic {
        Traffic {
            sent: self.flows(earlier, "sent", seconds),
            received: self.flows(earlier, "received", seconds),
        }
    }

    fn flows(&self, earlier: &Self, direction: &str, seconds: f64) -> BTreeMap<String, Flow> {
        let prefix = format!("cypressdrum_peer_kind_{direction}_total{{kind=\"");
        let kinds = self.values.keys().filter_map(|name| {
            let kind = name.strip_prefix(&prefix)?;
            kind.strip_suffix("\"}")
        });
        let rate = |name: String| (self.get(&name) - earlier.get(&name)) / seconds;
        let flow = |kind: &str| Flow {
            messages: rate(format!("{prefix}{kind}\"}}")),
            bytes: rate(format!(
                "cypressdrum_peer_kind_{direction}_bytes_total{{kind=\"{kind}\"}}"
            )),
        };
        kinds.map(|kind| (kind.to_owned(), flow(kind))).collect()
    }
}

impl Traffic {
    /// Returns the sum over all kinds and both directions.
    pub fn total(&self) -> Flow {
        let flows = self.sent.values().chain(self.received.values());
        flows.fold(Flow::default(), |sum, flow| Flow {
            messages: sum.messages + flow.messages,
            bytes: sum.bytes + flow.bytes,
        })
    }
}
