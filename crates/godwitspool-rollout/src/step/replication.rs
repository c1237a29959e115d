//! How records reach the replica.

use godwitspool_types::{HostName, Millis};

use super::{Epoch, Image, PeerMessage, Record, Role, StepAction, TrainerSteps};

const RESEND_MS: Millis = Millis(500);
const MOST_MESSAGE_BYTES: usize = 256 << 10;
const MOST_UNCONFIRMED: u64 = 1_024;

impl TrainerSteps {
    // -----------------------------------------------------------------------------------------------
    // Home's side

    /// Applies a record and sends it to the replica.
    pub(super) fn record(&mut self, record: Record, now: Millis, actions: &mut Vec<StepAction>) {
        self.image.apply(&record);
        if let Role::Home(home) = &mut self.role {
            home.sequence += 1;
            if home.replica.is_some() {
                home.unheld.push_back(record);
            }
        }
        self.pump(now, actions);
    }

    /// Gives the answers whose records the replica holds.
    pub(super) fn release(&mut self, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let held = match &home.replica {
            Some(replica) => replica.held,
            None => Some(u64::MAX),
        };
        let ready = |sequence: u64| held.is_some_and(|held| held >= sequence);
        for pending in home
            .pending
            .extract_if(.., |pending| ready(pending.sequence))
        {
            actions.extend(pending.handed.map(StepAction::Count));
            let (reply, answer) = (pending.reply, pending.answer);
            actions.push(StepAction::Answer { reply, answer });
        }
    }

    /// Sends records that were not sent yet, as far as the unconfirmed ones leave room.
    fn pump(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = &mut home.replica else {
            return;
        };
        let Some(held) = replica.held else {
            return;
        };
        while replica.sent < home.sequence && replica.sent - held < MOST_UNCONFIRMED {
            let unsent = home.unheld.iter().skip((replica.sent - held) as usize);
            let records = message_of(unsent);
            let first = replica.sent + 1;
            replica.sent += records.len() as u64;
            replica.sent_at = now;
            let message = PeerMessage::Records {
                epoch: self.epoch.clone(),
                first,
                records,
            };
            let to = replica.host.clone();
            actions.push(StepAction::Send { to, message });
        }
    }

    /// Sends again what the replica hasn't confirmed.
    pub(super) fn resend(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        if let Role::Idle {
            silent: Some(silent),
        } = &self.role
        {
            for to in silent {
                let (to, message) = (to.clone(), PeerMessage::Probe);
                actions.push(StepAction::Send { to, message });
            }
        }
        if let (Some(image), Some(to)) = (&self.unmerged, self.believed_home()) {
            let message = PeerMessage::Merge(image.clone());
            actions.push(StepAction::Send { to, message });
        }
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = &mut home.replica else {
            return;
        };
        if now - replica.sent_at < RESEND_MS {
            return;
        }
        match replica.held {
            None => self.send_image(now, actions),
            Some(held) if held < home.sequence => {
                replica.sent = held;
                self.pump(now, actions);
            }
            Some(_) => self.hand_over(now, actions),
        }
    }

    /// Sends the state without its samples, which follow as records.
    pub(super) fn send_image(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = &mut home.replica else {
            return;
        };
        // A number of its own: no earlier confirmation or offer may be taken for one of this state.
        home.sequence += 1;
        let sequence = home.sequence;
        home.unheld = self.image.sample_records().collect();
        home.sequence += home.unheld.len() as u64;
        let message = PeerMessage::Image {
            epoch: self.epoch.clone(),
            image: Box::new(self.image.without_samples()),
            sequence,
            whole: home.sequence,
        };
        replica.held = None;
        replica.sent = sequence;
        replica.sent_at = now;
        for pending in &mut home.pending {
            pending.sequence = home.sequence;
        }
        let to = replica.host.clone();
        actions.push(StepAction::Send { to, message });
    }

    /// Offers the home to the replica when that ranks first and holds everything.
    pub(super) fn hand_over(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = &mut home.replica else {
            return;
        };
        let is_first = self.ranked.first() == Some(&replica.host);
        if is_first && replica.held == Some(home.sequence) {
            replica.sent_at = now;
            let message = PeerMessage::Handover {
                epoch: self.epoch.clone(),
                sequence: home.sequence,
            };
            let to = replica.host.clone();
            actions.push(StepAction::Send { to, message });
        }
    }

    fn confirm(&mut self, from: &HostName, held: u64, now: Millis, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = home
            .replica
            .as_mut()
            .filter(|replica| replica.host == *from)
        else {
            return;
        };
        let base = home.sequence - home.unheld.len() as u64;
        if held < base || held > home.sequence {
            return;
        }
        home.unheld.drain(..(held - base) as usize);
        replica.held = Some(held);
        replica.sent = replica.sent.max(held);
        for to in home.former.drain(..) {
            let message = PeerMessage::Drop(self.epoch.clone());
            actions.push(StepAction::Send { to, message });
        }
        self.release(actions);
        self.pump(now, actions);
        self.hand_over(now, actions);
    }

    // -----------------------------------------------------------------------------------------------
    // Messages

    pub(super) fn hear(
        &mut self,
        from: HostName,
        message: PeerMessage,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        let answer = match message {
            PeerMessage::Drop(epoch) => {
                if epoch > self.epoch && epoch.host != self.host {
                    self.step_down(epoch, actions);
                }
                None
            }
            PeerMessage::Handover { epoch, sequence } => {
                Some(self.accept_home(epoch, sequence, now, actions))
            }
            PeerMessage::Held { epoch, sequence } => {
                if epoch == self.epoch {
                    self.confirm(&from, sequence, now, actions);
                }
                None
            }
            PeerMessage::Image {
                epoch,
                image,
                sequence,
                whole,
            } => self.take_image(epoch, *image, sequence, whole, actions),
            PeerMessage::Merge(image) => self.merge(image, now, actions),
            PeerMessage::Merged => {
                self.unmerged = None;
                None
            }
            PeerMessage::Missing(epoch) => {
                if epoch == self.epoch {
                    self.send_image(now, actions);
                }
                None
            }
            PeerMessage::Lost(epoch) => {
                if self.is_replica() && epoch == self.epoch {
                    self.become_home(now, actions);
                }
                None
            }
            PeerMessage::Probe => Some(PeerMessage::Probed {
                holds: (!matches!(self.role, Role::Idle { .. })).then(|| self.epoch.clone()),
            }),
            PeerMessage::Probed { holds } => self.probed(&from, holds, now, actions),
            PeerMessage::Records {
                epoch,
                first,
                records,
            } => Some(self.take_records(epoch, first, &records, actions)),
            PeerMessage::Superseded(epoch) => {
                if epoch > self.epoch && self.is_home() {
                    self.step_down(epoch, actions);
                }
                None
            }
        };
        if let Some(message) = answer {
            actions.push(StepAction::Send { to: from, message });
        }
    }

    fn merge(
        &mut self,
        image: Box<Image>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Option<PeerMessage> {
        if !self.is_home() {
            return None;
        }
        self.record(Record::Merged(image), now, actions);
        let image = &self.image;
        self.running.retain(|id, _| {
            let is_open = image.step(id.step).is_some();
            if !is_open {
                actions.push(StepAction::Cancel { id: id.clone() });
            }
            is_open
        });
        self.start_missing(actions);
        Some(PeerMessage::Merged)
    }

    fn accept_home(
        &mut self,
        epoch: Epoch,
        offered: u64,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> PeerMessage {
        if epoch < self.epoch {
            return PeerMessage::Superseded(self.epoch.clone());
        }
        match self.role {
            Role::Replica { sequence, .. } if epoch == self.epoch => {
                if sequence != offered {
                    return PeerMessage::Held { epoch, sequence };
                }
                self.become_home(now, actions);
                PeerMessage::Superseded(self.epoch.clone())
            }
            _ => PeerMessage::Missing(epoch),
        }
    }

    fn take_image(
        &mut self,
        epoch: Epoch,
        image: Image,
        sequence: u64,
        whole: u64,
        actions: &mut Vec<StepAction>,
    ) -> Option<PeerMessage> {
        if epoch < self.epoch {
            return Some(PeerMessage::Superseded(self.epoch.clone()));
        }
        if epoch.host == self.host {
            return None;
        }
        if self.is_home() {
            self.step_down(epoch.clone(), actions);
        }
        let mut kept = None;
        if let Role::Replica {
            sequence: held,
            shadow,
            whole,
        } = &mut self.role
            && epoch == self.epoch
        {
            if sequence < *held {
                let sequence = *held;
                return Some(PeerMessage::Held { epoch, sequence });
            }
            kept = if *held >= *whole {
                Some(Box::new(std::mem::take(&mut self.image)))
            } else {
                shadow.take()
            };
        }
        self.image = image;
        self.role = Role::Replica {
            sequence,
            shadow: kept.filter(|_| sequence < whole),
            whole,
        };
        self.epoch = epoch.clone();
        Some(PeerMessage::Held { epoch, sequence })
    }

    fn take_records(
        &mut self,
        epoch: Epoch,
        first: u64,
        records: &[Record],
        actions: &mut Vec<StepAction>,
    ) -> PeerMessage {
        if epoch < self.epoch {
            return PeerMessage::Superseded(self.epoch.clone());
        }
        if epoch > self.epoch && self.is_home() {
            self.step_down(epoch.clone(), actions);
        }
        let Role::Replica {
            sequence: held,
            shadow,
            whole,
        } = &mut self.role
        else {
            return PeerMessage::Missing(epoch);
        };
        if epoch != self.epoch {
            return PeerMessage::Missing(epoch);
        }
        if first > *held + 1 {
            let sequence = *held;
            return PeerMessage::Held { epoch, sequence };
        }
        let known = (*held + 1 - first) as usize;
        for record in records.iter().skip(known) {
            self.image.apply(record);
            *held += 1;
        }
        if *held >= *whole {
            *shadow = None;
        }
        let sequence = *held;
        PeerMessage::Held { epoch, sequence }
    }
}

/// Takes as many records as a message may hold, and at least one.
fn message_of<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<Record> {
    let mut bytes = 0;
    let mut taken = Vec::new();
    for record in records {
        bytes += record.bytes();
        if bytes > MOST_MESSAGE_BYTES && !taken.is_empty() {
            break;
        }
        taken.push(record.clone());
    }
    taken
}
