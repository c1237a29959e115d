//! Order in which hosts keep a trainer's steps.

use godwitspool_connection::messages::{Member, View};
use godwitspool_rollout::rank_hosts;
use godwitspool_types::{Dc, HostName, TrainerName};

/// Ranks the hosts that aren't leaving. The first is the home, in the trainer's data centre if that
/// has a host; the second is the replica, in another data centre if there is one. Returns no host until
/// the hosts are known, and this one if all are leaving.
pub(crate) fn rank(view: &View, trainer: &TrainerName, dc: &Dc, own: &HostName) -> Vec<HostName> {
    let stays = |member: &&Member| !member.leaving;
    let members: Vec<&Member> = view.members.iter().filter(stays).collect();
    if members.is_empty() {
        return if view.members.is_empty() {
            Vec::new()
        } else {
            vec![own.clone()]
        };
    }
    let is_local = |member: &&&Member| dc.as_str().is_empty() || member.dc == *dc;
    let names = |members: Vec<&&Member>| {
        let hosts = members.into_iter().map(|member| member.host.clone());
        rank_hosts(trainer, hosts)
    };
    let (local, remote): (Vec<_>, Vec<_>) = members.iter().partition(is_local);
    let home = names(local);
    let home_dc = home
        .first()
        .and_then(|host| members.iter().find(|member| member.host == *host))
        .map(|member| &member.dc);
    let elsewhere = members.iter().filter(|member| Some(&member.dc) != home_dc);
    let replica = names(elsewhere.collect());
    let mut ranked: Vec<_> = home.iter().take(1).cloned().collect();
    let rest = [replica, home, names(remote)].concat();
    for host in rest {
        if !ranked.contains(&host) {
            ranked.push(host);
        }
    }
    ranked
}
