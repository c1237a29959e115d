//! Which hosts keep a trainer's steps, best first.

use godwitspool_connection::messages::{Member, View};
use godwitspool_rollout::rank_hosts;
use godwitspool_types::{Dc, HostName, TrainerName};

/// Ranks the hosts that stay: the home is in the trainer's data centre, the replica in another one
/// where there is one.
pub(crate) fn rank(view: &View, trainer: &TrainerName, dc: &Dc, own: &HostName) -> Vec<HostName> {
    let stays = |member: &&Member| !member.leaving;
    let members: Vec<&Member> = view.members.iter().filter(stays).collect();
    if members.is_empty() {
        return vec![own.clone()];
    }
    let is_near = |member: &&&Member| dc.as_str().is_empty() || member.dc == *dc;
    let names = |members: Vec<&&Member>| {
        let hosts = members.into_iter().map(|member| member.host.clone());
        rank_hosts(trainer, hosts)
    };
    let (near, far): (Vec<_>, Vec<_>) = members.iter().partition(is_near);
    let home = names(near);
    let home_dc = home
        .first()
        .and_then(|host| members.iter().find(|member| member.host == *host))
        .map(|member| &member.dc);
    let elsewhere = members.iter().filter(|member| Some(&member.dc) != home_dc);
    let replica = names(elsewhere.collect());
    let mut ranked: Vec<_> = home.iter().take(1).cloned().collect();
    let rest = [replica, home, names(far)].concat();
    for host in rest {
        if !ranked.contains(&host) {
            ranked.push(host);
        }
    }
    ranked
}
