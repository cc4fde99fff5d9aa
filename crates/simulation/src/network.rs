//! The virtual network: partitions, loss, duplication and delay of messages.

use crate::ids::{MachineIndex, Micros};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Range of the delay within a zone.
const SAME_ZONE_DELAY_MICROS: (Micros, Micros) = (150, 400);
/// Range of the delay between zones, about 1 ms.
const CROSS_ZONE_DELAY_MICROS: (Micros, Micros) = (900, 1_400);

/// Loss, duplication and extra delay that apply to the whole network.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkConditions {
    /// Share of lost messages, per thousand.
    pub loss_per_thousand: u32,
    /// Share of duplicated messages, per thousand.
    pub double_per_thousand: u32,
    /// Upper bound of the random extra delay, in milliseconds.
    pub delay_ms: u64,
}

/// Packet loss on all links of one machine, as a connection with retransmission shows
/// it: a message whose packet is lost arrives late, and so do later messages on the same
/// link, since the order is kept.
#[derive(Debug, Clone, Copy)]
pub struct LossyLinks {
    /// Share of messages whose packet is lost, per thousand.
    pub lost_per_thousand: u32,
    /// Time until a lost packet is retransmitted, in milliseconds.
    pub wait_ms: u64,
    /// Virtual time at which the loss ends.
    pub until: Micros,
}

/// Network faults in force.
#[derive(Debug, Default)]
pub struct Network {
    lossy: BTreeMap<MachineIndex, LossyLinks>,
    /// Arrival time of the last retransmitted message on each lossy link.
    retransmitted_at: BTreeMap<(MachineIndex, MachineIndex), Micros>,
    /// End of the partition of each direction.
    partitions: BTreeMap<(MachineIndex, MachineIndex), Micros>,
    conditions: NetworkConditions,
    conditions_until: Micros,
}

impl Network {
    /// Blocks all messages in one direction until `until`, or until the end of a longer
    /// partition already in force.
    pub fn partition(&mut self, from: MachineIndex, to: MachineIndex, until: Micros) {
        let end = self.partitions.entry((from, to)).or_default();
        *end = (*end).max(until);
    }

    /// Sets the conditions of the whole network until `until`.
    pub fn set_conditions(&mut self, conditions: NetworkConditions, until: Micros) {
        self.conditions = conditions;
        self.conditions_until = until;
    }

    /// Sets the packet loss on all links of a machine.
    pub fn set_lossy(&mut self, machine: MachineIndex, links: LossyLinks) {
        self.lossy.insert(machine, links);
    }

    /// Ends all partitions, packet loss and network conditions.
    pub fn heal(&mut self) {
        self.lossy.clear();
        self.partitions.clear();
        self.conditions_until = 0;
    }

    /// Returns whether messages in this direction are blocked at `now`.
    pub fn is_partitioned(&self, from: MachineIndex, to: MachineIndex, now: Micros) -> bool {
        self.partitions
            .get(&(from, to))
            .is_some_and(|until| now < *until)
    }

    /// Returns the delay of each copy of a message that arrives; none if the message is
    /// lost.
    pub fn deliveries(
        &mut self,
        random: &mut ChaCha8Rng,
        now: Micros,
        from: MachineIndex,
        to: MachineIndex,
        same_zone: bool,
    ) -> Vec<Micros> {
        if self.is_partitioned(from, to, now) {
            return Vec::new();
        }
        let conditions = self.conditions_at(now);
        if per_thousand(random, conditions.loss_per_thousand) {
            return Vec::new();
        }
        let copies = if per_thousand(random, conditions.double_per_thousand) {
            2
        } else {
            1
        };
        let delays: Vec<Micros> = (0..copies)
            .map(|_| delay(random, same_zone, conditions.delay_ms))
            .collect();
        match self.lossy_link(from, to, now) {
            None => delays,
            Some(links) => delays
                .into_iter()
                .map(|delay| self.lossy_link_delay(random, (from, to), now, delay, links))
                .collect(),
        }
    }

    fn lossy_link(&self, from: MachineIndex, to: MachineIndex, now: Micros) -> Option<LossyLinks> {
        let endpoints = [from, to].into_iter();
        endpoints
            .filter_map(|machine| self.lossy.get(&machine))
            .find(|links| now < links.until)
            .copied()
    }

    /// Returns the delay of a message on a lossy link; without packet loss it would be
    /// `delay`.
    fn lossy_link_delay(
        &mut self,
        random: &mut ChaCha8Rng,
        link: (MachineIndex, MachineIndex),
        now: Micros,
        delay: Micros,
        links: LossyLinks,
    ) -> Micros {
        let lost = per_thousand(random, links.lost_per_thousand);
        let retransmitted_at = self.retransmitted_at.entry(link).or_default();
        let retransmits = *retransmitted_at > now;
        // A packet lost during a retransmission is retransmitted along with it.
        if lost && !retransmits {
            *retransmitted_at = now + delay + links.wait_ms * 1_000;
        }
        (now + delay).max(*retransmitted_at) - now
    }

    fn conditions_at(&self, now: Micros) -> NetworkConditions {
        if now < self.conditions_until {
            self.conditions
        } else {
            NetworkConditions::default()
        }
    }
}

/// Returns true with probability `chance` / 1000. Draws no number if `chance` is 0.
pub fn per_thousand(random: &mut ChaCha8Rng, chance: u32) -> bool {
    chance > 0 && random.random_range(0..1_000) < chance
}

fn delay(random: &mut ChaCha8Rng, same_zone: bool, extra_ms: u64) -> Micros {
    let (low, high) = if same_zone {
        SAME_ZONE_DELAY_MICROS
    } else {
        CROSS_ZONE_DELAY_MICROS
    };
    let base = random.random_range(low..=high);
    let extra = if extra_ms > 0 {
        random.random_range(0..=extra_ms * 1_000)
    } else {
        0
    };
    base + extra
}
