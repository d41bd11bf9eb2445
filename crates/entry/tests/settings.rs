//! The entry binary reports invalid settings and exits before it opens any socket.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccatrail"))
        .args(arguments)
        .output()
        .expect("the binary should start")
}

#[test]
fn invalid_setting_is_named_in_error_message() {
    let output = run(&["serve", "--name", "", "--data-centre", "north", "--listen", "127.0.0.1:0"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(text.contains("name must not be empty"), "unexpected error message: {text}");
}

#[test]
fn missing_setting_is_named_in_error_message() {
    let output = run(&["serve", "--name", "entry-0", "--data-centre", "north"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(text.contains("--listen"), "unexpected error message: {text}");
}
