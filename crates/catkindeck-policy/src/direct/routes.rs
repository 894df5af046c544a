//! Selection of a route by host name and path.

use {
    crate::hash,
    catkindeck::{config::RouteRecord, id::ObjectName},
    std::rc::Rc,
};

/// The routes of a configuration in look-up order.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Sorted by host, then by descending length of the prefix, so that the first match is the
    /// longest.
    routes: Vec<Rc<RouteRecord>>,
}

/// A matched route and the service that handles the request.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    pub route: Rc<RouteRecord>,
    pub service: ObjectName,
}

impl RouteTable {
    /// Creates a table of the routes that are addressed by host and path.
    pub fn new(routes: &[RouteRecord]) -> Self {
        let mut routes: Vec<Rc<RouteRecord>> = routes.iter().cloned().map(Rc::new).collect();
        routes.sort_by(|left, right| {
            let by_host = left.terms.host.cmp(&right.terms.host);
            let by_length = right.terms.prefix.len().cmp(&left.terms.prefix.len());
            by_host
                .then(by_length)
                .then_with(|| left.terms.prefix.cmp(&right.terms.prefix))
        });
        Self { routes }
    }

    /// Finds the route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteRecord>> {
        let start = self
            .routes
            .partition_point(|route| route.terms.host.as_str() < host);
        self.routes[start..]
            .iter()
            .take_while(|route| route.terms.host == host)
            .find(|route| path.starts_with(&route.terms.prefix))
    }

    pub fn find_by_name(&self, name: &ObjectName) -> Option<&Rc<RouteRecord>> {
        self.routes.iter().find(|route| route.name == *name)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Rc<RouteRecord>> {
        self.routes.iter()
    }

    /// Finds the route of a request and the service that handles it.
    ///
    /// If a route splits its traffic, the service is chosen by the hash of the request ID, so that
    /// a retry with the same ID reaches the same service.
    pub fn resolve(&self, host: &str, path: &str, request: &str) -> Option<RouteMatch> {
        let route = Rc::clone(self.find(host, path)?);
        let service = choose_service(&route, request);
        Some(RouteMatch { route, service })
    }
}

/// Splits requests among the services of a route by weight.
pub fn choose_service(route: &RouteRecord, request: &str) -> ObjectName {
    let targets = &route.terms.targets;
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return route.service.clone();
    }
    let mut rest = hash::digest64(&[request.as_bytes()]) % total;
    for target in targets {
        let weight = u64::from(target.weight);
        if rest < weight {
            return target.service.clone();
        }
        rest -= weight;
    }
    route.service.clone()
}
