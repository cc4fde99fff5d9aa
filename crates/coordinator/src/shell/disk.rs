//! The thread that owns the store: writes in order, syncs in groups.

use crate::effect::Input;
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use storage::{Batch, Disk, Identity, StorageError, Store};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Entries joined into one write at most.
const MAX_GROUP_ENTRIES: usize = 4_096;

/// A write for the disk thread.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// The identity.
    Identity(Identity),
    /// A batch of the log, and its number.
    Batch { number: u64, batch: Batch },
}

/// The handle of the disk thread.
pub(crate) struct DiskThread {
    jobs: Sender<DiskJob>,
    done: UnboundedReceiver<Result<Input, StorageError>>,
}

impl DiskThread {
    /// Starts the thread. It ends with the first error, or when the handle is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the system starts no thread.
    pub(crate) fn start<D: Disk + 'static>(store: Store<D>) -> io::Result<Self> {
        let (jobs, waiting) = channel();
        let (reports, done) = unbounded_channel();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve(store, &waiting, &reports))?;
        Ok(Self { jobs, done })
    }

    /// Queues a write. If the thread has ended, [`DiskThread::done`] returns the error.
    pub(crate) fn submit(&self, job: DiskJob) {
        if self.jobs.send(job).is_err() {
            tracing::error!("disk writer thread exited");
        }
    }

    /// Finishes what is queued and waits until the thread has closed the store:
    /// another process, or a restart, may open it then.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the thread.
    pub(crate) async fn finish(mut self) -> Result<(), StorageError> {
        drop(self.jobs);
        while let Some(done) = self.done.recv().await {
            done?;
        }
        Ok(())
    }

    /// The next finished write, or the error that ended the thread.
    pub(crate) async fn done(&mut self) -> Option<Result<Input, StorageError>> {
        self.done.recv().await
    }
}

fn serve<D: Disk>(
    mut store: Store<D>,
    jobs: &Receiver<DiskJob>,
    reports: &UnboundedSender<Result<Input, StorageError>>,
) {
    let mut left_over = None;
    while let Some(job) = left_over.take().or_else(|| jobs.recv().ok()) {
        let result = match job {
            DiskJob::Identity(identity) => store
                .save_identity(&identity)
                .map(|()| Input::IdentitySaved),
            DiskJob::Batch { number, batch } => {
                let group = join_batches(number, batch, jobs);
                left_over = group.next_job;
                let number = group.number;
                store
                    .write(&group.batch)
                    .map(|()| Input::Persisted { number })
            }
        };
        let failed = result.is_err();
        if reports.send(result).is_err() || failed {
            return;
        }
    }
}

/// Batches joined into one write.
struct BatchGroup {
    /// Number of the last batch.
    number: u64,
    batch: Batch,
    /// A job that was taken from the queue and could not be joined.
    next_job: Option<DiskJob>,
}

/// Joins queued batches that follow one another into one. Its sync reports the
/// last number, which covers all before it.
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
