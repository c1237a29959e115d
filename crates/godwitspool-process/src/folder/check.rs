//! Checks of the joined configuration: missing values and values that contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_types::{Finding, Place};
use godwitspool_version::{Configuration, ServiceKind};

use super::read::Places;

/// Returns the findings in a joined configuration.
pub(super) fn check(configuration: &Configuration, places: &Places) -> Vec<Finding> {
    let mut checker = Checker {
        configuration,
        findings: Vec::new(),
        places,
    };
    checker.classes();
    checker.dcs();
    checker.open_routes();
    checker.services();
    checker.trainers();
    checker.weights();
    checker.findings
}

/// Returns findings for entries of a joined configuration that never take effect.
pub(super) fn unused(configuration: &Configuration, places: &Places) -> Vec<Finding> {
    let mut checker = Checker {
        configuration,
        findings: Vec::new(),
        places,
    };
    checker.shared_keys();
    checker.unnamed_services();
    checker.findings
}

struct Checker<'a> {
    configuration: &'a Configuration,
    findings: Vec<Finding>,
    places: &'a Places,
}

impl Checker<'_> {
    fn classes(&mut self) {
        for (name, class) in &self.configuration.classes {
            if class.service.as_str().is_empty() {
                let place = self.places.of("classes", name.as_str());
                self.report(place, format!("class {name} has no service"));
            }
        }
    }

    fn dcs(&mut self) {
        for (name, dc) in &self.configuration.dcs {
            for (class, floor) in &dc.floor {
                let ceiling = dc.ceiling.get(class).copied().unwrap_or_default();
                if *floor > ceiling {
                    let place = self.places.of("dcs", name.as_str());
                    let message = format!(
                        "floor of {class} in {name} is {floor}, above its ceiling of {ceiling}"
                    );
                    self.report(place, message);
                }
            }
        }
    }

    fn open_routes(&mut self) {
        for route in &self.configuration.open_routes {
            let kind = self
                .configuration
                .services
                .get(route)
                .map(|rules| rules.kind);
            if kind == Some(ServiceKind::Engine) {
                let place = self.places.of("services", route.as_str());
                let message = format!("{route} is an open route, expected a plain service");
                self.report(place, message);
            }
        }
    }

    fn services(&mut self) {
        for (name, service) in &self.configuration.services {
            let has_model = !service.model.as_str().is_empty();
            let place = self.places.of("services", name.as_str());
            match service.kind {
                ServiceKind::Engine if !has_model => {
                    self.report(place, format!("engine service {name} has no model"));
                }
                ServiceKind::Engine if !self.configuration.weights.contains_key(&service.model) => {
                    let model = &service.model;
                    self.report(
                        place,
                        format!("model {model} of {name} has no weights version"),
                    );
                }
                ServiceKind::Plain if has_model => {
                    self.report(place, format!("plain service {name} has a model"));
                }
                ServiceKind::Engine | ServiceKind::Plain => {}
            }
        }
    }

    fn shared_keys(&mut self) {
        let mut owners = BTreeMap::new();
        for (name, rules) in &self.configuration.workspaces {
            for key in rules.keys.iter().filter(|key| !key.withdrawn) {
                if let Some(owner) = owners.insert(key.digest, name) {
                    let place = self.places.of("workspaces", name.as_str());
                    let message = format!(
                        "key {} belongs to {owner} and to {name}; remove it from one of them",
                        key.digest
                    );
                    self.report(place, message);
                }
            }
        }
    }

    fn unnamed_services(&mut self) {
        let Configuration {
            open_routes,
            services,
            trainers,
            workspaces,
            ..
        } = self.configuration;
        let by_workspaces = workspaces
            .values()
            .flat_map(|rules| rules.services.values());
        let by_workspaces = by_workspaces.map(|named| &named.service);
        let by_trainers = trainers.values();
        let by_trainers = by_trainers.flat_map(|trainer| [&trainer.service, &trainer.scorer]);
        let named: BTreeSet<_> = by_workspaces
            .chain(by_trainers)
            .chain(open_routes)
            .collect();
        for name in services.keys().filter(|name| !named.contains(name)) {
            let place = self.places.of("services", name.as_str());
            let message = format!(
                "no workspace, trainer or open route names the service {name}; name it in one of them \
                 or remove it"
            );
            self.report(place, message);
        }
    }

    fn trainers(&mut self) {
        for (name, trainer) in &self.configuration.trainers {
            let place = self.places.of("trainers", name.as_str());
            if trainer.service.as_str().is_empty() {
                self.report(place.clone(), format!("trainer {name} has no service"));
            }
            if trainer.workspace.as_str().is_empty() {
                self.report(place.clone(), format!("trainer {name} has no workspace"));
            }
            let service = self.configuration.services.get(&trainer.service);
            if service.is_some_and(|service| service.kind == ServiceKind::Plain) {
                let message = format!("trainer {name} uses the plain service {}", trainer.service);
                self.report(place, message);
            }
        }
    }

    fn weights(&mut self) {
        for model in self.configuration.weights.keys() {
            let mut services = self.configuration.services.values();
            if !services.any(|service| service.model == *model) {
                let place = self.places.of("weights", model.as_str());
                self.report(
                    place,
                    format!("weights name the model {model}, which no service has"),
                );
            }
        }
    }

    fn report(&mut self, place: Place, message: String) {
        self.findings.push(Finding { place, message });
    }
}
