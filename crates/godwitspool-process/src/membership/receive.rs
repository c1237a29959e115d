//! What a host does with a datagram.

use std::net::SocketAddr;

use godwitspool_types::Millis;

use super::{
    Answered, Datagram, Health, MemberRecord, Membership, MembershipAction, Message, core::send,
    probe::Errand,
};

impl Membership {
    /// Takes a datagram.
    pub(super) fn receive(
        &mut self,
        from: SocketAddr,
        datagram: &Datagram,
        now: Millis,
        actions: &mut Vec<MembershipAction>,
    ) {
        let sender = &datagram.sender;
        if sender.host == self.own.host && sender.life == self.own.life {
            return;
        }
        let mut changed = self.hints.raise(datagram.hints);
        changed |= self.merge(sender, now);
        for record in &datagram.updates {
            changed |= self.merge(record, now);
        }
        for rumor in &datagram.rumors {
            if self.queue.push_rumor(rumor, now) {
                actions.push(MembershipAction::Heard(rumor.body.clone()));
            }
        }
        self.hear(datagram, now);
        if changed {
            actions.push(MembershipAction::Changed);
        }
        self.reply(from, datagram, now, actions);
    }

    fn merge(&mut self, record: &MemberRecord, now: Millis) -> bool {
        if record.host == self.own.host {
            self.answer_about_self(record);
            return false;
        }
        if !self.table.merge(record, now) {
            return false;
        }
        self.queue.push_host(&record.host);
        if record.dc != self.own.dc {
            self.table.bound_contacts(&record.dc, self.rules.relays);
        }
        true
    }

    /// Overrules what others say about the own host, unless it is so.
    fn answer_about_self(&mut self, record: &MemberRecord) {
        if self.own.health == Health::Down {
            return;
        }
        if record.life > self.own.life {
            self.counts.twins += 1;
            self.own.life.0 = record.life.0.saturating_add(1);
        } else if record.life == self.own.life && record.replaces(&self.own) {
            self.counts.refuted += 1;
            self.own.version = record.version.saturating_add(1);
        } else {
            return;
        }
        self.queue.push_host(&self.own.host.clone());
    }

    fn reply(
        &mut self,
        from: SocketAddr,
        datagram: &Datagram,
        now: Millis,
        actions: &mut Vec<MembershipAction>,
    ) {
        let sender = &datagram.sender;
        let near = sender.dc == self.own.dc;
        let differs = near && datagram.digest != self.table.digest(&self.own);
        match &datagram.message {
            Message::Ack { sequence, answered } => {
                let host = answered
                    .as_ref()
                    .map_or(&sender.host, |answered| &answered.host);
                // The address may be another host's by now.
                self.probes
                    .retain(|probe| probe.sequence != *sequence || probe.host != *host);
                self.finish_errand(*sequence, sender, now, actions);
                if differs {
                    let news = self.datagram(Message::News, Some(sender), true, now);
                    actions.push(send(from, news));
                }
            }
            Message::News => {}
            Message::Ping { sequence } => {
                let message = Message::Ack {
                    sequence: *sequence,
                    answered: None,
                };
                let ack = self.datagram(message, Some(sender), differs, now);
                actions.push(send(from, ack));
            }
            Message::PingFor {
                sequence,
                host,
                address,
            } => {
                let own = self.sequence();
                self.errands.push(Errand {
                    sequence: own,
                    begun: now,
                    asker: from,
                    asked: *sequence,
                });
                let about = self.table.get(host).map(|known| known.record.clone());
                let ping = Message::Ping { sequence: own };
                let ping = self.datagram(ping, about.as_ref(), false, now);
                actions.push(send(*address, ping));
            }
        }
    }

    fn finish_errand(
        &mut self,
        sequence: u64,
        answered: &MemberRecord,
        now: Millis,
        actions: &mut Vec<MembershipAction>,
    ) {
        let done = |errand: &mut Errand| errand.sequence == sequence;
        let finished: Vec<_> = self.errands.extract_if(.., done).collect();
        for errand in finished {
            let message = Message::Ack {
                sequence: errand.asked,
                answered: Some(Answered {
                    host: answered.host.clone(),
                    life: answered.life,
                }),
            };
            let ack = self.datagram(message, Some(answered), false, now);
            actions.push(send(errand.asker, ack));
        }
    }
}
