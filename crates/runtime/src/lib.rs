//! Infrastructure shared by the binaries: JSON logs, signals, clock, supervised tasks, control state,
//! HTTP server and common settings.

pub mod accept;
pub mod clock;
pub mod control;
pub mod http;
pub mod logging;
pub mod open_connections;
pub mod request_body;
pub mod response_end;
pub mod settings;
pub mod shutdown;
pub mod supervisor;
pub mod threads;
