//! Attempts: output reassembly at entries, records at agents, and the retry budget.

mod assembler;
mod ledger;
mod page;
mod record;
mod retry_budget;

pub use self::{
    assembler::{OutputAssembler, PageResult},
    ledger::{AttemptLedger, LedgerLimits},
    page::{AttemptFailure, Completion, OutputPage, Progress},
    record::{AttemptKey, AttemptLookup, CancelResult, DispatchCheck, SubmitResult},
    retry_budget::RetryBudget,
};

#[cfg(test)]
mod tests;
