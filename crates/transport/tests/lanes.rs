//! Messages that renew leases and sessions do not wait behind requests.

mod common;

use common::{Daemon, KEY, numbered_message, with_timeout};
use std::time::Duration;
use transport::{Lane, Operation, PeerMessage, Request, RequestId};
use types::Milliseconds;

/// More requests than a lane holds.
const REQUESTS: u64 = 3_000;
/// Requests sent in one batch: less than the length of the sender's queue.
const BATCH_REQUESTS: u64 = 8;

fn request(id: u64) -> PeerMessage {
    PeerMessage::Request(Request {
        id: RequestId(id),
        time_left: Milliseconds(1_000),
        operation: Operation::ListMembers,
    })
}

#[tokio::test]
async fn liveness_message_overtakes_requests_of_same_connection() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    sender.send_until_received(&mut receiver).await;
    // The receiver reads nothing meanwhile, so the lane for requests overflows.
    for id in 0..REQUESTS {
        sender.transport.send(receiver.socket(), request(id));
        if id % BATCH_REQUESTS == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let request_queued = async {
        while receiver.inbox.queued(Lane::Requests) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    with_timeout(request_queued).await;
    sender
        .transport
        .send(receiver.socket(), numbered_message(7));
    let liveness_queued = async {
        while receiver.inbox.queued(Lane::Liveness) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    with_timeout(liveness_queued).await;
    let first = with_timeout(receiver.inbox.recv_arrival()).await.unwrap();
    assert_eq!(first.lane, Lane::Liveness);
    let second = receiver.inbox.try_recv_arrival().unwrap();
    assert_eq!(second.lane, Lane::Requests);
}

#[test]
fn relay_uses_lane_of_its_body() {
    let own = types::Address {
        node: types::NodeId(1),
        role: types::Role::Agent,
        zone: types::ZoneName::new("zone-a").unwrap(),
        socket: "127.0.0.1:1".parse().unwrap(),
    };
    let relay = |body: PeerMessage| {
        PeerMessage::Relay(transport::Relay {
            origin: own.clone(),
            destination: own.socket,
            body: Box::new(body),
        })
    };
    assert_eq!(Lane::of(&relay(request(1))), Lane::Requests);
    assert_eq!(Lane::of(&relay(PeerMessage::Discover)), Lane::Liveness);
}
