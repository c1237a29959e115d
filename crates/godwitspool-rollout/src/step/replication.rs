//! Replication of records and messages between hosts.

use godwitspool_types::{HostName, Millis};

use super::{Epoch, Image, PeerMessage, Record, Role, StepAction, TrainerSteps};

/// Time after which unconfirmed images and records and unanswered handover offers are sent again.
const RESEND_INTERVAL: Millis = Millis(500);
/// Approximate maximum size of the records in one message.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
const MAX_UNCONFIRMED_RECORDS: u64 = 1_024;

impl TrainerSteps {
    /// Applies a record locally and sends it to the replica.
    pub(super) fn replicate(&mut self, record: Record, now: Millis, actions: &mut Vec<StepAction>) {
        self.image.apply(&record);
        if let Role::Home(home) = &mut self.role {
            home.sequence += 1;
            if home.replica.is_some() {
                home.unconfirmed.push_back(record);
            }
        }
        self.send_records(now, actions);
    }

    /// Sends the pending answers whose records the replica has confirmed.
    ///
    /// Without a replica, all pending answers are sent.
    pub(super) fn release_answers(&mut self, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let confirmed = match &home.replica {
            Some(replica) => replica.confirmed,
            None => Some(u64::MAX),
        };
        let is_ready = |sequence: u64| confirmed.is_some_and(|confirmed| confirmed >= sequence);
        for pending in home
            .pending
            .extract_if(.., |pending| is_ready(pending.sequence))
        {
            actions.extend(pending.acknowledged_batch.map(StepAction::Count));
            let (reply, answer) = (pending.reply, pending.answer);
            actions.push(StepAction::Answer { reply, answer });
        }
    }

    /// Sends new records to the replica, up to [`MAX_UNCONFIRMED_RECORDS`] unconfirmed ones.
    fn send_records(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = &mut home.replica else {
            return;
        };
        let Some(confirmed) = replica.confirmed else {
            return;
        };
        while replica.sent < home.sequence && replica.sent - confirmed < MAX_UNCONFIRMED_RECORDS {
            let unsent = home
                .unconfirmed
                .iter()
                .skip((replica.sent - confirmed) as usize);
            let records = records_for_message(unsent);
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

    /// Repeats unanswered messages: probes, merges, images, records and handover offers.
    pub(super) fn resend(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        if let Role::Idle {
            unanswered: Some(unanswered),
        } = &self.role
        {
            for to in unanswered {
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
        if now - replica.sent_at < RESEND_INTERVAL {
            return;
        }
        match replica.confirmed {
            None => self.send_image(now, actions),
            Some(confirmed) if confirmed < home.sequence => {
                replica.sent = confirmed;
                self.send_records(now, actions);
            }
            Some(_) => self.offer_handover(now, actions),
        }
    }

    /// Sends the state without samples to the replica. The samples follow as records.
    pub(super) fn send_image(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = &mut home.replica else {
            return;
        };
        // The image gets its own sequence number, so that an earlier confirmation or handover offer
        // cannot be mistaken for one of this image.
        home.sequence += 1;
        let sequence = home.sequence;
        home.unconfirmed = self.image.sample_records().collect();
        home.sequence += home.unconfirmed.len() as u64;
        let message = PeerMessage::Image {
            epoch: self.epoch.clone(),
            image: Box::new(self.image.without_samples()),
            sequence,
            whole: home.sequence,
        };
        replica.confirmed = None;
        replica.sent = sequence;
        replica.sent_at = now;
        for pending in &mut home.pending {
            pending.sequence = home.sequence;
        }
        let to = replica.host.clone();
        actions.push(StepAction::Send { to, message });
    }

    /// Offers the home role to the replica if it ranks first and has confirmed all records.
    pub(super) fn offer_handover(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let Role::Home(home) = &mut self.role else {
            return;
        };
        let Some(replica) = &mut home.replica else {
            return;
        };
        let is_first = self.ranked.first() == Some(&replica.host);
        if is_first && replica.confirmed == Some(home.sequence) {
            replica.sent_at = now;
            let message = PeerMessage::Handover {
                epoch: self.epoch.clone(),
                sequence: home.sequence,
            };
            let to = replica.host.clone();
            actions.push(StepAction::Send { to, message });
        }
    }

    /// Handles a confirmation that the replica holds all records up to `confirmed`.
    fn handle_confirmation(
        &mut self,
        from: &HostName,
        confirmed: u64,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) {
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
        let base = home.sequence - home.unconfirmed.len() as u64;
        if confirmed < base || confirmed > home.sequence {
            return;
        }
        home.unconfirmed.drain(..(confirmed - base) as usize);
        replica.confirmed = Some(confirmed);
        replica.sent = replica.sent.max(confirmed);
        for to in home.former_replicas.drain(..) {
            let message = PeerMessage::Drop(self.epoch.clone());
            actions.push(StepAction::Send { to, message });
        }
        self.release_answers(actions);
        self.send_records(now, actions);
        self.offer_handover(now, actions);
    }

    pub(super) fn receive(
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
                Some(self.accept_handover(epoch, sequence, now, actions))
            }
            PeerMessage::Held { epoch, sequence } => {
                if epoch == self.epoch {
                    self.handle_confirmation(&from, sequence, now, actions);
                }
                None
            }
            PeerMessage::Image {
                epoch,
                image,
                sequence,
                whole,
            } => self.receive_image(epoch, *image, sequence, whole, actions),
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
            PeerMessage::Probed { holds } => self.handle_probe_answer(&from, holds, now, actions),
            PeerMessage::Records {
                epoch,
                first,
                records,
            } => Some(self.receive_records(epoch, first, &records, actions)),
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

    /// Merges the state that a former home accepted, cancels running samples of steps that are no
    /// longer open, and starts missing ones.
    fn merge(
        &mut self,
        image: Box<Image>,
        now: Millis,
        actions: &mut Vec<StepAction>,
    ) -> Option<PeerMessage> {
        if !self.is_home() {
            return None;
        }
        self.replicate(Record::Merged(image), now, actions);
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

    fn accept_handover(
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

    /// Replaces the state with the image of the home.
    ///
    /// The image has no samples, so the last complete state is kept until they have arrived.
    fn receive_image(
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
            sequence: applied,
            last_complete,
            complete_at,
        } = &mut self.role
            && epoch == self.epoch
        {
            if sequence < *applied {
                let sequence = *applied;
                return Some(PeerMessage::Held { epoch, sequence });
            }
            kept = if *applied >= *complete_at {
                Some(Box::new(std::mem::take(&mut self.image)))
            } else {
                last_complete.take()
            };
        }
        self.image = image;
        self.role = Role::Replica {
            sequence,
            last_complete: kept.filter(|_| sequence < whole),
            complete_at: whole,
        };
        self.epoch = epoch.clone();
        Some(PeerMessage::Held { epoch, sequence })
    }

    fn receive_records(
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
            sequence: applied,
            last_complete,
            complete_at,
        } = &mut self.role
        else {
            return PeerMessage::Missing(epoch);
        };
        if epoch != self.epoch {
            return PeerMessage::Missing(epoch);
        }
        if first > *applied + 1 {
            let sequence = *applied;
            return PeerMessage::Held { epoch, sequence };
        }
        let known = (*applied + 1 - first) as usize;
        for record in records.iter().skip(known) {
            self.image.apply(record);
            *applied += 1;
        }
        if *applied >= *complete_at {
            *last_complete = None;
        }
        let sequence = *applied;
        PeerMessage::Held { epoch, sequence }
    }
}

/// Returns the first records that fit into one message, but at least one.
fn records_for_message<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<Record> {
    let mut bytes = 0;
    let mut taken = Vec::new();
    for record in records {
        bytes += record.bytes();
        if bytes > MAX_MESSAGE_BYTES && !taken.is_empty() {
            break;
        }
        taken.push(record.clone());
    }
    taken
}
