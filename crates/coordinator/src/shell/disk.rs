//! The thread that owns the store: writes in order, syncs in groups.

use crate::effect::Input;
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use storage::{Batch, Disk, Identity, StorageError, Store};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Entries joined into one write at most.
const MAX_GROUP_ENTRIES: usize = 4_096;

/// Something to write.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// The identity.
    Identity(Identity),
    /// A batch of the log.
    Batch { number: u64, batch: Batch },
}

/// The thread, as the shell sees it.
pub(crate) struct DiskThread {
    jobs: Sender<DiskJob>,
    done: UnboundedReceiver<Result<Input, StorageError>>,
}

impl DiskThread {
    /// Starts the thread. It ends with the first error, or when the shell
    /// drops this.
    pub(crate) fn start<D: Disk + 'static>(store: Store<D>) -> io::Result<Self> {
        let (jobs, waiting) = channel();
        let (reports, done) = unbounded_channel();
        std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve(store, &waiting, &reports))?;
        Ok(Self { jobs, done })
    }

    /// Queues a write. If the thread has ended, [`DiskThread::done`] says why.
    pub(crate) fn submit(&self, job: DiskJob) {
        if self.jobs.send(job).is_err() {
            tracing::error!("disk writer thread exited");
        }
    }

    /// Ends what is queued and waits until the thread has let go of the store:
    /// another process, or a restart, may open it then.
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
                let (number, batch, rest) = group(number, batch, jobs);
                left_over = rest;
                store.write(&batch).map(|()| Input::Persisted { number })
            }
        };
        let failed = result.is_err();
        if reports.send(result).is_err() || failed {
            return;
        }
    }
}

/// Joins batches that wait and follow one another into one. A sync of the last
/// one's number stands for all before it.
fn group(
    mut number: u64,
    mut batch: Batch,
    jobs: &Receiver<DiskJob>,
) -> (u64, Batch, Option<DiskJob>) {
    while let Ok(job) = jobs.try_recv() {
        match job {
            DiskJob::Batch {
                number: next,
                batch: following,
            } if follows(&batch, &following) => {
                number = next;
                batch.hard_state = following.hard_state.or(batch.hard_state);
                batch.entries.extend(following.entries);
            }
            other => return (number, batch, Some(other)),
        }
    }
    (number, batch, None)
}

fn follows(batch: &Batch, following: &Batch) -> bool {
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
