//! An agent before a stand-in engine.

use {
    super::{TestPeer, TestSite},
    catkindeck::{
        id::RequestId,
        link::PeerRole,
        message::{OrderKind, PeerRequest, UpstreamOrder},
    },
    catkindeck_agent::AgentProcess,
    catkindeck_fakes::{
        EngineSettings,
        control::ControlTarget,
        engine::{FakeEngine, token},
    },
};

pub struct EngineSite {
    pub site: TestSite,
    pub engine: FakeEngine,
    pub agent: AgentProcess,
    pub entry: TestPeer,
}

pub fn start(settings: EngineSettings) -> EngineSite {
    let site = start_unconfigured(settings, "");
    site.entry.configure(&site.agent, 1, |_| {});
    site
}

pub fn start_unconfigured(settings: EngineSettings, extra: &str) -> EngineSite {
    let engine = FakeEngine::with_settings(settings);
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let site = TestSite::new();
    let agent = site.start_agent("vault-a-1", "engine", address, extra);
    let entry = site.start_peer(PeerRole::Entry, "entry-1");
    EngineSite {
        site,
        engine,
        agent,
        entry,
    }
}

pub fn text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

pub fn running(engine: &FakeEngine) -> u64 {
    engine.state()["running"].as_u64().unwrap()
}

/// Makes an order under a lease; the number is its identity.
pub fn order(lease: &str, number: u8, fence: u64, kind: OrderKind) -> PeerRequest {
    PeerRequest::Order(UpstreamOrder {
        order: RequestId([number; 16]),
        lease: lease.try_into().unwrap(),
        fence,
        kind,
    })
}
