//! Execution records on their way to the next home agents before the process ends.

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

/// The stored answers from which on another message is begun, in bytes.
const ANSWERS_PER_MESSAGE: usize = 1 << 20;

/// The number of records in one message.
const RECORDS_PER_MESSAGE: usize = 1000;

/// The number of tries for one message.
const ATTEMPTS: u32 = 3;

/// How often the agent looks whether its usage and samples were collected.
const COLLECT_CHECK: Duration = Duration::from_millis(50);

impl AgentCore {
    /// Hands keyed execution records over to the agents that become their homes.
    ///
    /// Called when nothing is in flight any more; keyed requests are refused afterwards.
    pub fn hand_over(&self) {
        let now = self.now();
        let records = {
            let mut state = self.lock();
            state.ending = true;
            state.table.hand_over(now)
        };
        let config = self.cache.current();
        let mut by_home: SortedMap<ObjectName, Vec<ExecutionRecord>> = SortedMap::new();
        let mut homeless = 0;
        for record in records {
            match self.next_home(&config, &record) {
                Some(home) => by_home.get_or_insert_with(home, Vec::new).push(record),
                None => homeless += 1,
            }
        }
        if homeless > 0 {
            log_event!(
                self.logger, events::HAND_OVER_FAILED;
                "records" => homeless, "reason" => "no other upstream runs the service",
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

    /// Waits until usage and samples were collected, at most for the time in the settings or until
    /// `is_forced` says that the exit shall not wait.
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
            thread::sleep(COLLECT_CHECK);
        }
    }

    fn next_home(&self, config: &ConfigSnapshot, record: &ExecutionRecord) -> Option<ObjectName> {
        let own = &self.settings.upstream.name;
        let choice = HomeSelector::new().choose(
            unix_ms(),
            record.customer.as_ref(),
            record.idempotency_key.as_deref()?,
            &self.settings.upstream.service,
            &config.upstreams,
        )?;
        // This agent is not the home if it was removed from the configuration before it drained.
        match choice.home == *own {
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
        let mut part: Vec<ExecutionRecord> = Vec::new();
        let mut size = 0;
        for record in records {
            size += record.answer.len();
            part.push(record.clone());
            if size >= ANSWERS_PER_MESSAGE || part.len() >= RECORDS_PER_MESSAGE {
                self.send_part(config, home, std::mem::take(&mut part))?;
                size = 0;
            }
        }
        match part.is_empty() {
            true => Ok(()),
            false => self.send_part(config, home, part),
        }
    }

    /// Sends one message; repeating it is harmless, because known keys are kept as they are.
    fn send_part(
        &self,
        config: &ConfigSnapshot,
        home: &ObjectName,
        records: Vec<ExecutionRecord>,
    ) -> Result<(), ServiceError> {
        let unavailable =
            |detail: &str| ServiceError::unknown(ErrorKind::PeerUnavailable, detail.to_owned());
        let address = config
            .upstream(home)
            .map(|upstream| upstream.agent)
            .ok_or_else(|| unavailable("the next home is not configured"))?;
        let link = self
            .link
            .get()
            .ok_or_else(|| unavailable("the transport has not started"))?;
        let timeout = self.settings.timeouts.peer;
        let mut attempt = 1;
        loop {
            let request = PeerRequest::AdoptExecutions {
                records: records.clone(),
            };
            let answer = link
                .call(address, request, timeout)
                .and_then(|mut stream| stream.receive(timeout));
            let error = match answer {
                Ok(Some(PeerFrame::Done)) => return Ok(()),
                Ok(Some(PeerFrame::Failed(error))) | Err(error) => error,
                Ok(_) => unavailable("the next home sent no confirmation"),
            };
            if attempt == ATTEMPTS {
                return Err(error);
            }
            attempt += 1;
        }
    }
}
