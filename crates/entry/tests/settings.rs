//! Settings of the entry binary are checked before anything is opened.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccatrail"))
        .args(arguments)
        .output()
        .expect("the binary starts")
}

#[test]
fn faulty_setting_is_named() {
    let output = run(&["serve", "--name", "", "--data-centre", "north", "--listen", "127.0.0.1:0"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(text.contains("name must not be empty"), "unexpected message: {text}");
}

#[test]
fn missing_setting_is_named() {
    let output = run(&["serve", "--name", "entry-0", "--data-centre", "north"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(text.contains("--listen"), "unexpected message: {text}");
}
