//! `promote`: applies the document of one environment to another, byte for byte.

use std::{process::ExitCode, sync::Arc};

use bpaf::{Parser, construct, long};
use tokio::time::Instant;
use yuccatrail_core::{
    control::{ChangeFlow, StoredConfig},
    ids::Digest,
};
use yuccatrail_platform::{Backoff, BackoffSettings, CURRENT, Client, Kind, PlatformError};

use super::{
    change,
    confirm::{ControlPart, confirm},
    options::{self, Connection},
    outcome::Outcome,
};

/// Length of a digest in hexadecimal form, in characters.
const DIGEST_CHARS: usize = 64;

/// Arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    connection: Connection,
    from: String,
    to: String,
    digest: String,
    expect_version: Option<u64>,
    wait_ms: Option<u64>,
}

/// Parses the command.
pub(crate) fn command() -> impl Parser<Arguments> {
    let connection = options::connection();
    let from = long("from")
        .help("Environment in which the document was tried")
        .argument("NAME")
        .fallback("trial".to_owned())
        .display_fallback();
    let to = long("to")
        .help("Environment in which the document comes into force")
        .argument("NAME")
        .fallback("production".to_owned())
        .display_fallback();
    let digest = long("digest")
        .help("Digest of the document, as printed by `check`")
        .argument::<String>("DIGEST")
        .map(|it| it.to_ascii_lowercase())
        .guard(is_digest, "a digest has 64 hexadecimal digits");
    let expect_version = options::expect_version();
    let wait_ms = options::wait_ms();
    construct!(Arguments { connection, from, to, digest, expect_version, wait_ms })
        .to_options()
        .descr("Put the document that was tried into force elsewhere, byte for byte")
        .footer(options::EXIT_CODES)
        .command("promote")
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    promote(&arguments).await.report(arguments.connection.json)
}

async fn promote(arguments: &Arguments) -> Outcome {
    let deadline = arguments.connection.deadline();
    let source = arguments.connection.client(&arguments.from);
    let text = match source_text(arguments, &source, deadline).await {
        Ok(text) => text,
        Err(outcome) => return outcome,
    };
    let flow = match ChangeFlow::promote(text, arguments.expect_version, change::new_change_id()) {
        Ok(flow) => flow,
        Err(faults) => return Outcome::faulty(&arguments.from, &faults),
    };
    let target = arguments.connection.client(&arguments.to);
    let finished = change::apply_document(&target, flow, deadline).await;
    confirm(finished.into(), &target, ControlPart::Config, arguments.wait_ms).await
}

/// Reads the document to promote and checks its digest.
async fn source_text(
    arguments: &Arguments,
    client: &Client,
    deadline: Instant,
) -> Result<Arc<str>, Outcome> {
    let stored = match read_with_retries(client, deadline).await {
        Ok(stored) => stored,
        Err(error) => return Err(Outcome::NotAccepted { detail: error.to_string() }),
    };
    let mismatch = |found: String| Outcome::SourceMismatch {
        environment: arguments.from.clone(),
        wanted: arguments.digest.clone(),
        found,
    };
    let Some(stored) = stored else {
        return Err(mismatch("no document".to_owned()));
    };
    // The digest is computed from the stored text, so that a corrupted text is refused.
    let found = Digest::of(stored.record.text.as_bytes()).to_string();
    if found != arguments.digest {
        return Err(mismatch(format!("{found} as version {}", stored.record.version)));
    }
    Ok(stored.record.text)
}

/// Reads the stored document; retries with backoff while the platform is unavailable, until the
/// deadline.
async fn read_with_retries(
    client: &Client,
    deadline: Instant,
) -> Result<Option<StoredConfig>, PlatformError> {
    let mut backoff = Backoff::new(BackoffSettings::default());
    loop {
        let error = match client.get::<StoredConfig>(Kind::Environments, CURRENT).await {
            Ok(object) => return Ok(object.map(|it| it.spec)),
            Err(error) => error,
        };
        let PlatformError::Unavailable { retry_after_ms, .. } = error else { return Err(error) };
        let next = Instant::now() + backoff.fail(retry_after_ms, rand::random());
        if next >= deadline {
            return Err(error);
        }
        tokio::time::sleep_until(next).await;
    }
}

#[expect(clippy::ptr_arg, reason = "the parser's guard passes the parsed type")]
fn is_digest(text: &String) -> bool {
    text.len() == DIGEST_CHARS && text.bytes().all(|it| it.is_ascii_hexdigit())
}
