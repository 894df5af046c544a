//! Certificate names, and a development authority that issues certificates.

use {
    crate::error::WireError,
    catkindeck::{
        id::ObjectName,
        link::{PeerIdentity, PeerRole},
    },
    rcgen::{
        BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer,
        KeyPair, KeyUsagePurpose, date_time_ymd,
    },
    rustls::pki_types::CertificateDer,
    std::time::{SystemTime, UNIX_EPOCH},
    webpki::EndEntityCert,
};

/// The suffix of the DNS name in every certificate.
pub const NAME_SUFFIX: &str = "catkindeck.internal";

/// The validity of a development certificate, in years.
const VALID_YEARS: i32 = 3;

/// The length of a mean year, in seconds.
const YEAR_SECONDS: u64 = 31_556_952;

/// A certificate authority for development and tests.
///
/// Its private key is stored unencrypted, so it must not be used in production.
pub struct DevelopmentAuthority {
    issuer: Issuer<'static, KeyPair>,
    certificate_pem: String,
    key_pem: String,
}

/// A certificate and its private key, both in PEM format.
pub struct IssuedCertificate {
    pub certificate_pem: String,
    pub key_pem: String,
}

impl DevelopmentAuthority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// Returns an error of the certificate library.
    pub fn create() -> Result<Self, WireError> {
        let key = KeyPair::generate()?;
        let mut params = base_params(Vec::new())?;
        params
            .distinguished_name
            .push(DnType::CommonName, "catkindeck development authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate_pem = params.self_signed(&key)?.pem();
        let key_pem = key.serialize_pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            certificate_pem,
            key_pem,
        })
    }

    /// Opens an existing authority.
    ///
    /// # Errors
    ///
    /// Returns an error if either text is not valid PEM.
    pub fn open(certificate_pem: &str, key_pem: &str) -> Result<Self, WireError> {
        let key = KeyPair::from_pem(key_pem)?;
        Ok(Self {
            issuer: Issuer::from_ca_cert_pem(certificate_pem, key)?,
            certificate_pem: certificate_pem.to_owned(),
            key_pem: key_pem.to_owned(),
        })
    }

    /// Issues a certificate for a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the host's name does not fit into a DNS name, or an error of the
    /// certificate library.
    pub fn issue(&self, role: PeerRole, host: &ObjectName) -> Result<IssuedCertificate, WireError> {
        let key = KeyPair::generate()?;
        let mut params = base_params(vec![dns_name(role, host.as_str())])?;
        params
            .distinguished_name
            .push(DnType::CommonName, host.as_str());
        params.extended_key_usages = match role {
            // An operator's tool only makes calls and cannot impersonate a serving process.
            PeerRole::Operator => vec![ExtendedKeyUsagePurpose::ClientAuth],
            PeerRole::Entry | PeerRole::Agent => vec![
                ExtendedKeyUsagePurpose::ClientAuth,
                ExtendedKeyUsagePurpose::ServerAuth,
            ],
        };
        let certificate = params.signed_by(&key, &self.issuer)?;
        // A host name may be too long for a DNS label, which otherwise only peers would detect.
        read_identity(certificate.der())?;
        Ok(IssuedCertificate {
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        })
    }

    /// Returns the authority's certificate in PEM format.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the authority's private key in PEM format.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }
}

/// Returns the name of a role as used in a certificate's DNS name.
pub fn role_name(role: PeerRole) -> &'static str {
    match role {
        PeerRole::Entry => "entry",
        PeerRole::Agent => "agent",
        PeerRole::Operator => "operator",
    }
}

pub fn dns_name(role: PeerRole, host: &str) -> String {
    format!("{}.{host}.{NAME_SUFFIX}", role_name(role))
}

/// Reads the role and host from a certificate whose signature has been verified.
///
/// # Errors
///
/// Returns an error unless the certificate has exactly one DNS name of the expected form.
pub fn read_identity(certificate: &CertificateDer<'_>) -> Result<PeerIdentity, WireError> {
    let parsed =
        EndEntityCert::try_from(certificate).map_err(|error| WireError::Name(error.to_string()))?;
    let mut names = parsed.valid_dns_names();
    let (Some(name), None) = (names.next(), names.next()) else {
        return Err(WireError::Name("found none or more than one".to_owned()));
    };
    parse_dns_name(name)
}

/// Parses the role and host from a DNS name.
///
/// # Errors
///
/// Returns an error unless the name has the expected form.
pub fn parse_dns_name(name: &str) -> Result<PeerIdentity, WireError> {
    let invalid = || WireError::Name(format!("got `{name}`"));
    let rest = name
        .strip_suffix(NAME_SUFFIX)
        .and_then(|rest| rest.strip_suffix('.'))
        .ok_or_else(invalid)?;
    let (role, host) = rest.split_once('.').ok_or_else(invalid)?;
    let role = match role {
        "entry" => PeerRole::Entry,
        "agent" => PeerRole::Agent,
        "operator" => PeerRole::Operator,
        _ => return Err(invalid()),
    };
    let host = ObjectName::try_from(host).map_err(|_| invalid())?;
    Ok(PeerIdentity {
        role,
        host: host.into(),
    })
}

fn base_params(names: Vec<String>) -> Result<CertificateParams, WireError> {
    let mut params = CertificateParams::new(names)?;
    params.distinguished_name = rcgen::DistinguishedName::new();
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let year = 1970 + i32::try_from(elapsed.as_secs() / YEAR_SECONDS).unwrap_or_default();
    params.not_before = date_time_ymd(year - 1, 1, 1);
    params.not_after = date_time_ymd(year + VALID_YEARS, 1, 1);
    Ok(params)
}
