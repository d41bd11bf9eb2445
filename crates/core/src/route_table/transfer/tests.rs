use super::*;

const TARGET: ConfigurationId = ConfigurationId { version: 3, fingerprint: 33 };
const BASE: ConfigurationId = ConfigurationId { version: 2, fingerprint: 22 };

fn encoded(base: Option<ConfigurationId>, target: ConfigurationId, bytes: usize) -> EncodedChange {
    let content: Vec<u8> = (0..bytes).map(|it| (it % 251) as u8).collect();
    EncodedChange::new(base, target, content.into())
}

/// Transfers everything and returns the bytes and the number of parts; every `lost`th part is lost.
fn transfer(sender: &EncodedChange, known: Option<ConfigurationId>, lost: usize) -> (Bytes, usize) {
    let mut incoming = IncomingTransfer::default();
    for number in 1.. {
        let request = incoming.next_request(known);
        let part = sender.part(request.offset);
        if number % lost == 0 {
            continue;
        }
        if let Received::Complete(bytes) = incoming.receive(part) {
            return (bytes, number);
        }
    }
    unreachable!("the loop ends with a complete transfer");
}

#[test]
fn a_transfer_goes_on_after_a_lost_part() {
    let sender = encoded(None, TARGET, 10 * PART_BYTES + 1);
    let (bytes, parts) = transfer(&sender, None, 3);
    assert_eq!(bytes, sender.bytes);
    // Eleven parts, and every third one is sent in vain.
    assert_eq!(parts, 16);
}

#[test]
fn another_entry_goes_on_with_a_transfer() {
    let (first, second) = (encoded(None, TARGET, 100_000), encoded(None, TARGET, 100_000));
    let mut incoming = IncomingTransfer::default();
    assert_eq!(incoming.receive(first.part(0)), Received::Incomplete);
    let request = incoming.next_request(None);
    assert_eq!((request.transfer, request.offset), (Some(second.transfer()), PART_BYTES));
    assert_eq!(incoming.receive(second.part(request.offset)), Received::Incomplete);
}

#[test]
fn parts_of_another_transfer_begin_anew_and_damaged_bytes_are_not_used() {
    let mut incoming = IncomingTransfer::default();
    assert_eq!(incoming.receive(encoded(None, BASE, 100_000).part(0)), Received::Incomplete);
    let other = encoded(None, TARGET, 50_000);
    assert_eq!(incoming.receive(other.part(PART_BYTES)), Received::Invalid, "its begin is missing");
    assert_eq!(incoming.receive(other.part(0)), Received::Incomplete);
    let mut damaged = other.part(PART_BYTES);
    damaged.bytes = vec![0; damaged.bytes.len()].into();
    assert_eq!(incoming.receive(damaged), Received::Invalid);
    assert_eq!(incoming.next_request(None).offset, 0);
    let mut endless = other.part(0);
    endless.total_bytes = usize::MAX;
    assert_eq!(incoming.receive(endless), Received::Invalid);
    let mut empty = other.part(0);
    empty.bytes = Bytes::new();
    assert_eq!(incoming.receive(empty), Received::Invalid, "it would never end");
}

#[test]
fn a_transfer_ends_when_another_way_delivers_a_configuration() {
    let sender = encoded(Some(BASE), TARGET, 100_000);
    let mut incoming = IncomingTransfer::default();
    assert_eq!(incoming.receive(sender.part(0)), Received::Incomplete);
    assert_eq!(incoming.next_request(Some(BASE)).offset, PART_BYTES);
    assert_eq!(incoming.next_request(Some(TARGET)).offset, 0, "it is in force already");
    assert_eq!(incoming.receive(sender.part(0)), Received::Incomplete);
    let other = ConfigurationId { version: 2, fingerprint: 23 };
    assert_eq!(incoming.next_request(Some(other)).offset, 0, "the change does not fit to it");
}
