//! What keeps leases and sessions alive does not wait behind requests.

mod common;

use common::{Daemon, KEY, guarded, numbered};
use std::time::Duration;
use transport::{Lane, Operation, PeerMessage, Request, RequestId};
use types::Milliseconds;

/// More requests than find a place.
const REQUESTS: u64 = 3_000;
/// Sent in turns, since the sender's own queue is short.
const AT_ONCE: u64 = 8;

fn request(id: u64) -> PeerMessage {
    PeerMessage::Request(Request {
        id: RequestId(id),
        time_left: Milliseconds(1_000),
        operation: Operation::ListMembers,
    })
}

#[tokio::test]
async fn a_liveness_message_overtakes_requests_of_the_same_connection() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    sender.reach(&mut receiver).await;
    // Nothing is taken out meanwhile, and there are more than find a place.
    for id in 0..REQUESTS {
        sender.transport.send(receiver.socket(), request(id));
        if id % AT_ONCE == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let full = async {
        while receiver.inbox.waiting(Lane::Requests) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    guarded(full).await;
    sender.transport.send(receiver.socket(), numbered(7));
    let arrived = async {
        while receiver.inbox.waiting(Lane::Liveness) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    guarded(arrived).await;
    let first = guarded(receiver.inbox.arrival()).await.unwrap();
    assert_eq!(first.lane, Lane::Liveness);
    let second = receiver.inbox.try_arrival().unwrap();
    assert_eq!(second.lane, Lane::Requests);
}

#[test]
fn a_message_that_is_passed_on_waits_with_what_it_carries() {
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
