//! Review of the tenant lists in turn, for starving tasks and changed reasons.

use crate::decision::{Decision, DecisionKind};
use crate::index::ListIndex;
use crate::view::View;
use types::Now;

/// Maximum number of runners examined for reasons in one review. Each reason
/// examines every runner of its pool, so that fewer lists are reviewed at once
/// in a large cluster. The next review continues after them.
const MAX_RUNNERS_SCANNED: usize = 4_096;

impl View {
    /// Reviews the next lists, at least one, and adds the decisions on tasks
    /// whose reason has changed.
    pub(crate) fn review_lists(&mut self, now: Now, decisions: &mut Vec<Decision>) {
        let max_lists = MAX_RUNNERS_SCANNED / self.runners.len().max(1);
        let lists = self.lists.len();
        for _ in 0..max_lists.max(1).min(lists) {
            self.review_cursor = (self.review_cursor + 1) % lists;
            let list = self.review_cursor;
            self.rescan_if_limited_by_headroom(list);
            self.reserve_for_starving_task(list, now);
            decisions.extend(self.changed_reason(list, now));
        }
    }

    /// Makes a list that was limited by headroom drawable again, since headroom
    /// shrinks with time and no event reports that.
    fn rescan_if_limited_by_headroom(&mut self, index: ListIndex) {
        let list = &mut self.lists[index];
        if std::mem::take(&mut list.limited_by_headroom) {
            list.above_limit = false;
            self.refresh_list(index);
        }
    }

    /// Returns the decision on the list's first task if its reason has changed.
    fn changed_reason(&mut self, index: ListIndex, now: Now) -> Option<Decision> {
        let list = &self.lists[index];
        let (queue, tenant) = (list.queue, list.tenant);
        let first = list.pending().first().map(|order| order.task);
        let reason = first.and_then(|task| self.explain(task, now));
        let list = &mut self.lists[index];
        if list.last_reason == reason {
            return None;
        }
        list.last_reason.clone_from(&reason);
        Some(Decision {
            at: now.wall,
            queue: self.queues.name(queue)?.clone(),
            tenant: self.tenants.name(tenant)?.clone(),
            kind: DecisionKind::NotPlaced {
                task: first?,
                reason: reason?,
            },
        })
    }
}
