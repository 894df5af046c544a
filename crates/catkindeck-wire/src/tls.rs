//! TLS configurations in which both sides prove their role and host.

use {
    crate::{
        certificate::{dns_name, read_identity},
        error::WireError,
    },
    catkindeck::{
        link::{PeerIdentity, PeerRole},
        process::RawTls,
    },
    quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rustls::{
        CertificateError, ClientConfig, DigitallySignedStruct, Error, RootCertStore, ServerConfig,
        SignatureScheme,
        client::{
            WebPkiServerVerifier,
            danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
        },
        crypto::{CryptoProvider, ring},
        pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime, pem::PemObject},
        server::WebPkiClientVerifier,
        version::TLS13,
    },
    std::{path::Path, sync::Arc},
};

/// The ALPN protocol name, which changes with every incompatible change of the messages.
const PROTOCOL: &[u8] = b"catkindeck/1";

/// The TLS configurations and identity built from the PEM files.
pub struct TlsConfigs {
    /// The configuration for accepted connections.
    pub server: Arc<QuicServerConfig>,
    /// The configuration for opened connections.
    pub client: Arc<QuicClientConfig>,
    /// The identity of this process.
    pub identity: PeerIdentity,
    /// A secret derived from the private key, which stays the same when the process restarts.
    pub reset_secret: [u8; 32],
}

/// Reads the PEM files and builds both configurations.
pub fn load(files: &RawTls) -> Result<TlsConfigs, WireError> {
    let provider = Arc::new(ring::default_provider());
    let chain = read_certificates(&files.certificate, "a certificate")?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|error| pem_error(&files.key, "a private key", &error))?;
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(&files.authority, "the authority's certificate")? {
        roots.add(certificate).map_err(tls_error)?;
    }
    let roots = Arc::new(roots);
    let first = chain
        .first()
        .ok_or_else(|| WireError::Tls("the certificate file is empty".to_owned()))?;
    let identity = read_identity(first)?;
    let reset_secret = blake3::derive_key("catkindeck 2026 stateless reset", key.secret_der());

    // Configure accepted connections.
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(tls_error)?;
    let mut server = ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(tls_error)?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];

    // Configure opened connections.
    let verifier = RoleVerifier {
        inner: WebPkiServerVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .map_err(tls_error)?,
        provider: provider.clone(),
    };
    let mut client = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(tls_error)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(verifier))
        .with_client_auth_cert(chain, key)
        .map_err(tls_error)?;
    client.alpn_protocols = vec![PROTOCOL.to_vec()];

    Ok(TlsConfigs {
        server: Arc::new(QuicServerConfig::try_from(server).map_err(tls_error)?),
        client: Arc::new(QuicClientConfig::try_from(client).map_err(tls_error)?),
        identity,
        reset_secret,
    })
}

/// Verifies a server's certificate against the name that the certificate itself contains.
///
/// Peers are called by address, and the host behind an address may change, so no particular name
/// can be expected. The check ensures that the authority issued the certificate to an entry or an
/// agent.
#[derive(Debug)]
struct RoleVerifier {
    inner: Arc<WebPkiServerVerifier>,
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for RoleVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let rejected = || Error::InvalidCertificate(CertificateError::NotValidForName);
        let identity = read_identity(end_entity).map_err(|_| rejected())?;
        if identity.role == PeerRole::Operator {
            return Err(rejected());
        }
        let name = ServerName::try_from(dns_name(identity.role, &identity.host))
            .map_err(|_| rejected())?;
        self.inner
            .verify_server_cert(end_entity, intermediates, &name, ocsp_response, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner
            .verify_tls12_signature(message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner
            .verify_tls13_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}

fn read_certificates(
    path: &Path,
    expected: &'static str,
) -> Result<Vec<CertificateDer<'static>>, WireError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| pem_error(path, expected, &error))
}

fn pem_error(
    path: &Path,
    expected: &'static str,
    error: &rustls::pki_types::pem::Error,
) -> WireError {
    WireError::Pem {
        path: path.to_owned(),
        expected,
        reason: error.to_string(),
    }
}

fn tls_error(error: impl std::fmt::Display) -> WireError {
    WireError::Tls(error.to_string())
}
