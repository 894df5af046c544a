//! The micro-kernel, a registry in which the services of a process are found by name.

use {
    crate::{ErrorKind, ServiceError, SortedMap},
    std::{
        any::{Any, type_name},
        sync::{Arc, RwLock},
    },
};

/// A registry through which the services of one process find each other by name.
///
/// A service is registered as an `Arc` of a trait object, so that a test can register a substitute
/// under the same name (`docs/design.md`, section 4).
#[derive(Default)]
pub struct ServiceKernel {
    services: RwLock<SortedMap<&'static str, Box<dyn Any + Send + Sync>>>,
}

impl ServiceKernel {
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers `service` under `name`.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the name is taken, because two services under one name would make the
    /// result depend on the order of registration.
    pub fn register<T>(&self, name: &'static str, service: Arc<T>) -> Result<(), ServiceError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        let mut services = self
            .services
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        if services.contains_key(&name) {
            return Err(ServiceError::not_run(
                ErrorKind::Internal,
                format!("service {name} is already registered"),
            ));
        }
        services.insert(name, Box::new(service));
        Ok(())
    }

    /// Returns the service registered under `name`.
    ///
    /// # Errors
    ///
    /// Returns `internal` if no service has that name or if it has another type.
    pub fn find<T>(&self, name: &'static str) -> Result<Arc<T>, ServiceError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        let services = self
            .services
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        let service = services
            .get(&name)
            .and_then(|service| service.downcast_ref::<Arc<T>>());
        service.cloned().ok_or_else(|| {
            let expected = type_name::<T>();
            ServiceError::not_run(
                ErrorKind::Internal,
                format!("no service {name} of type {expected} is registered"),
            )
        })
    }
}
