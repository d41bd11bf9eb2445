//! Flags shared by several operator commands.

use std::{net::SocketAddr, time::Duration};

use bpaf::{Parser, construct, long};
use tokio::time::Instant;
use yuccatrail_platform::{Client, ClientSettings};

/// Default timeout of a change, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Exit codes, shown at the end of each command's help.
pub(crate) const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 wrong command line or unreadable file; 2 faults in the document; \
3 another change won, nothing changed; 4 platform not available, nothing changed; \
5 undecided, the change may have taken effect; 6 accepted, but not every entry reports it yet";

/// Flags of commands that make a change: where, for how long, and the output format.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    /// Address of the platform's object API.
    pub(crate) platform: SocketAddr,
    /// Timeout of the change, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Whether the result is printed as JSON.
    pub(crate) json: bool,
}

impl Connection {
    /// Creates a platform client for an environment.
    pub(crate) fn client(&self, environment: &str) -> Client {
        client(self.platform, environment)
    }

    /// Returns the time at which a change that starts now times out.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.timeout_ms)
    }
}

/// Creates a platform client for an environment.
pub(crate) fn client(address: SocketAddr, environment: &str) -> Client {
    let environment = environment.to_owned();
    Client::new(ClientSettings { address, environment, ..ClientSettings::default() })
}

/// Parses the flags of a [`Connection`].
pub(crate) fn connection() -> impl Parser<Connection> {
    let platform = platform();
    let timeout_ms = long("timeout-ms")
        .help("Time after which the change is given up, in milliseconds")
        .argument("MS")
        .fallback(DEFAULT_TIMEOUT_MS)
        .display_fallback();
    let json = json();
    construct!(Connection { platform, timeout_ms, json })
}

/// Parses the platform's address.
pub(crate) fn platform() -> impl Parser<SocketAddr> {
    long("platform")
        .env("YUCCATRAIL_PLATFORM")
        .help("Address of the platform's object API")
        .argument("ADDRESS")
}

/// Parses the flag that selects JSON.
pub(crate) fn json() -> impl Parser<bool> {
    long("json").help("Print the result as one line of JSON").switch()
}

/// Parses the environment to read or change.
pub(crate) fn environment() -> impl Parser<String> {
    long("environment")
        .env("YUCCATRAIL_ENVIRONMENT")
        .help("Environment that the command is about")
        .argument("NAME")
        .fallback("production".to_owned())
        .display_fallback()
}

/// Parses the maximum wait until all entries report a change, in milliseconds.
pub(crate) fn wait_ms() -> impl Parser<Option<u64>> {
    long("wait-ms")
        .help("Wait up to this time, in milliseconds, until every entry reports the change")
        .argument("MS")
        .optional()
}

/// Parses the version that must be in force for the change to be made.
pub(crate) fn expect_version() -> impl Parser<Option<u64>> {
    long("expect-version")
        .help("Refuse with a conflict unless this version is in force; 0 stands for none")
        .argument("VERSION")
        .optional()
}
