//! Runs a call that may not be repeated at most once, by a claim kept in the platform.
//!
//! # Protocol
//!
//! One object per key, created if absent, is the claim. The entry that wrote its own token there is
//! the holder, and only the holder dispatches: to one agent at a time, and to a next one only after
//! the agent confirmed that it did not run the call and never will. The claim changes hands only
//! after the holder itself marked it as not run; the next holder takes it by an update conditional
//! on that very version. Holders are never timed out, so a paused entry that wakes late finds its
//! claim as it left it. The epoch in the record counts holders; a holder needs no new epoch for its
//! next dispatch, since nobody else may act on its claim meanwhile. Claims must not be deleted while
//! copies of their call may still be sent.
//!
//! An answer lost after a write is settled by reading the claim back and comparing the token: one's
//! own token means that the write took effect. If the write may still be under way, the same write
//! is made again, and since both are conditional only one can take effect.
//!
//! # What a refusal may say
//!
//! The idempotency key names the call across its copies, so a `not_run` speaks about all of them.
//!
//! - The holder may say `not_run` whenever none of its own dispatches ran: nobody else can have run
//!   the call under its claim. It then releases the claim, so that a later copy may run.
//! - A claim held by another yields its recorded outcome or `unknown`, never `not_run`.
//! - When the platform cannot be reached, or a lost answer cannot be settled before the dispatch
//!   limit, this entry has not dispatched and never will, but whether another copy ran is not known.
//!   The refusal says `not_run` only if the caller stated that this is the only copy
//!   ([`ClaimRequest::only_copy`]), else `unknown`. An entry that sets `only_copy` without such a
//!   statement narrows the meaning of `not_run` to the copy that was refused.
//! - After a refusal over a lost answer the flow goes on in the background: it reads the claim and
//!   marks it as not run, or creates it in that state if it is still absent, which at the same time
//!   keeps the earlier write from taking effect later. If that does not succeed before the flow
//!   ends, the key stays claimed and every later copy is told `unknown`.
//!
//! # Duties of the entry
//!
//! Each action that calls the platform gets exactly one event in return; a call that timed out is
//! reported as lost and its late answer dropped. `Unavailable` is reported only when the call
//! certainly had no effect. A [`DispatchPermission`] is redeemed straight before the submit to the
//! agent, whose dispatch limit is no later than the one returned. A permission that is not used, and
//! an attempt whose cancel the agent confirmed as not run, is reported as not run, also after the
//! caller has its reply: the flow then releases the claim. Flows are kept until they are finished.

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
