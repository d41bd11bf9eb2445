//! Runs the operator commands as processes against a fake platform.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{DOCUMENT, Fixture, OTHER_DOCUMENT, digest};
use yuccatrail_core::control::{StoredConfig, StoredOperations};
use yuccatrail_fakes::platform::{Outage, PlatformSwitches};
use yuccatrail_platform::{CURRENT, Kind};

#[tokio::test]
async fn check_reports_each_fault_with_key_and_line() {
    let fixture = Fixture::start().await;
    let text = "[[pool]]\nname = \"a\"\nkind = \"encode\"\nconcurrency = 0\ncold_concurrency = 0\n\n\
                [[service]]\nname = \"s\"\npool = \"missing\"\ndeadline_ms = 1\n";
    let file = fixture.file("faulty.toml", text);
    let result = fixture.run(&["check", "--json", &file]).await;
    assert_eq!(result.code, 2, "{}", result.stderr);
    assert_eq!(result.json["outcome"], "faulty");
    let mut found = Vec::new();
    for fault in result.json["faults"].as_array().unwrap() {
        found.push((fault["line"].as_u64().unwrap(), fault["key"].as_str().unwrap().to_owned()));
    }
    assert!(found.contains(&(4, "pool[0].concurrency".to_owned())), "{found:?}");
    assert!(found.contains(&(9, "service[0].pool".to_owned())), "{found:?}");

    let result = fixture.run(&["check", &file]).await;
    assert!(result.stderr.contains(&format!("{file}:9: service[0].pool: ")), "{}", result.stderr);
    let result = fixture.run(&["check", "--json", &fixture.file("a.toml", DOCUMENT)]).await;
    assert_eq!(result.json, json!({ "outcome": "valid", "digest": digest(DOCUMENT) }));
    assert_eq!(fixture.run(&["check", "/nowhere/at/all.toml"]).await.code, 1);
    fixture.close().await;
}

#[tokio::test]
async fn promoted_document_equals_tried_document_byte_for_byte() {
    let fixture = Fixture::start().await;
    let file = fixture.file("a.toml", DOCUMENT);
    let trial = fixture.run(&["trial", "--json", &file]).await;
    assert_eq!(trial.json, json!({ "outcome": "accepted", "version": 1, "entries": null }));

    let other = digest(OTHER_DOCUMENT);
    let wrong = fixture.run(&["promote", "--json", "--digest", &other]).await;
    assert_eq!((wrong.code, &wrong.json["outcome"]), (3, &json!("source_mismatch")));
    assert_eq!(
        fixture.production().get::<StoredConfig>(Kind::Environments, CURRENT).await,
        Ok(None)
    );

    let right = digest(DOCUMENT).to_uppercase();
    let promoted = fixture.run(&["promote", "--json", "--digest", &right]).await;
    assert_eq!(promoted.json["outcome"], "accepted", "{}", promoted.stderr);
    assert_eq!(&*fixture.config().await.record.text, DOCUMENT);
    let again = fixture.run(&["promote", "--json", "--digest", &right]).await;
    assert_eq!((again.code, &again.json["outcome"]), (0, &json!("already_in_force")));
    assert_eq!(fixture.config().await.record.version, 1);
    fixture.close().await;
}

#[tokio::test]
async fn concurrent_document_changes_accept_one_and_report_a_conflict_to_the_other() {
    let fixture = Fixture::start().await;
    let one = fixture.file("one.toml", DOCUMENT);
    let two = fixture.file("two.toml", OTHER_DOCUMENT);
    let one = ["trial", "--json", "--environment", "production", "--expect-version", "0", &one];
    let two = ["trial", "--json", "--environment", "production", "--expect-version", "0", &two];
    let (one, two) = tokio::join!(fixture.run(&one), fixture.run(&two));
    let (winner, loser) = if one.code == 0 { (one, two) } else { (two, one) };
    assert_eq!((winner.code, &winner.json["version"]), (0, &json!(1)), "{}", winner.stderr);
    let stored = fixture.config().await;
    assert_eq!(stored.history.len(), 1);
    let digest = stored.record.digest.to_string();
    assert_eq!(
        (loser.code, loser.json),
        (3, json!({ "outcome": "conflict", "current_version": 1, "digest": digest }))
    );
    assert_eq!(fixture.platform.counters().effects, 1);
    fixture.close().await;
}

#[tokio::test]
async fn concurrent_operational_changes_are_all_kept() {
    let fixture = Fixture::start().await;
    fixture.platform.set_switches(PlatformSwitches { delay_ms: 50, ..PlatformSwitches::default() });
    let (a, b, c) = tokio::join!(
        fixture.run(&["data-centre", "out", "--json", "east"]),
        fixture.run(&["data-centre", "out", "--json", "west"]),
        fixture.run(&["upstream", "leave", "--json", "engine-7"]),
    );
    let mut versions = Vec::new();
    for result in [a, b, c] {
        assert_eq!((result.code, &result.json["outcome"]), (0, &json!("accepted")));
        versions.push(result.json["version"].as_u64().unwrap());
    }
    versions.sort_unstable();
    assert_eq!(versions, [2, 3, 4]);
    let stored = fixture.operations().await;
    assert_eq!(stored.record.data_centres_out, ["east", "west"]);
    assert_eq!(stored.record.upstreams_leaving, ["engine-7"]);
    fixture.close().await;
}

#[tokio::test]
async fn lost_write_response_is_resolved_by_reading_back() {
    let fixture = Fixture::start().await;
    fixture
        .platform
        .set_switches(PlatformSwitches { lost_answers: 1, ..PlatformSwitches::default() });
    let file = fixture.file("a.toml", DOCUMENT);
    let result = fixture.run(&["trial", "--json", "--environment", "production", &file]).await;
    assert_eq!((result.code, &result.json["version"]), (0, &json!(1)), "{}", result.stderr);
    assert_eq!(fixture.config().await.history.len(), 1);

    fixture
        .platform
        .set_switches(PlatformSwitches { lost_answers: 1, ..PlatformSwitches::default() });
    let result = fixture.run(&["data-centre", "out", "--json", "east"]).await;
    assert_eq!((result.code, &result.json["version"]), (0, &json!(2)), "{}", result.stderr);
    assert_eq!(fixture.operations().await.history.len(), 1);
    assert_eq!(fixture.platform.counters().effects, 2, "each change should be written once");
    fixture.close().await;
}

#[tokio::test]
async fn change_is_not_accepted_while_platform_is_unavailable() {
    let fixture = Fixture::start().await;
    let file = fixture.file("a.toml", DOCUMENT);
    for outage in [Outage::Unavailable, Outage::Error, Outage::Reset, Outage::Hang] {
        fixture
            .platform
            .set_switches(PlatformSwitches { outage: Some(outage), ..PlatformSwitches::default() });
        for command in [
            &["trial", "--json", "--timeout-ms", "500", &file][..],
            &["promote", "--json", "--timeout-ms", "500", "--digest", &digest(DOCUMENT)],
            &["data-centre", "out", "--json", "--timeout-ms", "500", "east"],
        ] {
            let result = fixture.run(command).await;
            assert_eq!((result.code, &result.json["outcome"]), (4, &json!("not_accepted")));
            let detail = result.json["detail"].as_str().unwrap();
            assert!(detail.contains("platform unavailable"), "{detail}");
        }
    }
    assert_eq!(fixture.platform.counters().effects, 0);
    let status = fixture.run(&["status", "--json"]).await;
    assert_eq!((status.code, &status.json["platform"]), (4, &json!(null)));
    fixture.close().await;
}

#[tokio::test]
async fn change_is_undecided_when_lost_write_cannot_be_read_back() {
    let fixture = Fixture::start().await;
    let lossy = PlatformSwitches { lost_answers: 1, delay_ms: 300, ..PlatformSwitches::default() };
    fixture.platform.set_switches(lossy);
    let command = ["data-centre", "out", "--json", "--timeout-ms", "2000", "east"];
    let outage = async {
        while fixture.platform.counters().effects == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let down =
            PlatformSwitches { outage: Some(Outage::Unavailable), ..PlatformSwitches::default() };
        fixture.platform.set_switches(down);
    };
    let (result, ()) = tokio::join!(fixture.run(&command), outage);
    assert_eq!((result.code, &result.json["outcome"]), (5, &json!("undecided")));

    fixture.platform.set_switches(PlatformSwitches::default());
    let again = fixture.run(&command).await;
    assert_eq!((again.code, &again.json["outcome"]), (0, &json!("already_in_force")));
    fixture.close().await;
}

#[tokio::test]
async fn promotion_keeps_data_centre_out_of_service() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.run(&["data-centre", "out", "east"]).await.code, 0);
    let before = fixture.operations().await;
    for text in [DOCUMENT, OTHER_DOCUMENT] {
        let file = fixture.file("next.toml", text);
        assert_eq!(fixture.run(&["trial", &file]).await.code, 0);
        assert_eq!(fixture.run(&["promote", "--digest", &digest(text)]).await.code, 0);
    }
    assert_eq!(fixture.config().await.record.version, 2);
    assert_eq!(fixture.operations().await, before);
    let status = fixture.run(&["status", "--json"]).await;
    assert_eq!(status.json["platform"]["data_centres_out"], json!(["east"]));

    assert_eq!(fixture.run(&["data-centre", "in", "east"]).await.code, 0);
    let after: StoredOperations = fixture.operations().await;
    assert!(after.record.data_centres_out.is_empty());
    assert_eq!(after.record.version, before.record.version + 1);
    fixture.close().await;
}

#[tokio::test]
async fn change_is_confirmed_once_every_listed_entry_reports_it() {
    let fixture = Fixture::start().await;
    let first = fixture.start_entry("entry-1").await;
    let second = fixture.start_entry("entry-2").await;
    first.set_versions(1, 2);
    second.set_versions(1, 1);
    let command = ["data-centre", "out", "--json", "--wait-ms", "300", "east"];
    let result = fixture.run(&command).await;
    assert_eq!((result.code, &result.json["outcome"]), (6, &json!("not_confirmed")));
    assert_eq!(result.json["missing"], json!(["entry-2 (version 1)"]));
    assert_eq!(fixture.run(&["status"]).await.code, 6);

    second.set_versions(1, 2);
    let result = fixture.run(&command).await;
    let confirmed = json!({ "outcome": "already_in_force", "version": 2, "entries": 2 });
    assert_eq!((result.code, result.json), (0, confirmed));
    assert_eq!(fixture.run(&["status"]).await.code, 0);

    first.close();
    let result = fixture.run(&command).await;
    assert_eq!(result.code, 6);
    let missing = result.json["missing"][0].as_str().unwrap();
    assert!(missing.starts_with("entry-1 (unreachable"), "{missing}");
    second.close();
    fixture.close().await;
}

#[tokio::test]
async fn change_of_unlisted_name_prints_a_warning() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_entry("entry-1").await;
    let right = fixture.run(&["data-centre", "out", "east"]).await;
    assert_eq!((right.code, right.stderr.as_str()), (0, ""));
    let wrong = fixture.run(&["data-centre", "out", "eats"]).await;
    assert_eq!(wrong.code, 0);
    assert!(wrong.stderr.contains("`data-centre out eats` concerns no instance"));
    entry.close();
    fixture.close().await;
}

#[tokio::test]
async fn running_entry_reports_accepted_changes() {
    let fixture = Fixture::start().await;
    let entry = fixture.start_real_entry("entry-1").await;
    let file = fixture.file("a.toml", DOCUMENT);
    let trial = ["trial", "--json", "--environment", "production", "--wait-ms", "20000", &file];
    let result = fixture.run(&trial).await;
    let confirmed = json!({ "outcome": "accepted", "version": 1, "entries": 1 });
    assert_eq!((result.code, result.json), (0, confirmed), "{}", result.stderr);
    let out = ["data-centre", "out", "--json", "--wait-ms", "20000", "east"];
    let result = fixture.run(&out).await;
    let confirmed = json!({ "outcome": "accepted", "version": 2, "entries": 1 });
    assert_eq!((result.code, result.json), (0, confirmed), "{}", result.stderr);

    let down = PlatformSwitches { outage: Some(Outage::Reset), ..PlatformSwitches::default() };
    fixture.platform.set_switches(down);
    let status = fixture.run(&["status", "--json", "--entry", &entry.address.to_string()]).await;
    assert_eq!(status.code, 4);
    assert_eq!(status.json["entries"][0]["versions"], json!({ "config": 1, "operations": 2 }));
    assert!(entry.close().await.unwrap().success());
    fixture.close().await;
}
