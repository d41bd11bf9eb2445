//! The agent binary checks its settings before it opens any address.

use std::process::{Command, Output};

fn run_agent(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccatrail-agent"))
        .args(arguments)
        .output()
        .expect("the binary starts")
}

#[test]
fn help_lists_each_setting_with_its_environment_variable() {
    let output = run_agent(&["--help"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success());
    for name in ["name", "pool", "data-centre", "listen", "admin-listen", "upstream"] {
        let variable = format!("YUCCATRAIL_{}", name.replace('-', "_").to_uppercase());
        assert!(text.contains(&format!("--{name}")), "{name} missing in {text}");
        assert!(text.contains(&variable), "{variable} missing in {text}");
    }
}

#[test]
fn invalid_setting_is_named_in_the_error_message() {
    let output = run_agent(&[
        "--name",
        "a",
        "--pool",
        "",
        "--data-centre",
        "north",
        "--listen",
        "127.0.0.1:0",
    ]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(text.contains("pool must not be empty"), "unexpected message: {text}");
}
