//! Tests of the parsing and validation of environment documents.

use insta::assert_snapshot;

use super::*;

fn faults(text: &str) -> String {
    let faults = parse(text).expect_err("the document has to have faults");
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

#[test]
fn document_with_all_kinds_of_elements_is_valid() {
    let text = r#"
[limits]
quarantine_strikes = 3

[[pool]]
name = "encoders"
kind = "encode"

[[pool]]
name = "models"
kind = "generate"
estimate_ms = 100
token_estimate_ms = 10

[[pool]]
name = "notices"
kind = "service"

[[pipeline]]
name = "answer"
deadline_ms = 2000

[[pipeline.stage]]
pool = "encoders"

[[pipeline.stage]]
pool = "models"
max_tokens = 100

[[service]]
name = "notices"
pool = "notices"
deadline_ms = 500
idempotent = [{ method = "GET" }]

[[customer]]
name = "acme"
"#;
    let document = parse(text).unwrap();
    assert_eq!(document.pipeline("answer").unwrap().stages.len(), 2);
    assert!(document.service("notices").unwrap().is_idempotent("GET", "/any"));
}

#[test]
fn empty_document_is_valid() {
    assert_eq!(parse("").unwrap(), Document::default());
}

#[test]
fn syntax_errors_are_reported_with_their_lines() {
    assert_snapshot!(faults("[limits]\nmax_body_bytes = \n[[pool]\n"), @"
    line 2: document: not valid TOML: string values must be quoted, expected literal string
    line 3: document: not valid TOML: unclosed array table, expected `]`
    ");
}

#[test]
fn unknown_keys_and_wrong_types_are_reported_for_every_element() {
    let text = r#"
colour = "red"

[limits]
max_body_bytes = "large"

[[pool]]
name = "encoders"
kind = "encoder"

[[pool]]
name = "models"
kind = "generate"
limit = 4

[[pipeline]]
name = "answer"

[[pipeline]]
name = "other"
deadline_ms = 5
[[pipeline.stage]]
pool = "models"
[[pipeline.stage]]
pool = "models"
top_k = -1
"#;
    assert_snapshot!(faults(text), @r#"
    line 2: colour: unknown field `colour`, expected one of `limits`, `pool`, `pipeline`, `service`, `customer`
    line 5: limits.max_body_bytes: invalid type: string "large", expected usize
    line 9: pool[0].kind: unknown variant `encoder`, expected one of `encode`, `retrieve`, `rerank`, `generate`, `service`
    line 14: pool[1].limit: unknown field `limit`, expected one of `name`, `kind`, `model`, `concurrency`, `cold_concurrency`, `queue`, `estimate_ms`, `token_estimate_ms`, `fencing`
    line 16: pipeline[0]: missing field `deadline_ms`
    line 26: pipeline[1].stage[1].top_k: invalid value: integer `-1`, expected u32
    "#);
}

#[test]
fn all_invalid_values_are_reported() {
    let text = r#"
[limits]
quarantine_strikes = 0

[[pool]]
name = "models"
kind = "generate"
concurrency = 0
estimate_ms = 100
token_estimate_ms = 10

[[pool]]
name = "models"
kind = "rerank"
concurrency = 2
cold_concurrency = 3

[[pool]]
name = "not ices"
kind = "service"

[[pipeline]]
name = "answer"
deadline_ms = 100
stage = [
    { pool = "models", max_tokens = 50 },
    { pool = "rankers" },
    { pool = "not ices", top_k = 0 },
]

[[pipeline]]
name = "empty"
deadline_ms = 0
stage = []

[[service]]
name = "fees"
pool = "models"
deadline_ms = 10

[[service]]
name = "notices"
pool = "not ices"
deadline_ms = 10
idempotent = [{ method = "get", path = "list" }]

[[customer]]
name = "acme"
share = 0

[[customer]]
name = "acme"
"#;
    assert_snapshot!(faults(text), @"
    line 3: limits.quarantine_strikes: has to be at least 1
    line 8: pool[0].concurrency: has to be at least 1
    line 13: pool[1].name: name `models` is already used by pool[0]
    line 16: pool[1].cold_concurrency: exceeds `concurrency`, which is 2
    line 19: pool[2].name: name `not ices` has to consist of ASCII letters, digits, `-`, `_` and `.`
    line 24: pipeline[0].deadline_ms: is shorter than the estimated time of 600 ms
    line 27: pipeline[0].stage[1].pool: there is no pool named `rankers`
    line 28: pipeline[0].stage[2].top_k: has to be at least 1
    line 28: pipeline[0].stage[2].pool: pool `not ices` is of kind `service` and can't run a stage
    line 33: pipeline[1].deadline_ms: has to be at least 1
    line 34: pipeline[1].stage: needs at least one stage
    line 38: service[0].pool: pool `models` is not of kind `service` and can't serve plain calls
    line 44: service[1].deadline_ms: is shorter than the estimated time of 50 ms
    line 45: service[1].idempotent[0].method: method `get` has to be written in upper-case letters
    line 45: service[1].idempotent[0].path: path `list` has to start with a slash
    line 49: customer[0].share: has to be at least 1
    line 52: customer[1].name: name `acme` is already used by customer[0]
    ");
}

#[test]
fn overflowing_estimate_is_reported() {
    let text = r#"
[[pool]]
name = "models"
kind = "generate"
token_estimate_ms = 9223372036854775807

[[pipeline]]
name = "answer"
deadline_ms = 100

[[pipeline.stage]]
pool = "models"
max_tokens = 4
"#;
    assert_snapshot!(faults(text), @"line 9: pipeline[0].deadline_ms: the estimated time is too large to be computed");
}

#[test]
fn pipeline_with_256_stages_is_rejected() {
    let stages = "[[pipeline.stage]]\npool = \"encoders\"\n".repeat(256);
    let text = format!(
        "[[pool]]\nname = \"encoders\"\nkind = \"encode\"\nestimate_ms = 0\n\
         [[pipeline]]\nname = \"answer\"\ndeadline_ms = 1\n{stages}"
    );
    assert_snapshot!(faults(&text), @"line 8: pipeline[0].stage: has 256 stages, more than the limit of 255");
}

#[test]
fn text_above_the_size_limit_is_rejected() {
    let text = "#".repeat(MAX_TEXT_BYTES + 1);
    assert_snapshot!(faults(&text), @"line 1: document: the text has 786433 bytes, more than the limit of 786432");
}
