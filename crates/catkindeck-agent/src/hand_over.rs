//! Transfers execution records to other agents before the process exits.

use {
    crate::{core::AgentCore, events},
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        config::ConfigSnapshot,
        id::ObjectName,
        log_event,
        message::{ExecutionRecord, PeerFrame, PeerRequest},
        time::unix_ms,
    },
    catkindeck_policy::HomeSelector,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The size of stored responses from which a message is sent, in bytes.
const BODY_BYTES_PER_MESSAGE: usize = 1 << 20;

/// The maximum number of records in one message.
const RECORDS_PER_MESSAGE: usize = 1000;

/// The maximum number of attempts to send a message.
const MAX_ATTEMPTS: u32 = 3;

/// The interval between checks whether usage and samples have been collected.
const COLLECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl AgentCore {
    /// Transfers the records of keyed executions to their next home agents, which then handle
    /// retries of these keys.
    ///
    /// Must be called when no request is in flight any more. Afterwards, keyed requests are
    /// rejected.
    pub fn hand_over(&self) {
        let now = self.now();
        let records = {
            let mut state = self.lock();
            state.finalized = true;
            state.table.hand_over(now)
        };
        let config = self.cache.current();
        let mut by_home: SortedMap<ObjectName, Vec<ExecutionRecord>> = SortedMap::new();
        let mut without_home = 0;
        for record in records {
            match self.next_home(&config, &record) {
                Some(home) => by_home.get_or_insert_with(home, Vec::new).push(record),
                None => without_home += 1,
            }
        }
        if without_home > 0 {
            log_event!(
                self.logger, events::HAND_OVER_FAILED;
                "records" => without_home, "reason" => "no other upstream runs this service",
            );
        }
        for (home, records) in by_home.iter() {
            let count = records.len();
            match self.send_records(&config, home, records) {
                Ok(()) => log_event!(
                    self.logger, events::RECORDS_HANDED_OVER;
                    "home" => home.as_str(), "records" => count,
                ),
                Err(error) => log_event!(
                    self.logger, events::HAND_OVER_FAILED;
                    "home" => home.as_str(), "records" => count, "reason" => error.to_string(),
                ),
            }
        }
    }

    /// Waits until usage and samples are collected. Stops waiting after the configured time, or
    /// when `is_forced` returns true.
    pub fn wait_collected(&self, is_forced: &dyn Fn() -> bool) {
        let deadline = Instant::now() + self.settings.timeouts.drain_collect;
        loop {
            let (lines, samples) = {
                let state = self.lock();
                (state.usage.len(), state.samples.len())
            };
            if lines == 0 && samples == 0 {
                return;
            }
            if Instant::now() >= deadline || is_forced() {
                log_event!(
                    self.logger, events::LEFT_UNCOLLECTED;
                    "usage_lines" => lines, "samples" => samples,
                );
                return;
            }
            thread::sleep(COLLECT_POLL_INTERVAL);
        }
    }

    fn next_home(&self, config: &ConfigSnapshot, record: &ExecutionRecord) -> Option<ObjectName> {
        let own_name = &self.settings.upstream.name;
        let choice = HomeSelector::new().choose(
            unix_ms(),
            record.customer.as_ref(),
            record.idempotency_key.as_deref()?,
            &self.settings.upstream.service,
            &config.upstreams,
        )?;
        // If this upstream was removed from the configuration before the drain, another agent is
        // the home already.
        match choice.home == *own_name {
            true => choice.next,
            false => Some(choice.home),
        }
    }

    fn send_records(
        &self,
        config: &ConfigSnapshot,
        home: &ObjectName,
        records: &[ExecutionRecord],
    ) -> Result<(), ServiceError> {
        let mut batch: Vec<ExecutionRecord> = Vec::new();
        let mut body_bytes = 0;
        for record in records {
            body_bytes += record.answer.len();
            batch.push(record.clone());
            if body_bytes >= BODY_BYTES_PER_MESSAGE || batch.len() >= RECORDS_PER_MESSAGE {
                self.send_batch(config, home, std::mem::take(&mut batch))?;
                body_bytes = 0;
            }
        }
        match batch.is_empty() {
            true => Ok(()),
            false => self.send_batch(config, home, batch),
        }
    }

    /// Sends one message, with retries. Repeating it is harmless, because the receiver ignores
    /// records of keys that it already knows.
    fn send_batch(
        &self,
        config: &ConfigSnapshot,
        home: &ObjectName,
        records: Vec<ExecutionRecord>,
    ) -> Result<(), ServiceError> {
        let peer_unavailable_error =
            |detail: &str| ServiceError::unknown(ErrorKind::PeerUnavailable, detail.to_owned());
        let address = config
            .upstream(home)
            .map(|upstream| upstream.agent)
            .ok_or_else(|| {
                peer_unavailable_error(&format!(
                    "the next home agent {home} is not in the configuration"
                ))
            })?;
        let link = self
            .link
            .get()
            .ok_or_else(|| peer_unavailable_error("the transport has not started"))?;
        let timeout = self.settings.timeouts.peer;
        let mut attempt = 1;
        loop {
            let request = PeerRequest::AdoptExecutions {
                records: records.clone(),
            };
            let response = link
                .call(address, request, timeout)
                .and_then(|mut stream| stream.receive(timeout));
            let error = match response {
                Ok(Some(PeerFrame::Done)) => return Ok(()),
                Ok(Some(PeerFrame::Failed(error))) | Err(error) => error,
                Ok(_) => peer_unavailable_error(
                    "the next home agent did not confirm that it stored the records",
                ),
            };
            if attempt == MAX_ATTEMPTS {
                return Err(error);
            }
            attempt += 1;
        }
    }
}
