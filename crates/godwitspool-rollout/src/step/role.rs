//! Which host is home, and how that changes.

use godwitspool_types::{HostName, Millis};

use super::{
    Answer, Epoch, Home, PeerMessage, Record, Refusal, Replica, Role, StepAction, TrainerSteps,
};
use crate::SampleId;

impl TrainerSteps {
    pub(super) fn rank(
        &mut self,
        ranked: Vec<HostName>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        self.ranked = ranked;
        match &self.role {
            Role::Home(_) => self.choose_replica(now, actions),
            Role::Idle { .. } => {
                self.role = Role::Idle { silent: None };
                self.probe(now, actions);
            }
            Role::Replica { .. } => {
                if !self.ranked.contains(&self.epoch.host) {
                    self.become_home(now, actions);
                }
            }
        }
    }

    pub(super) fn believed_home(&self) -> Option<HostName> {
        let believed = match self.role {
            Role::Replica { .. } => Some(&self.epoch.host),
            _ => self.ranked.first(),
        };
        believed.filter(|host| **host != self.host).cloned()
    }

    /// Asks the other hosts whether they hold the steps, when this host ranks first.
    pub(super) fn probe(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let is_first = self.ranked.first() == Some(&self.host);
        let Role::Idle { silent } = &mut self.role else {
            return;
        };
        if !is_first {
            *silent = None;
            return;
        }
        if silent.is_some() {
            return;
        }
        let others = self.ranked.iter().filter(|host| **host != self.host);
        *silent = Some(others.cloned().collect());
        for to in silent.iter().flatten() {
            let (to, message) = (to.clone(), PeerMessage::Probe);
            actions.push(StepAction::Send { to, message });
        }
        self.become_home_if_unheld(now, actions);
    }

    pub(super) fn probed(
        &mut self,
        from: &HostName,
        holds: Option<Epoch>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Option<PeerMessage> {
        let Role::Idle { silent } = &mut self.role else {
            return None;
        };
        match holds {
            // This host was home under the same name and has been replaced.
            Some(epoch) if epoch.host == self.host => return Some(PeerMessage::Lost(epoch)),
            // The holder hands over once it sees this host rank first.
            Some(_) => *silent = None,
            None => {
                if let Some(silent) = silent {
                    silent.retain(|host| host != from);
                }
                self.become_home_if_unheld(now, actions);
            }
        }
        None
    }

    fn become_home_if_unheld(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        if matches!(&self.role, Role::Idle { silent: Some(silent) } if silent.is_empty()) {
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
            shadow,
            whole,
        } = &mut self.role
            && *sequence < *whole
            && let Some(shadow) = shadow.take()
        {
            self.image = *shadow;
        }
        if let Some(image) = self.unmerged.take() {
            self.image.apply(&Record::Merged(image));
        }
        self.image.catch_up(&self.known);
        self.role = Role::Home(Home::default());
        let replica = self.ranked.iter().find(|host| **host != self.host).cloned();
        self.appoint(replica, now, actions);
        self.start_missing(actions);
    }

    /// Starts the samples that are neither whole nor being made.
    pub(super) fn start_missing(&mut self, actions: &mut Vec<StepAction>) {
        let mut missing = Vec::new();
        for (step, groups) in self.image.open() {
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
                self.start(step, &spec, index, actions);
            }
        }
    }

    /// Changes the replica when the ranking names another one.
    fn choose_replica(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let next = self.ranked.iter().find(|host| **host != self.host).cloned();
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let former = home.replica.as_ref().map(|replica| replica.host.clone());
        if next == former {
            self.hand_over(now, actions);
            return;
        }
        home.former.extend(former);
        home.former.retain(|host| Some(host) != next.as_ref());
        // Above the tenure that a former replica would begin, which holds less than the next one.
        self.epoch.number += 2;
        self.appoint(next, now, actions);
    }

    fn appoint(&mut self, replica: Option<HostName>, now: Millis, actions: &mut Vec<StepAction>) {
        if let Role::Home(home) = &mut self.role {
            home.replica = replica.map(|host| Replica {
                held: None,
                host,
                sent: 0,
                sent_at: now,
            });
        }
        self.send_image(now, actions);
        self.release(actions);
    }

    /// Ends this host's part: the streams are cancelled and the callers sent to the new home.
    pub(super) fn step_down(&mut self, epoch: Epoch, actions: &mut Vec<StepAction>) {
        let ids = std::mem::take(&mut self.running).into_keys();
        actions.extend(ids.map(|id| StepAction::Cancel { id }));
        let role = std::mem::replace(&mut self.role, Role::Idle { silent: None });
        let image = std::mem::take(&mut self.image);
        if let Role::Home(home) = role {
            let successor = home
                .replica
                .as_ref()
                .filter(|replica| replica.held.is_some());
            if successor.is_some_and(|replica| replica.host == epoch.host) {
                // The successor answers nothing before this host holds its state.
                self.role = Role::Replica {
                    sequence: 0,
                    shadow: Some(Box::new(image)),
                    whole: u64::MAX,
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
