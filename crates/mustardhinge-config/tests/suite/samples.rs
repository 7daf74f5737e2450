use std::path::{Path, PathBuf};

use mustardhinge_config::document::ServiceDocument;
use mustardhinge_config::settings::{AgentSettings, EntrySettings};

struct SampleSizes {
    folder: &'static str,
    services: [&'static str; 3],
    slots: u32,
}

const SAMPLES: [SampleSizes; 2] = [
    SampleSizes {
        folder: "muscat",
        services: ["haulage-1", "haulage-2", "haulage-3"],
        slots: 5,
    },
    SampleSizes {
        folder: "taiwan-north",
        services: ["swatch-1", "swatch-2", "swatch-3"],
        slots: 2,
    },
];

fn folder(sample: &SampleSizes) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(sample.folder)
}

#[test]
fn documents_have_the_sizes_of_the_deployments() {
    for sample in &SAMPLES {
        for service in sample.services {
            let path = folder(sample).join(format!("{service}.toml"));
            let text = std::fs::read_to_string(path).unwrap();
            let document = ServiceDocument::parse(&text).unwrap();
            assert_eq!(document.service.as_str(), service);
            assert_eq!(document.limits.slots_per_target, sample.slots);
            assert_eq!(document.limits.connections_per_target, 30);
            assert_eq!(document.customers.len(), 8);
            let zones: std::collections::BTreeSet<_> =
                document.group.targets.iter().map(|t| &t.zone).collect();
            assert_eq!((document.group.targets.len(), zones.len()), (3, 3));
        }
    }
}

#[test]
fn settings_are_without_findings() {
    for sample in &SAMPLES {
        let entry = EntrySettings::load(&folder(sample).join("entry.toml")).unwrap();
        let agent = AgentSettings::load(&folder(sample).join("agent.toml")).unwrap();
        assert_eq!((entry.instance, entry.zone), (agent.instance, agent.zone));
        assert_eq!(entry.agent, agent.listen);
    }
}
