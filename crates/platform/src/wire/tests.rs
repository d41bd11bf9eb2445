use serde_json::{Value, json};

use super::decode_list;

#[test]
fn an_odd_object_hides_no_other_one_of_a_list() {
    let sound = |name: &str| {
        json!({
            "apiVersion": "yuccatrail.dev/v1", "kind": "Instance", "spec": 7,
            "metadata": { "name": name, "resourceVersion": "5" },
        })
        .to_string()
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for odd in [nested.as_str(), "17", "{\"spec\":1e999}", "{\"metadata\":\"\\ud800\"}"] {
        let items = [&sound("first"), odd, &sound("last")].join(",");
        let body = format!("{{\"metadata\":{{\"resourceVersion\":\"9\"}},\"items\":[{items}]}}");
        let list = decode_list::<Value>(body.as_bytes()).unwrap();
        let names: Vec<&str> = list.objects.iter().map(|it| it.name.as_str()).collect();
        assert_eq!(names, ["first", "last"]);
    }
}
