//! Plays one case of the review: real relay processes, stand-ins and clients on loopback.
//!
//! `review-harness CASE ROOT RECORD`; exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod engine;
mod http;
mod relay;
mod store;

use std::{fs, path::PathBuf, process::ExitCode};

use crate::cases::{Outcome, header_limit, late_copies, slow_reader, slow_readers_memory};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let root = PathBuf::from(arguments.next().unwrap_or_default());
    let record = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let play = match case.as_str() {
        "late-copies" => late_copies::play,
        "slow-reader" => slow_reader::play,
        "slow-readers-memory" => slow_readers_memory::play,
        "header-limit" => header_limit::play,
        other => {
            eprintln!("unknown case {other:?}");
            return ExitCode::from(2);
        }
    };
    let folder = match relay::temporary_folder(&case) {
        Ok(folder) => folder,
        Err(error) => {
            eprintln!("no temporary folder: {error}");
            return ExitCode::from(2);
        }
    };
    let played = play(&root, &folder, has_trouble);
    let (code, lines) = match played {
        Ok(Outcome { broken, mut lines }) => {
            lines.push(String::new());
            lines.push(match broken.len() {
                0 => "the rule held".to_owned(),
                count => format!("the rule was broken {count} times:"),
            });
            lines.extend(broken.iter().cloned());
            (u8::from(!broken.is_empty()), lines)
        }
        Err(error) => (2, vec![format!("the case could not run: {error}")]),
    };
    if std::env::var_os("KEEP_FOLDER").is_none() {
        relay::remove_folder(&folder);
    }
    let text = format!(
        "case {case}, disruption {}\n\n{}\n",
        if has_trouble { "on" } else { "off" },
        lines.join("\n")
    );
    if let Err(error) = fs::write(&record, text) {
        eprintln!("no record written: {error}");
        return ExitCode::from(2);
    }
    println!("{}", lines.last().cloned().unwrap_or_default());
    ExitCode::from(code)
}
