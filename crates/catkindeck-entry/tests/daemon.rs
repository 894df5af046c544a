//! Tests of complete entries over loopback, with fakes of the platform's store and host list.

use {
    catkindeck::{
        Clock, ServiceKernel,
        id::{KeyDigest, ObjectName},
        link::PeerRole,
        log::discard_logger,
        settings::SettingsText,
        time::SystemClock,
    },
    catkindeck_control::{
        intent::{DeclarationText, IntentUpdate},
        source::{CONFIG_SOURCE, ConfigSource},
    },
    catkindeck_entry::{
        daemon::{EntryDaemon, MeteredForwarder, open_peer_endpoint},
        platform::{register_platform, start_platform},
        settings::{ConfigOrigin, EntrySettings},
    },
    catkindeck_fakes::{fault::FakeServer, hosts::FakeHostList, store::FakeStore},
    catkindeck_wire::DevelopmentAuthority,
    serde_json::{Value, json},
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::Path,
        sync::Arc,
        thread,
        time::Duration,
    },
    tempfile::TempDir,
};

const OPERATOR_KEY: &str = "operator-key";
const CALLER_KEY: &str = "ck-archive-1";

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// The platform's fakes, and a certificate authority.
struct FakePlatform {
    directory: TempDir,
    authority: DevelopmentAuthority,
    store: SocketAddr,
    hosts: SocketAddr,
    hosts_control: SocketAddr,
}

struct RunningEntry {
    callers: SocketAddr,
    health: SocketAddr,
    admin: SocketAddr,
}

impl FakePlatform {
    fn start() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let spawn = |mode, control| {
            let server = FakeServer::new(mode);
            server.spawn(any, control).expect("a fake server")
        };
        let hosts_control = free_address();
        let directory = tempfile::tempdir().expect("a directory");
        let authority = DevelopmentAuthority::create().expect("an authority");
        fs::write(
            directory.path().join("authority.pem"),
            authority.certificate_pem(),
        )
        .expect("written");
        Self {
            directory,
            authority,
            store: spawn(Box::<FakeStore>::default(), None),
            hosts: spawn(Box::<FakeHostList>::default(), Some(hosts_control)),
            hosts_control,
        }
    }

    fn list_entries(&self, entries: &[(&str, SocketAddr)]) {
        let hosts: Vec<Value> = entries
            .iter()
            .map(|(host, address)| {
                json!({"host": host, "zone": "vault-a", "address": address,
                       "role": "entry", "state": "live"})
            })
            .collect();
        let url = format!("http://{}/control/hosts", self.hosts_control);
        ureq::post(url)
            .send_json(json!({"hosts": hosts}))
            .expect("set");
    }

    fn start_entry(&self, host: &str, peer: SocketAddr) -> RunningEntry {
        let name = ObjectName::try_from(host).expect("a name");
        let issued = self
            .authority
            .issue(PeerRole::Entry, &name)
            .expect("a certificate");
        let path = |suffix: &str| self.directory.path().join(format!("{host}.{suffix}"));
        fs::write(path("pem"), issued.certificate_pem).expect("written");
        fs::write(path("key"), issued.key_pem).expect("written");
        let text = self.settings(host, peer);
        let settings = EntrySettings::load(&SettingsText::new("entry.toml", &text));
        let settings = settings.expect("valid settings");
        let (sender, receiver) = crossbeam::channel::bounded(1);
        let admin = settings.admin_listen.expect("an admin address");
        thread::spawn(move || {
            let daemon = start_daemon(&settings);
            let addresses = (daemon.caller_address(), daemon.health_address());
            sender.send(addresses).expect("the test waits");
            daemon.run();
        });
        let (callers, health) = receiver.recv().expect("the entry starts");
        RunningEntry {
            callers,
            health,
            admin,
        }
    }

    fn settings(&self, host: &str, peer: SocketAddr) -> String {
        let file = |name: &str| {
            Path::join(self.directory.path(), name)
                .display()
                .to_string()
        };
        format!(
            "caller_listen = \"127.0.0.1:0\"\nadmin_listen = \"{}\"\n\
             operator_digests = [\"{}\"]\n\
             [platform.store]\naddress = \"{}\"\n[platform.hosts]\naddress = \"{}\"\n\
             [process]\nhost = \"{host}\"\nzone = \"vault-a\"\npeer_listen = \"{peer}\"\n\
             health_listen = \"127.0.0.1:0\"\n[process.tls]\nauthority = \"{}\"\n\
             certificate = \"{}\"\nkey = \"{}\"\n",
            free_address(),
            KeyDigest::of(OPERATOR_KEY),
            self.store,
            self.hosts,
            file("authority.pem"),
            file(&format!("{host}.pem")),
            file(&format!("{host}.key")),
        )
    }
}

fn start_daemon(settings: &EntrySettings) -> EntryDaemon {
    let logger = discard_logger();
    let kernel = ServiceKernel::new();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let ConfigOrigin::Platform(platform) = &settings.origin else {
        panic!("the platform is set");
    };
    register_platform(&kernel, settings, platform, &clock, &logger).expect("registered");
    let source = kernel
        .find::<dyn ConfigSource>(CONFIG_SOURCE)
        .expect("found");
    let endpoint = open_peer_endpoint(settings, source, logger.clone()).expect("opened");
    let link = endpoint.link();
    start_platform(&kernel, settings, &link, &clock, &logger).expect("started");
    let metered_forwarder =
        MeteredForwarder::build(settings, &kernel, link, clock, &logger).expect("built");
    EntryDaemon::start(settings, &kernel, endpoint, metered_forwarder, &logger).expect("started")
}

fn call(request: http::request::Builder, body: String) -> (u16, String) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(30)))
        .build()
        .into();
    let request = request.body(body).expect("a request");
    let mut response = agent.run(request).expect("a response");
    let body = response.body_mut().read_to_string().expect("a text");
    (response.status().as_u16(), body)
}

fn get(address: SocketAddr, path: &str, key: &str) -> (u16, String) {
    let request = http::Request::get(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {key}"));
    call(request, String::new())
}

fn post_intent(entry: &RunningEntry, path: &str, body: &Value) -> Value {
    let request = http::Request::post(format!("http://{}{path}", entry.admin))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"));
    let (status, response_body) = call(request, body.to_string());
    assert!(status < 300, "{path}: {status} {response_body}");
    serde_json::from_str(&response_body).expect("JSON")
}

/// Applies declarations through an entry's admin address, as the operator command does.
fn apply(entry: &RunningEntry, keys: &str) -> Value {
    let text = format!(
        "[[customers]]\nname = \"archive\"\n{keys}\
         [[services]]\nname = \"desk\"\nkind = \"plain\"\nwarm_limit = 4\ncold_start_ms = 1000\n\
         [[routes]]\nname = \"desk\"\nservice = \"desk\"\n\
         [[zones]]\nname = \"vault-a\"\nregion = \"tvm\"\n\
         [[upstreams]]\nname = \"desk-1\"\nservice = \"desk\"\nzone = \"vault-a\"\n\
         agent = \"127.0.0.1:9\"\n"
    );
    let statement = IntentUpdate::Declarations(vec![DeclarationText {
        file: "deck.toml".to_owned(),
        text,
    }]);
    let statement = serde_json::to_value(&statement).expect("JSON");
    let plan = post_intent(entry, "/v1/intent/plan", &statement);
    let apply = json!({"statement": statement, "plan": plan["id"], "accept_shortfall": true});
    post_intent(entry, "/v1/intent/apply", &apply)
}

fn wait_until(description: &str, condition: impl Fn() -> bool) {
    for _ in 0..600 {
        if condition() {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting until: {description}");
}

/// Guards against an entry that accepts keys before it has a configuration, and against a change
/// that is accepted by one entry and does not reach the other (G6, G16).
#[test]
fn declared_and_revoked_keys_reach_every_entry() {
    let platform = FakePlatform::start();
    let peers = [free_address(), free_address()];
    platform.list_entries(&[("entry-1", peers[0]), ("entry-2", peers[1])]);
    let entries = [
        platform.start_entry("entry-1", peers[0]),
        platform.start_entry("entry-2", peers[1]),
    ];
    for entry in &entries {
        assert_eq!(get(entry.health, "/healthz", "").0, 200);
        assert_eq!(get(entry.health, "/readyz", "").0, 503);
    }

    let digest = KeyDigest::of(CALLER_KEY);
    let key = format!("[[keys]]\nlabel = \"a\"\ncustomer = \"archive\"\ndigest = \"{digest}\"\n");
    let outcome = apply(&entries[0], &key);
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    for entry in &entries {
        wait_until("the entry is ready", || {
            get(entry.health, "/readyz", "").0 == 200
        });
        // The key is known, but nothing listens at the address of the only upstream's agent.
        let (status, body) = get(entry.callers, "/r/desk/x", CALLER_KEY);
        assert!(
            status != 401 && body.contains("\"not_run\""),
            "{status} {body}"
        );
        assert_eq!(get(entry.callers, "/r/desk/x", "other").0, 401);
    }

    let outcome = apply(
        &entries[1],
        &key.replace("digest", "revoked = true\ndigest"),
    );
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    for entry in &entries {
        assert_eq!(get(entry.callers, "/r/desk/x", CALLER_KEY).0, 401);
    }
}
