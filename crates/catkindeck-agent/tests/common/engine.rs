//! An agent with a fake engine as its upstream.

use {
    super::{TestPeer, TestSetup},
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

pub struct EngineSetup {
    pub base: TestSetup,
    pub engine: FakeEngine,
    pub agent: AgentProcess,
    pub entry: TestPeer,
}

pub fn start(settings: EngineSettings) -> EngineSetup {
    let setup = start_unconfigured(settings, "");
    setup.entry.configure(&setup.agent, 1, |_| {});
    setup
}

pub fn start_unconfigured(settings: EngineSettings, extra: &str) -> EngineSetup {
    let engine = FakeEngine::with_settings(settings);
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let base = TestSetup::new();
    let agent = base.start_agent("vault-a-1", "engine", address, extra);
    let entry = base.start_peer(PeerRole::Entry, "entry-1");
    EngineSetup {
        base,
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

/// Creates an order under a lease. `number` determines the ID of the order.
pub fn order(lease: &str, number: u8, fence: u64, kind: OrderKind) -> PeerRequest {
    PeerRequest::Order(UpstreamOrder {
        order: RequestId([number; 16]),
        lease: lease.try_into().unwrap(),
        fence,
        kind,
    })
}
