//! Entries of another writer of the platform's lists among valid ones.

use mustardhinge_agent::platform::{InstanceList, ObjectList};

const ODD_VALUES: [&str; 4] = ["7", "{\"value\":1e999}", "null", "\"\\ud800\""];

/// An object that was too deeply nested or had a number out of range failed all documents.
#[test]
fn an_odd_object_does_not_affect_the_others_of_a_list() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let object = |name: &str, value: &str| {
        format!(r#"{{"kind":"document","name":"{name}","version":3,"value":{value}}}"#)
    };
    let odd = ODD_VALUES.map(str::to_owned).into_iter();
    for odd in odd.chain([object("b", &nested), object("b", "1e999")]) {
        let objects = [object("a", "\"x\""), odd, object("c", "\"y\"")].join(",");
        let text = format!(r#"{{"revision":9,"objects":[{objects}]}}"#);
        let list: ObjectList = serde_json::from_str(&text).unwrap();
        let names: Vec<_> = list.objects.iter().map(|object| &object.name[..]).collect();
        assert_eq!(names, ["a", "c"]);
    }
}

/// An entry with a port out of range or an unknown state failed the list of instances.
#[test]
fn an_odd_instance_does_not_affect_the_others_of_a_list() {
    let entry = |name: &str, port: u32, state: &str| {
        format!(
            r#"{{"instance":"{name}","zone":"z1","agent_address":"127.0.0.1:{port}","state":"{state}"}}"#
        )
    };
    let odd = ODD_VALUES.map(str::to_owned).into_iter();
    for odd in odd.chain([entry("b", 99_999, "live"), entry("b", 7_001, "resting")]) {
        let instances = [entry("a", 7_001, "live"), odd, entry("c", 7_001, "leaving")].join(",");
        let text = format!(r#"{{"revision":9,"instances":[{instances}]}}"#);
        let list: InstanceList = serde_json::from_str(&text).unwrap();
        let names = list.instances.iter().map(|entry| entry.instance.as_str());
        assert_eq!(names.collect::<Vec<_>>(), ["a", "c"]);
    }
}
