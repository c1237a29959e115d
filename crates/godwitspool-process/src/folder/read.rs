//! Reads the typed configuration from a tree with full names.

use std::collections::BTreeMap;

use godwitspool_types::{
    ClassName, Dc, Finding, ModelName, Place, ServiceName, TrainerName, WeightVersion, Workspace,
};
use godwitspool_version::{
    ClassRules, Configuration, DcRules, ServiceRef, ServiceRules, TrainerRules, WorkspaceRules,
};

use super::{
    names::{Names, Section},
    values::{cost, kind, rate, read_keys, read_unconfirmed, whole},
};
use crate::yaml::{Entry, Fields, Node, Value};

const MAX_SHARE: u32 = 1_000_000;
const MAX_SLOTS: u32 = 4_096;
const MAX_TARGETS: u32 = 100_000;
const MAX_CONCURRENCY: u32 = 1_000_000;

/// A configuration read from a tree, with its findings.
#[derive(Default)]
pub(super) struct Draft {
    pub configuration: Configuration,
    pub findings: Vec<Finding>,
    pub places: Places,
}

/// The place of each name of the configuration.
#[derive(Default)]
pub(super) struct Places(BTreeMap<String, Place>);

impl Places {
    /// Returns the place of a name in a section.
    pub fn of(&self, section: &str, name: &str) -> Place {
        let path = format!("{section}.{name}");
        self.0.get(&path).cloned().unwrap_or_default()
    }

    fn set(&mut self, section: &str, entry: &Entry) {
        let path = format!("{section}.{}", entry.key);
        self.0.insert(path, entry.place.clone());
    }
}

/// Reads a configuration and its findings from a tree with full names.
pub(super) fn read(top: &Node, names: &Names) -> Draft {
    let mut fields = Fields::open(top);
    let mut reader = Reader {
        draft: Draft::default(),
        names,
    };
    for entry in fields.map("classes") {
        let rules = reader.class(entry);
        let name = ClassName::from(entry.key.as_str());
        reader.draft.configuration.classes.insert(name, rules);
    }
    for entry in fields.map("dcs") {
        let rules = reader.dc(entry);
        let name = Dc::from(entry.key.as_str());
        reader.draft.configuration.dcs.insert(name, rules);
    }
    for entry in fields.map("services") {
        let rules = reader.service(entry);
        let name = ServiceName::from(entry.key.as_str());
        reader.draft.configuration.services.insert(name, rules);
    }
    for entry in fields.map("trainers") {
        let rules = reader.trainer(entry);
        let name = TrainerName::from(entry.key.as_str());
        reader.draft.configuration.trainers.insert(name, rules);
    }
    for entry in fields.map("workspaces") {
        let rules = reader.workspace(entry);
        let name = Workspace::from(entry.key.as_str());
        reader.draft.configuration.workspaces.insert(name, rules);
    }
    for entry in fields.map("weights") {
        reader.weights(entry);
    }
    for node in fields.list("open_routes") {
        reader.open_route(node);
    }
    reader.draft.findings.extend(fields.finish());
    reader.draft
}

struct Reader<'a> {
    draft: Draft,
    names: &'a Names,
}

impl Reader<'_> {
    fn class(&mut self, entry: &Entry) -> ClassRules {
        self.draft.places.set("classes", entry);
        let mut fields = Fields::open(&entry.node);
        let rules = ClassRules {
            cost_per_hour: fields
                .read("cost", "a cost an hour, such as 2.40/h", cost)
                .unwrap_or_default(),
            fencing: fields.flag("fencing").unwrap_or_default(),
            reclaimable: fields.flag("reclaimable").unwrap_or_default(),
            service: self.service_ref(&mut fields, "service").unwrap_or_default(),
            start_ms: fields.duration("start").unwrap_or_default().0,
        };
        self.finish(fields);
        rules
    }

    fn dc(&mut self, entry: &Entry) -> DcRules {
        self.draft.places.set("dcs", entry);
        let mut fields = Fields::open(&entry.node);
        let rules = DcRules {
            ceiling: self.bounds(&mut fields, "ceiling"),
            floor: self.bounds(&mut fields, "floor"),
            orders_per_minute: fields
                .read("orders", "a rate, such as 20/min", |value| {
                    rate(value, "/min")
                })
                .unwrap_or_default(),
        };
        fields.text("same_as");
        self.finish(fields);
        rules
    }

    fn bounds(&mut self, fields: &mut Fields<'_>, key: &'static str) -> BTreeMap<ClassName, u32> {
        let mut bounds = BTreeMap::new();
        for entry in fields.map(key) {
            let class = &entry.key;
            if self
                .names
                .resolve(Section::Classes, class, &entry.place)
                .is_none()
            {
                fields.report(&entry.place, format!("class {class} refers to nothing"));
            }
            match whole(&entry.node.value, MAX_TARGETS) {
                Some(targets) => {
                    bounds.insert(ClassName::from(class.as_str()), targets);
                }
                None => fields.report(
                    &entry.node.place,
                    format!(
                        "{key} is {}, expected a number of targets",
                        entry.node.value
                    ),
                ),
            }
        }
        bounds
    }

    fn service(&mut self, entry: &Entry) -> ServiceRules {
        self.draft.places.set("services", entry);
        let default = ServiceRules::default();
        let mut fields = Fields::open(&entry.node);
        let rules = ServiceRules {
            deadline_ms: fields
                .duration("deadline")
                .map_or(default.deadline_ms, |span| span.0),
            idempotent: fields.flag("idempotent").unwrap_or(default.idempotent),
            kind: fields
                .read("kind", "engine or plain", kind)
                .unwrap_or(default.kind),
            model: fields.name("model").map_or(default.model, ModelName::from),
            slots: fields.count("slots", 1, MAX_SLOTS).unwrap_or(default.slots),
        };
        self.finish(fields);
        rules
    }

    fn trainer(&mut self, entry: &Entry) -> TrainerRules {
        self.draft.places.set("trainers", entry);
        let default = TrainerRules::default();
        let mut fields = Fields::open(&entry.node);
        let workspace = self.reference(&mut fields, "workspace", Section::Workspaces);
        let dc = self.reference(&mut fields, "dc", Section::Dcs);
        let rules = TrainerRules {
            dc: dc.map_or(default.dc, Dc::from),
            scorer: self.service_ref(&mut fields, "scorer").unwrap_or_default(),
            service: self.service_ref(&mut fields, "service").unwrap_or_default(),
            share: fields.count("share", 1, MAX_SHARE).unwrap_or(default.share),
            staleness_versions: fields
                .count("staleness", 0, 1_000)
                .unwrap_or(default.staleness_versions),
            step_ms: fields
                .duration("step")
                .map_or(default.step_ms, |span| span.0),
            workspace: workspace.map_or(default.workspace, Workspace::from),
        };
        self.finish(fields);
        rules
    }

    fn workspace(&mut self, entry: &Entry) -> WorkspaceRules {
        self.draft.places.set("workspaces", entry);
        let default = WorkspaceRules::default();
        let mut fields = Fields::open(&entry.node);
        let rules = WorkspaceRules {
            concurrency: fields
                .count("concurrency", 1, MAX_CONCURRENCY)
                .unwrap_or(default.concurrency),
            keys: read_keys(&mut fields),
            rate_per_s: fields
                .read("rate", "a rate, such as 40/s", |value| rate(value, "/s"))
                .unwrap_or(default.rate_per_s),
            services: self.workspace_services(&mut fields),
            share: fields.count("share", 1, MAX_SHARE).unwrap_or(default.share),
            unconfirmed_keys: read_unconfirmed(&mut fields).unwrap_or(default.unconfirmed_keys),
        };
        self.finish(fields);
        rules
    }

    fn workspace_services(&mut self, fields: &mut Fields<'_>) -> BTreeMap<ServiceName, ServiceRef> {
        let mut services = BTreeMap::new();
        for entry in fields.map("services") {
            let Value::Text(text) = &entry.node.value else {
                let found = &entry.node.value;
                let message = format!("service {} is {found}, expected a name", entry.key);
                fields.report(&entry.node.place, message);
                continue;
            };
            let service = self.resolve(fields, Section::Services, text, &entry.node.place);
            let service = ServiceName::from(service);
            services.insert(
                ServiceName::from(entry.key.as_str()),
                ServiceRef { service },
            );
        }
        services
    }

    fn weights(&mut self, entry: &Entry) {
        self.draft.places.set("weights", entry);
        match &entry.node.value {
            Value::Text(version) if !version.is_empty() => {
                let model = ModelName::from(entry.key.as_str());
                let version = WeightVersion::from(version.as_str());
                self.draft.configuration.weights.insert(model, version);
            }
            other => self.draft.findings.push(Finding {
                place: entry.node.place.clone(),
                message: format!("weights of {} are {other}, expected a version", entry.key),
            }),
        }
    }

    fn open_route(&mut self, node: &Node) {
        let place = node.place.clone();
        let Value::Text(text) = &node.value else {
            let message = format!("open route is {}, expected a service", node.value);
            self.draft.findings.push(Finding { place, message });
            return;
        };
        match self.names.resolve(Section::Services, text, &place) {
            Some(full) => {
                let routes = &mut self.draft.configuration.open_routes;
                routes.insert(ServiceName::from(full));
            }
            None => self
                .draft
                .findings
                .push(unresolved(Section::Services, text, &place)),
        }
    }

    fn service_ref(&mut self, fields: &mut Fields<'_>, key: &'static str) -> Option<ServiceName> {
        self.reference(fields, key, Section::Services)
            .map(ServiceName::from)
    }

    fn reference(
        &mut self,
        fields: &mut Fields<'_>,
        key: &'static str,
        section: Section,
    ) -> Option<String> {
        let place = fields.entry(key)?.node.place.clone();
        let text = fields.text(key)?;
        Some(self.resolve(fields, section, &text, &place))
    }

    /// Returns the full name, or reports a finding and returns the name unchanged if it is not
    /// defined.
    fn resolve(
        &self,
        fields: &mut Fields<'_>,
        section: Section,
        text: &str,
        place: &Place,
    ) -> String {
        self.names.resolve(section, text, place).unwrap_or_else(|| {
            fields.extend([unresolved(section, text, place)]);
            text.to_owned()
        })
    }

    fn finish(&mut self, fields: Fields<'_>) {
        self.draft.findings.extend(fields.finish());
    }
}

fn unresolved(section: Section, text: &str, place: &Place) -> Finding {
    Finding {
        place: place.clone(),
        message: format!("{text} refers to nothing in {}", section.key()),
    }
}
