//! The operators' commands as processes against the platform stand-in.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{Bench, DOCUMENT, OTHER_DOCUMENT, digest};
use yuccatrail_core::control::{StoredConfig, StoredOperations};
use yuccatrail_fakes::platform::{Outage, Switches};
use yuccatrail_platform::{CURRENT, Kind};

#[tokio::test]
async fn check_names_each_fault_by_key_and_line() {
    let bench = Bench::start().await;
    let text = "[[pool]]\nname = \"a\"\nkind = \"encode\"\nconcurrency = 0\ncold_concurrency = 0\n\n\
                [[service]]\nname = \"s\"\npool = \"missing\"\ndeadline_ms = 1\n";
    let file = bench.file("faulty.toml", text);
    let answer = bench.run(&["check", "--json", &file]).await;
    assert_eq!(answer.code, 2, "{}", answer.stderr);
    assert_eq!(answer.json["outcome"], "faulty");
    let mut found = Vec::new();
    for fault in answer.json["faults"].as_array().unwrap() {
        found.push((fault["line"].as_u64().unwrap(), fault["key"].as_str().unwrap().to_owned()));
    }
    assert!(found.contains(&(4, "pool[0].concurrency".to_owned())), "{found:?}");
    assert!(found.contains(&(9, "service[0].pool".to_owned())), "{found:?}");

    let answer = bench.run(&["check", &file]).await;
    assert!(answer.stderr.contains(&format!("{file}:9: service[0].pool: ")), "{}", answer.stderr);
    let answer = bench.run(&["check", "--json", &bench.file("a.toml", DOCUMENT)]).await;
    assert_eq!(answer.json, json!({ "outcome": "valid", "digest": digest(DOCUMENT) }));
    assert_eq!(bench.run(&["check", "/nowhere/at/all.toml"]).await.code, 1);
    bench.close().await;
}

#[tokio::test]
async fn a_document_is_tried_and_promoted_byte_for_byte() {
    let bench = Bench::start().await;
    let file = bench.file("a.toml", DOCUMENT);
    let trial = bench.run(&["trial", "--json", &file]).await;
    assert_eq!(trial.json, json!({ "outcome": "accepted", "version": 1, "entries": null }));

    let other = digest(OTHER_DOCUMENT);
    let wrong = bench.run(&["promote", "--json", "--digest", &other]).await;
    assert_eq!((wrong.code, &wrong.json["outcome"]), (3, &json!("source_mismatch")));
    assert_eq!(bench.production().get::<StoredConfig>(Kind::Environments, CURRENT).await, Ok(None));

    let right = digest(DOCUMENT).to_uppercase();
    let promoted = bench.run(&["promote", "--json", "--digest", &right]).await;
    assert_eq!(promoted.json["outcome"], "accepted", "{}", promoted.stderr);
    assert_eq!(&*bench.config().await.record.text, DOCUMENT);
    let again = bench.run(&["promote", "--json", "--digest", &right]).await;
    assert_eq!((again.code, &again.json["outcome"]), (0, &json!("already_in_force")));
    assert_eq!(bench.config().await.record.version, 1);
    bench.close().await;
}

#[tokio::test]
async fn of_two_racing_operators_one_wins_and_the_other_learns_which() {
    let bench = Bench::start().await;
    let one = bench.file("one.toml", DOCUMENT);
    let two = bench.file("two.toml", OTHER_DOCUMENT);
    let one = ["trial", "--json", "--environment", "production", "--expect-version", "0", &one];
    let two = ["trial", "--json", "--environment", "production", "--expect-version", "0", &two];
    let (one, two) = tokio::join!(bench.run(&one), bench.run(&two));
    let (winner, loser) = if one.code == 0 { (one, two) } else { (two, one) };
    assert_eq!((winner.code, &winner.json["version"]), (0, &json!(1)), "{}", winner.stderr);
    let stored = bench.config().await;
    assert_eq!(stored.history.len(), 1);
    let digest = stored.record.digest.to_string();
    assert_eq!(
        (loser.code, loser.json),
        (3, json!({ "outcome": "conflict", "current_version": 1, "digest": digest }))
    );
    assert_eq!(bench.platform.counters().effects, 1);
    bench.close().await;
}

#[tokio::test]
async fn racing_changes_of_the_operational_state_are_all_kept() {
    let bench = Bench::start().await;
    bench.platform.set_switches(Switches { delay_ms: 50, ..Switches::default() });
    let (a, b, c) = tokio::join!(
        bench.run(&["data-centre", "out", "--json", "east"]),
        bench.run(&["data-centre", "out", "--json", "west"]),
        bench.run(&["upstream", "leave", "--json", "engine-7"]),
    );
    let mut versions = Vec::new();
    for answer in [a, b, c] {
        assert_eq!((answer.code, &answer.json["outcome"]), (0, &json!("accepted")));
        versions.push(answer.json["version"].as_u64().unwrap());
    }
    versions.sort_unstable();
    assert_eq!(versions, [2, 3, 4]);
    let stored = bench.operations().await;
    assert_eq!(stored.record.data_centres_out, ["east", "west"]);
    assert_eq!(stored.record.upstreams_leaving, ["engine-7"]);
    bench.close().await;
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let bench = Bench::start().await;
    bench.platform.set_switches(Switches { lost_answers: 1, ..Switches::default() });
    let file = bench.file("a.toml", DOCUMENT);
    let answer = bench.run(&["trial", "--json", "--environment", "production", &file]).await;
    assert_eq!((answer.code, &answer.json["version"]), (0, &json!(1)), "{}", answer.stderr);
    assert_eq!(bench.config().await.history.len(), 1);

    bench.platform.set_switches(Switches { lost_answers: 1, ..Switches::default() });
    let answer = bench.run(&["data-centre", "out", "--json", "east"]).await;
    assert_eq!((answer.code, &answer.json["version"]), (0, &json!(2)), "{}", answer.stderr);
    assert_eq!(bench.operations().await.history.len(), 1);
    assert_eq!(bench.platform.counters().effects, 2, "each change was made once");
    bench.close().await;
}

#[tokio::test]
async fn a_change_is_refused_while_the_platform_is_down() {
    let bench = Bench::start().await;
    let file = bench.file("a.toml", DOCUMENT);
    for outage in [Outage::Unavailable, Outage::Error, Outage::Reset, Outage::Hang] {
        bench.platform.set_switches(Switches { outage: Some(outage), ..Switches::default() });
        for command in [
            &["trial", "--json", "--timeout-ms", "500", &file][..],
            &["promote", "--json", "--timeout-ms", "500", "--digest", &digest(DOCUMENT)],
            &["data-centre", "out", "--json", "--timeout-ms", "500", "east"],
        ] {
            let answer = bench.run(command).await;
            assert_eq!((answer.code, &answer.json["outcome"]), (4, &json!("not_accepted")));
            let detail = answer.json["detail"].as_str().unwrap();
            assert!(detail.contains("platform unavailable"), "{detail}");
        }
    }
    assert_eq!(bench.platform.counters().effects, 0);
    let status = bench.run(&["status", "--json"]).await;
    assert_eq!((status.code, &status.json["platform"]), (4, &json!(null)));
    bench.close().await;
}

#[tokio::test]
async fn a_change_stays_undecided_when_it_can_not_be_read_back() {
    let bench = Bench::start().await;
    let lossy = Switches { lost_answers: 1, delay_ms: 300, ..Switches::default() };
    bench.platform.set_switches(lossy);
    let command = ["data-centre", "out", "--json", "--timeout-ms", "2000", "east"];
    let outage = async {
        while bench.platform.counters().effects == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let down = Switches { outage: Some(Outage::Unavailable), ..Switches::default() };
        bench.platform.set_switches(down);
    };
    let (answer, ()) = tokio::join!(bench.run(&command), outage);
    assert_eq!((answer.code, &answer.json["outcome"]), (5, &json!("undecided")));

    bench.platform.set_switches(Switches::default());
    let again = bench.run(&command).await;
    assert_eq!((again.code, &again.json["outcome"]), (0, &json!("already_in_force")));
    bench.close().await;
}

#[tokio::test]
async fn a_promotion_leaves_a_data_centre_out() {
    let bench = Bench::start().await;
    assert_eq!(bench.run(&["data-centre", "out", "east"]).await.code, 0);
    let before = bench.operations().await;
    for text in [DOCUMENT, OTHER_DOCUMENT] {
        let file = bench.file("next.toml", text);
        assert_eq!(bench.run(&["trial", &file]).await.code, 0);
        assert_eq!(bench.run(&["promote", "--digest", &digest(text)]).await.code, 0);
    }
    assert_eq!(bench.config().await.record.version, 2);
    assert_eq!(bench.operations().await, before);
    let status = bench.run(&["status", "--json"]).await;
    assert_eq!(status.json["platform"]["data_centres_out"], json!(["east"]));

    assert_eq!(bench.run(&["data-centre", "in", "east"]).await.code, 0);
    let after: StoredOperations = bench.operations().await;
    assert!(after.record.data_centres_out.is_empty());
    assert_eq!(after.record.version, before.record.version + 1);
    bench.close().await;
}

#[tokio::test]
async fn a_change_is_confirmed_once_every_listed_entry_reports_it() {
    let bench = Bench::start().await;
    let first = bench.start_entry("entry-1").await;
    let second = bench.start_entry("entry-2").await;
    first.report(1, 2);
    second.report(1, 1);
    let command = ["data-centre", "out", "--json", "--wait-ms", "300", "east"];
    let answer = bench.run(&command).await;
    assert_eq!((answer.code, &answer.json["outcome"]), (6, &json!("not_confirmed")));
    assert_eq!(answer.json["missing"], json!(["entry-2 (version 1)"]));
    assert_eq!(bench.run(&["status"]).await.code, 6);

    second.report(1, 2);
    let answer = bench.run(&command).await;
    let confirmed = json!({ "outcome": "already_in_force", "version": 2, "entries": 2 });
    assert_eq!((answer.code, answer.json), (0, confirmed));
    assert_eq!(bench.run(&["status"]).await.code, 0);

    first.close();
    let answer = bench.run(&command).await;
    assert_eq!(answer.code, 6);
    let missing = answer.json["missing"][0].as_str().unwrap();
    assert!(missing.starts_with("entry-1 (unreachable"), "{missing}");
    second.close();
    bench.close().await;
}

#[tokio::test]
async fn a_name_outside_the_instance_list_is_warned_about() {
    let bench = Bench::start().await;
    let entry = bench.start_entry("entry-1").await;
    let right = bench.run(&["data-centre", "out", "east"]).await;
    assert_eq!((right.code, right.stderr.as_str()), (0, ""));
    let wrong = bench.run(&["data-centre", "out", "eats"]).await;
    assert_eq!(wrong.code, 0);
    assert!(wrong.stderr.contains("`data-centre out eats` concerns no instance"));
    entry.close();
    bench.close().await;
}

#[tokio::test]
async fn a_running_entry_reports_what_operators_put_into_force() {
    let bench = Bench::start().await;
    let entry = bench.start_real_entry("entry-1").await;
    let file = bench.file("a.toml", DOCUMENT);
    let trial = ["trial", "--json", "--environment", "production", "--wait-ms", "20000", &file];
    let answer = bench.run(&trial).await;
    let confirmed = json!({ "outcome": "accepted", "version": 1, "entries": 1 });
    assert_eq!((answer.code, answer.json), (0, confirmed), "{}", answer.stderr);
    let out = ["data-centre", "out", "--json", "--wait-ms", "20000", "east"];
    let answer = bench.run(&out).await;
    let confirmed = json!({ "outcome": "accepted", "version": 2, "entries": 1 });
    assert_eq!((answer.code, answer.json), (0, confirmed), "{}", answer.stderr);

    let down = Switches { outage: Some(Outage::Reset), ..Switches::default() };
    bench.platform.set_switches(down);
    let status = bench.run(&["status", "--json", "--entry", &entry.address.to_string()]).await;
    assert_eq!(status.code, 4);
    assert_eq!(status.json["entries"][0]["versions"], json!({ "config": 1, "operations": 2 }));
    assert!(entry.close().await.unwrap().success());
    bench.close().await;
}
