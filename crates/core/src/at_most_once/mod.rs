//! At-most-once execution of non-idempotent calls, coordinated by a claim stored in the platform.
//!
//! # Protocol
//!
//! Each idempotency key has one platform object, the claim, which is created only if absent. The
//! entry whose token the claim contains is the holder. Only the holder dispatches the call: to one
//! agent at a time, and to the next agent only after the previous one confirmed that it did not run
//! the call and never will. The claim changes hands only after the holder itself has marked it as
//! not run; the next holder takes it over by an update conditional on exactly that version. Holders
//! have no timeout, so an entry that was paused for long finds its claim unchanged. The epoch in
//! the record counts the holders. A holder needs no new epoch for another dispatch, since no other
//! entry may act on its claim in the meantime. Claims must not be deleted while copies of their
//! call may still be sent.
//!
//! When the response to a write is lost, the entry reads the claim back and compares the token: its
//! own token means that the write took effect. If the write may still be in progress, the entry
//! repeats it; both are conditional, so only one of them can take effect.
//!
//! # Meaning of a refusal
//!
//! The idempotency key identifies the call across its copies, so `not_run` refers to all of them.
//!
//! - The holder may report `not_run` whenever none of its own dispatches ran: no other entry can
//!   have run the call under its claim. It then releases the claim, so that a later copy may run.
//! - A claim held by another request results in its recorded outcome or `unknown`, never in
//!   `not_run`.
//! - When the platform is unreachable, or a write with a lost response cannot be confirmed before
//!   the dispatch limit, this entry has not dispatched the call and never will, but another copy
//!   may have run. The refusal reports `not_run` only if the caller declared that this is the only
//!   copy ([`ClaimRequest::only_copy`]), else `unknown`. An entry that sets `only_copy` without
//!   such a declaration narrows the meaning of `not_run` to the refused copy.
//! - After a refusal because of a lost response the flow continues in the background: it reads the
//!   claim and marks it as not run, or creates it in that state if it is still absent, which also
//!   keeps the earlier write from taking effect later. If this does not succeed before the flow
//!   ends, the key stays claimed and every later copy is refused with `unknown`.
//!
//! # Requirements on the entry
//!
//! Each action that calls the platform must be followed by exactly one event; a call that timed out
//! is reported as lost, and its late response is dropped. `Unavailable` may be reported only if the
//! call certainly had no effect. A [`DispatchPermission`] must be redeemed immediately before the
//! submit to the agent, whose dispatch limit must be no later than the one returned. An unused
//! permission, and an attempt whose cancel the agent confirmed as not run, must be reported as not
//! run, even after the reply to the caller: the flow then releases the claim. Flows must be kept
//! until they are finished.

mod action;
mod flow;
mod hex;
mod record;
mod steps;

pub use self::{
    action::{ClaimAction, ClaimEvent, ClaimReply, DispatchPermission, DispatchResult},
    flow::{ClaimFlow, ClaimRequest},
    record::{
        CallResponse, ClaimName, ClaimRecord, ClaimState, ClaimToken, RecordedBody, claim_name,
    },
};

#[cfg(test)]
mod tests;
