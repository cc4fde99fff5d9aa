//! Reduction of a failing plan to the faults that cause the failure.

use crate::plan::Plan;

/// Removes faults from a plan as long as `fails` returns true for the rest: halves first,
/// then smaller chunks, then single faults. Calls `fails` at most `max_runs` times.
pub fn shrink(plan: &Plan, max_runs: usize, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
    let mut smallest = plan.clone();
    let mut runs = 0;
    let mut chunk = smallest.faults.len().div_ceil(2);
    while chunk > 0 && runs < max_runs {
        let mut removed = false;
        let mut start = 0;
        while start < smallest.faults.len() && runs < max_runs {
            let mut candidate = smallest.clone();
            let end = (start + chunk).min(candidate.faults.len());
            candidate.faults.drain(start..end);
            runs += 1;
            if fails(&candidate) {
                smallest = candidate;
                removed = true;
            } else {
                start += chunk;
            }
        }
        chunk = match (removed, chunk) {
            (true, _) => chunk.min(smallest.faults.len()),
            (false, 1) => 0,
            (false, _) => chunk.div_ceil(2),
        };
    }
    smallest
}
