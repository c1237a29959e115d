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
    host::{Host, HostConfig},
};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Addresses reserved for the links from one host. The link from host `m` to host `n` has the
/// address index `(m + 1) * LINK_ADDRESS_STRIDE + n`; hosts have the indices from 1 on.
const LINK_ADDRESS_STRIDE: usize = 16;
/// Index of the address that all targets share.
const TARGET_ADDRESS_INDEX: usize = 250;
/// Delay until readers of the platform's host and target lists see a change.
const LIST_LAG_MS: u64 = 400;

/// The hosts of the system, the platform and the network between them.
#[derive(Debug)]
pub(crate) struct System {
    /// One host for each data centre.
    pub(crate) hosts: Vec<Host>,
    links: Vec<Link>,
    /// The fake platform, which also runs the targets.
    pub(crate) platform: Platform,
}

/// Relays for the traffic from one data centre's host to another's.
#[derive(Debug)]
struct Link {
    from: Dc,
    tcp: Vec<Relay>,
    to: Dc,
    udp: Vec<UdpRelay>,
}

impl System {
    /// Starts the platform and the hosts without waiting until they are ready.
    ///
    /// Each data centre gets its own view of the host list, in which the addresses of the other
    /// hosts are those of the links to them.
    pub(crate) fn start(deployment: &Deployment) -> Result<Self, DemoError> {
        let network = Network::random();
        let options = PlatformOptions {
            classes: deployment.classes(network.address(TARGET_ADDRESS_INDEX)),
            lag_ms: LIST_LAG_MS,
            ..PlatformOptions::default()
        };
        let platform = Platform::start(options).context(StartSnafu {
            component: "platform",
        })?;
        let dcs = deployment.dcs();
        let mut configs = Vec::new();
        for (index, dc) in dcs.iter().enumerate() {
            let view = platform
                .open_view(dc, Vec::new())
                .context(StartSnafu { component: "view" })?;
            let host = HostName::from(format!("{dc}-1"));
            let address = network.address(index + 1);
            configs.push(HostConfig {
                address,
                dc: dc.clone(),
                host,
                platform: view,
            });
        }
        let links = network.links(&configs)?;
        for (from, config) in configs.iter().enumerate() {
            let entries = configs.iter().enumerate().map(|(to, other)| {
                let address = if from == to {
                    other.address
                } else {
                    network.link_address(from, to)
                };
                other.to_host_entry(address)
            });
            platform.set_view_hosts(&config.dc, entries.collect());
        }
        let hosts = configs
            .into_iter()
            .map(Host::start)
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            hosts,
            links,
            platform,
        })
    }

    /// Waits until every host is ready to serve callers.
    pub(crate) fn wait_ready(&self) -> Result<(), DemoError> {
        let start = Instant::now();
        for host in &self.hosts {
            while !host.is_ready() {
                if start.elapsed() > READY_TIMEOUT {
                    let component = host.config.host.to_string();
                    let waited_ms = start.elapsed().as_millis() as u64;
                    return Err(DemoError::NotReady {
                        component,
                        waited_ms,
                    });
                }
                thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Partitions a data centre from the platform and from the other data centres while `on` is
    /// set.
    pub(crate) fn set_partition(&self, dc: &Dc, on: bool) {
        self.platform.set_view_partition(dc, on);
        for link in &self.links {
            if link.from == *dc || link.to == *dc {
                link.tcp.iter().for_each(|relay| relay.set_partition(on));
                link.udp.iter().for_each(|relay| relay.set_partition(on));
            }
        }
    }

    pub(crate) fn stop(&self) {
        for host in &self.hosts {
            host.stop();
        }
    }
}

/// A random /24 network of loopback addresses, so that several demos can run on one machine.
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
        self.address((from + 1) * LINK_ADDRESS_STRIDE + to)
    }

    fn links(&self, configs: &[HostConfig]) -> Result<Vec<Link>, DemoError> {
        let mut links = Vec::new();
        for (from, sender) in configs.iter().enumerate() {
            for (to, receiver) in configs.iter().enumerate().filter(|(to, _)| *to != from) {
                let mut link = Link {
                    from: sender.dc.clone(),
                    tcp: Vec::new(),
                    to: receiver.dc.clone(),
                    udp: Vec::new(),
                };
                for port in HostConfig::peer_ports() {
                    let listen = SocketAddr::new(self.link_address(from, to), port);
                    let upstream = SocketAddr::new(receiver.address, port);
                    let component = "link";
                    link.tcp
                        .push(Relay::start(listen, upstream).context(StartSnafu { component })?);
                    link.udp
                        .push(UdpRelay::start(listen, upstream).context(StartSnafu { component })?);
                }
                links.push(link);
            }
        }
        Ok(links)
    }
}
