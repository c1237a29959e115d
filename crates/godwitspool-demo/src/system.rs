//! The hosts of the system, the platform and the network between them.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

use godwitspool_fakes::{Platform, PlatformOptions, Relay, UdpRelay};
use godwitspool_types::{Dc, HostName};
use snafu::ResultExt;

use crate::{
    DemoError,
    deployment::Deployment,
    error::StartSnafu,
    host::{Host, Place},
};

const READY_BOUND: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
/// Addresses of one host and of its links on the demo's own network.
const LINK_STRIDE: usize = 16;
/// Address of all targets on the demo's own network.
const TARGETS: usize = 250;
const LIST_LAG_MS: u64 = 400;

/// The hosts of the system, the platform and the network between them.
#[derive(Debug)]
pub(crate) struct System {
    /// One host for each data centre.
    pub(crate) hosts: Vec<Host>,
    links: Vec<Link>,
    /// The platform.
    pub(crate) platform: Platform,
}

/// What one data centre's host sends to another's.
#[derive(Debug)]
struct Link {
    from: Dc,
    tcp: Vec<Relay>,
    to: Dc,
    udp: Vec<UdpRelay>,
}

impl System {
    /// Starts everything and waits for nothing.
    pub(crate) fn start(deployment: &Deployment) -> Result<Self, DemoError> {
        let network = Network::random();
        let options = PlatformOptions {
            classes: deployment.classes(network.address(TARGETS)),
            lag_ms: LIST_LAG_MS,
            ..PlatformOptions::default()
        };
        let platform = Platform::start(options).context(StartSnafu { part: "platform" })?;
        let dcs = deployment.dcs();
        let mut places = Vec::new();
        for (index, dc) in dcs.iter().enumerate() {
            let view = platform
                .open_view(dc, Vec::new())
                .context(StartSnafu { part: "view" })?;
            let host = HostName::from(format!("{dc}-1"));
            let address = network.address(index + 1);
            places.push(Place {
                address,
                dc: dc.clone(),
                host,
                platform: view,
            });
        }
        let links = network.links(&places)?;
        for (from, place) in places.iter().enumerate() {
            let listed = places.iter().enumerate().map(|(to, other)| {
                let address = if from == to {
                    other.address
                } else {
                    network.link_address(from, to)
                };
                other.listed(address)
            });
            platform.set_view_hosts(&place.dc, listed.collect());
        }
        let hosts = places
            .into_iter()
            .map(Host::start)
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            hosts,
            links,
            platform,
        })
    }

    /// Waits until every host serves.
    pub(crate) fn wait_ready(&self) -> Result<(), DemoError> {
        let start = Instant::now();
        for host in &self.hosts {
            while !host.is_ready() {
                if start.elapsed() > READY_BOUND {
                    let part = host.place.host.to_string();
                    let waited_ms = start.elapsed().as_millis() as u64;
                    return Err(DemoError::NotReady { part, waited_ms });
                }
                thread::sleep(READY_POLL);
            }
        }
        Ok(())
    }

    /// Cuts a data centre off from the platform and from the other data centres until unset.
    pub(crate) fn set_partition(&self, dc: &Dc, on: bool) {
        self.platform.set_view_partition(dc, on);
        for link in &self.links {
            if link.from == *dc || link.to == *dc {
                link.tcp.iter().for_each(|relay| relay.set_partition(on));
                link.udp.iter().for_each(|relay| relay.set_partition(on));
            }
        }
    }

    /// Stops the hosts.
    pub(crate) fn stop(&self) {
        for host in &self.hosts {
            host.stop();
        }
    }
}

/// A loopback network of the demo's own, so that several demos can run at once.
struct Network {
    octets: [u8; 2],
}

impl Network {
    fn random() -> Self {
        Self {
            octets: [rand::random_range(1..=250), rand::random_range(1..=250)],
        }
    }

    fn address(&self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.octets[0],
            self.octets[1],
            index as u8,
        ))
    }

    fn link_address(&self, from: usize, to: usize) -> IpAddr {
        self.address((from + 1) * LINK_STRIDE + to)
    }

    fn links(&self, places: &[Place]) -> Result<Vec<Link>, DemoError> {
        let mut links = Vec::new();
        for (from, sender) in places.iter().enumerate() {
            for (to, receiver) in places.iter().enumerate().filter(|(to, _)| *to != from) {
                let mut link = Link {
                    from: sender.dc.clone(),
                    tcp: Vec::new(),
                    to: receiver.dc.clone(),
                    udp: Vec::new(),
                };
                for port in Place::peer_ports() {
                    let listen = SocketAddr::new(self.link_address(from, to), port);
                    let upstream = SocketAddr::new(receiver.address, port);
                    let part = "link";
                    link.tcp
                        .push(Relay::start(listen, upstream).context(StartSnafu { part })?);
                    link.udp
                        .push(UdpRelay::start(listen, upstream).context(StartSnafu { part })?);
                }
                links.push(link);
            }
        }
        Ok(links)
    }
}
