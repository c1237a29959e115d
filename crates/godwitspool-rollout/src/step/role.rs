//! Selection and change of the home and the replica.

use godwitspool_types::{HostName, Millis};

use super::{
    Answer, Epoch, Home, PeerMessage, Record, Refusal, Replica, Role, StepAction, TrainerSteps,
};
use crate::SampleId;

impl TrainerSteps {
    pub(super) fn update_ranking(
        &mut self,
        ranked: Vec<HostName>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        self.ranked = ranked;
        match &self.role {
            Role::Home(_) => self.update_replica(now, actions),
            Role::Idle { .. } => {
                self.role = Role::Idle { unanswered: None };
                self.probe_holders(now, actions);
            }
            Role::Replica { .. } => {
                if !self.ranked.contains(&self.epoch.host) {
                    self.become_home(now, actions);
                }
            }
        }
    }

    /// Returns the other host that this host considers home, if any.
    pub(super) fn believed_home(&self) -> Option<HostName> {
        let believed = match self.role {
            Role::Replica { .. } => Some(&self.epoch.host),
            _ => self.ranked.first(),
        };
        believed.filter(|host| **host != self.host).cloned()
    }

    /// Asks the other hosts whether they hold the steps if this host ranks first.
    ///
    /// It becomes home once all of them have answered that they do not.
    pub(super) fn probe_holders(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let is_first = self.ranked.first() == Some(&self.host);
        let Role::Idle { unanswered } = &mut self.role else {
            return;
        };
        if !is_first {
            *unanswered = None;
            return;
        }
        if unanswered.is_some() {
            return;
        }
        let others = self.ranked.iter().filter(|host| **host != self.host);
        *unanswered = Some(others.cloned().collect());
        for to in unanswered.iter().flatten() {
            let (to, message) = (to.clone(), PeerMessage::Probe);
            actions.push(StepAction::Send { to, message });
        }
        self.become_home_if_unclaimed(now, actions);
    }

    pub(super) fn handle_probe_answer(
        &mut self,
        from: &HostName,
        holds: Option<Epoch>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Option<PeerMessage> {
        let Role::Idle { unanswered } = &mut self.role else {
            return None;
        };
        match holds {
            // This host was home in that epoch and has since restarted without its steps.
            Some(epoch) if epoch.host == self.host => return Some(PeerMessage::Lost(epoch)),
            // The holder hands over once it also ranks this host first.
            Some(_) => *unanswered = None,
            None => {
                if let Some(unanswered) = unanswered {
                    unanswered.retain(|host| host != from);
                }
                self.become_home_if_unclaimed(now, actions);
            }
        }
        None
    }

    fn become_home_if_unclaimed(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        if matches!(&self.role, Role::Idle { unanswered: Some(hosts) } if hosts.is_empty()) {
            self.become_home(now, actions);
        }
    }

    pub(super) fn become_home(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        self.epoch = Epoch {
            number: self.epoch.number + 1,
            host: self.host.clone(),
        };
        self.counts.takeovers += 1;
        if let Role::Replica {
            sequence,
            last_complete,
            complete_at,
        } = &mut self.role
            && *sequence < *complete_at
            && let Some(last_complete) = last_complete.take()
        {
            self.image = *last_complete;
        }
        if let Some(image) = self.unmerged.take() {
            self.image.apply(&Record::Merged(image));
        }
        self.image.catch_up(&self.versions);
        self.role = Role::Home(Home::default());
        let replica = self.ranked.iter().find(|host| **host != self.host).cloned();
        self.set_replica(replica, now, actions);
        self.start_missing(actions);
    }

    /// Starts all samples that are neither complete nor running.
    pub(super) fn start_missing(&mut self, actions: &mut Vec<StepAction>) {
        let mut missing = Vec::new();
        for (step, groups) in self.image.open_steps() {
            for group in groups.values() {
                let indices = group.samples.iter().enumerate();
                let open = indices.filter(|(_, sample)| sample.is_none());
                missing.extend(open.map(|(index, _)| (step, group.spec.clone(), index as u32)));
            }
        }
        for (step, spec, index) in missing {
            let id = SampleId {
                trainer: self.trainer.clone(),
                step,
                group: spec.group,
                index,
            };
            if !self.running.contains_key(&id) {
                self.start_sample(step, &spec, index, actions);
            }
        }
    }

    /// Replaces the replica if the ranking selects another one.
    fn update_replica(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let next = self.ranked.iter().find(|host| **host != self.host).cloned();
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let current = home.replica.as_ref().map(|replica| replica.host.clone());
        if next == current {
            self.offer_handover(now, actions);
            return;
        }
        home.former_replicas.extend(current);
        home.former_replicas
            .retain(|host| Some(host) != next.as_ref());
        // The former replica would take over with the current number plus one. It holds fewer
        // records than the next replica, so this epoch must be greater.
        self.epoch.number += 2;
        self.set_replica(next, now, actions);
    }

    fn set_replica(
        &mut self,
        replica: Option<HostName>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        if let Role::Home(home) = &mut self.role {
            home.replica = replica.map(|host| Replica {
                confirmed: None,
                host,
                sent: 0,
                sent_at: now,
            });
        }
        self.send_image(now, actions);
        self.release_answers(actions);
    }

    /// Ends the current role. Streams are cancelled and waiting callers are redirected to the
    /// new home.
    pub(super) fn step_down(&mut self, epoch: Epoch, actions: &mut Vec<StepAction>) {
        let ids = std::mem::take(&mut self.running).into_keys();
        actions.extend(ids.map(|id| StepAction::Cancel { id }));
        let role = std::mem::replace(&mut self.role, Role::Idle { unanswered: None });
        let image = std::mem::take(&mut self.image);
        if let Role::Home(home) = role {
            let successor = home
                .replica
                .as_ref()
                .filter(|replica| replica.confirmed.is_some());
            if successor.is_some_and(|replica| replica.host == epoch.host) {
                // The successor answers no request before this host holds the successor's complete
                // state. Until then, this host keeps its own state as a fallback.
                self.role = Role::Replica {
                    sequence: 0,
                    last_complete: Some(Box::new(image)),
                    complete_at: u64::MAX,
                };
            } else {
                self.unmerged = Some(Box::new(image.without_samples()));
            }
            for pending in home.pending {
                let answer = Answer::Refused(Refusal::Moving(Some(epoch.host.clone())));
                let reply = pending.reply;
                actions.push(StepAction::Answer { reply, answer });
            }
        }
        self.epoch = epoch;
    }
}
