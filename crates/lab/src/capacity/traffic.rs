//! Messages and bytes by kind, from the daemons' metrics.

use serde::Serialize;
use std::collections::BTreeMap;

/// Counters of one daemon at one time, by their whole name with labels.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counters {
    values: BTreeMap<String, f64>,
}

/// Messages and bytes of one kind and direction, a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Flow {
    /// Messages a second.
    pub messages: f64,
    /// Framed bytes a second.
    pub bytes: f64,
}

/// Everything a daemon sent and received, by kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// What it sent.
    pub sent: BTreeMap<String, Flow>,
    /// What it received.
    pub received: BTreeMap<String, Flow>,
}

impl Counters {
    /// Reads a metrics page.
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

    /// One value; zero if it is not there.
    pub fn get(&self, name: &str) -> f64 {
        self.values.get(name).copied().unwrap_or_default()
    }

    /// What flowed since an earlier reading, a second.
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
    /// All kinds and both directions together.
    pub fn total(&self) -> Flow {
        let flows = self.sent.values().chain(self.received.values());
        flows.fold(Flow::default(), |sum, flow| Flow {
            messages: sum.messages + flow.messages,
            bytes: sum.bytes + flow.bytes,
        })
    }
}
