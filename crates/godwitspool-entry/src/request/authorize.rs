//! Which workspace and service a request is for.

use godwitspool_connection::messages::View;
use godwitspool_types::{Key, ServiceName, Workspace};
use tiny_http::Request;

use crate::request::refusal::Refusal;

const BEARER: &str = "Bearer ";

/// The workspace and service that a request is for.
#[derive(Clone, Debug)]
pub(crate) struct Authorized {
    /// Qualified service.
    pub(crate) service: ServiceName,
    /// Workspace that pays; none on an open route.
    pub(crate) workspace: Option<Workspace>,
}

/// Finds the workspace of the request's key and the service that it means by `alias`.
pub(crate) fn authorize(
    request: &Request,
    alias: &str,
    view: &View,
) -> Result<Authorized, Refusal> {
    if view.revision == 0 {
        return Err(Refusal::NotReady);
    }
    let configuration = &view.configuration;
    if configuration.open_routes.contains(alias) {
        return Ok(Authorized {
            service: ServiceName::from(alias),
            workspace: None,
        });
    }
    let digest = key_of(request).ok_or(Refusal::KeyUnknown)?.digest();
    let mut found = None;
    for (name, rules) in &configuration.workspaces {
        for key in &rules.keys {
            // Every digest is compared, so the time tells nothing about which one matched.
            let matches = key.digest.matches(&digest);
            if matches && !key.withdrawn {
                found = Some((name, rules));
            }
        }
    }
    let (workspace, rules) = found.ok_or(Refusal::KeyUnknown)?;
    let reference = rules
        .services
        .get(alias)
        .ok_or_else(|| Refusal::UnknownService {
            service: alias.to_owned(),
        })?;
    Ok(Authorized {
        service: reference.service.clone(),
        workspace: Some(workspace.clone()),
    })
}

fn key_of(request: &Request) -> Option<Key> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Authorization"))?;
    header
        .value
        .as_str()
        .strip_prefix(BEARER)
        .map(|text| Key::from(text.trim()))
}
