//! Handling of received datagrams.

use std::net::SocketAddr;

use godwitspool_types::Millis;

use super::{
    Answered, Datagram, Health, MemberRecord, Membership, MembershipAction, Message, core::send,
    probe::IndirectProbe,
};

impl Membership {
    /// Merges a datagram's contents and answers its message.
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
                actions.push(MembershipAction::NewRumor(rumor.body.clone()));
            }
        }
        self.record_contact(datagram, now);
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
            self.table.limit_remote(&record.dc, self.rules.relays);
        }
        true
    }

    /// Refutes a record about the local host that would replace the host's own record, by raising
    /// the own version, or the own incarnation if the record's is higher.
    ///
    /// A host that announced that it is down refutes nothing.
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
        let local = sender.dc == self.own.dc;
        let differs = local && datagram.digest != self.table.digest(&self.own);
        match &datagram.message {
            Message::Ack { sequence, answered } => {
                let host = answered
                    .as_ref()
                    .map_or(&sender.host, |answered| &answered.host);
                // Another host may use the address by now, so the host name must match too.
                self.probes
                    .retain(|probe| probe.sequence != *sequence || probe.host != *host);
                self.finish_indirect(*sequence, sender, now, actions);
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
                let own_sequence = self.sequence();
                self.indirect_probes.push(IndirectProbe {
                    sequence: own_sequence,
                    begun: now,
                    requester: from,
                    request_sequence: *sequence,
                });
                let about = self.table.get(host).map(|known| known.record.clone());
                let ping = Message::Ping {
                    sequence: own_sequence,
                };
                let ping = self.datagram(ping, about.as_ref(), false, now);
                actions.push(send(*address, ping));
            }
        }
    }

    /// Forwards an ack to the host that requested the indirect probe.
    fn finish_indirect(
        &mut self,
        sequence: u64,
        answered: &MemberRecord,
        now: Millis,
        actions: &mut Vec<MembershipAction>,
    ) {
        let done = |pending: &mut IndirectProbe| pending.sequence == sequence;
        let finished: Vec<_> = self.indirect_probes.extract_if(.., done).collect();
        for pending in finished {
            let message = Message::Ack {
                sequence: pending.request_sequence,
                answered: Some(Answered {
                    host: answered.host.clone(),
                    life: answered.life,
                }),
            };
            let ack = self.datagram(message, Some(answered), false, now);
            actions.push(send(pending.requester, ack));
        }
    }
}
