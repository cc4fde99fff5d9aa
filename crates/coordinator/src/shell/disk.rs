//! Disk thread: owns the store, writes in order and syncs in groups.

use crate::effect::Input;
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use storage::{Batch, Disk, Identity, StorageError, Store};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Limit of entries joined into one write.
const MAX_GROUP_ENTRIES: usize = 4_096;

/// A write for the disk thread.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// Replaces the saved identity.
    Identity(Identity),
    /// Appends to the log or replaces the snapshot. `number` is that of
    /// [`crate::Effect::Persist`].
    Batch { number: u64, batch: Batch },
}

/// Handle of the disk thread.
pub(crate) struct DiskThread {
    jobs: Sender<DiskJob>,
    completed: UnboundedReceiver<Result<Input, StorageError>>,
}

impl DiskThread {
    /// Starts the thread, which ends at the first error or when the handle is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot start a thread.
    pub(crate) fn start<D: Disk + 'static>(store: Store<D>) -> io::Result<Self> {
        let (jobs, queue) = channel();
        let (results, completed) = unbounded_channel();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve(store, &queue, &results))?;
        Ok(Self { jobs, completed })
    }

    /// Queues a write. If the thread has ended, the error is returned by
    /// [`DiskThread::next_completed`].
    pub(crate) fn submit(&self, job: DiskJob) {
        if self.jobs.send(job).is_err() {
            tracing::error!("disk writer thread exited");
        }
    }

    /// Waits until all queued writes are complete and the thread has closed the
    /// store, so that another process can open it.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the thread.
    pub(crate) async fn finish(mut self) -> Result<(), StorageError> {
        drop(self.jobs);
        while let Some(completed) = self.completed.recv().await {
            completed?;
        }
        Ok(())
    }

    /// Waits for the next completed write, or the error that ended the thread.
    /// Returns `None` after the thread has ended.
    pub(crate) async fn next_completed(&mut self) -> Option<Result<Input, StorageError>> {
        self.completed.recv().await
    }
}

fn serve<D: Disk>(
    mut store: Store<D>,
    jobs: &Receiver<DiskJob>,
    results: &UnboundedSender<Result<Input, StorageError>>,
) {
    let mut next_job = None;
    while let Some(job) = next_job.take().or_else(|| jobs.recv().ok()) {
        let result = match job {
            DiskJob::Identity(identity) => store
                .save_identity(&identity)
                .map(|()| Input::IdentitySaved),
            DiskJob::Batch { number, batch } => {
                let group = join_batches(number, batch, jobs);
                next_job = group.next_job;
                let number = group.number;
                store
                    .write(&group.batch)
                    .map(|()| Input::Persisted { number })
            }
        };
        let failed = result.is_err();
        if results.send(result).is_err() || failed {
            return;
        }
    }
}

/// Batches joined into one write.
struct BatchGroup {
    /// Number of the last batch in the group.
    number: u64,
    batch: Batch,
    /// Job that was taken from the queue and could not be joined.
    next_job: Option<DiskJob>,
}

/// Joins consecutive queued batches into one write. Its completion is reported
/// with the last number, which includes all earlier ones.
fn join_batches(mut number: u64, mut batch: Batch, jobs: &Receiver<DiskJob>) -> BatchGroup {
    while let Ok(job) = jobs.try_recv() {
        match job {
            DiskJob::Batch {
                number: next,
                batch: following,
            } if can_join(&batch, &following) => {
                number = next;
                batch.hard_state = following.hard_state.or(batch.hard_state);
                batch.entries.extend(following.entries);
            }
            other => {
                return BatchGroup {
                    number,
                    batch,
                    next_job: Some(other),
                };
            }
        }
    }
    BatchGroup {
        number,
        batch,
        next_job: None,
    }
}

fn can_join(batch: &Batch, following: &Batch) -> bool {
    if batch.snapshot.is_some() || following.snapshot.is_some() {
        return false;
    }
    if batch.entries.len() + following.entries.len() > MAX_GROUP_ENTRIES {
        return false;
    }
    match (batch.entries.last(), following.entries.first()) {
        (Some(last), Some(first)) => last.index.next() == first.index,
        _ => true,
    }
}
