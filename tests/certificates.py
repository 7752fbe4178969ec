"""Authorities and certificates for tests."""

from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from tanagerworks.settings.agent import PeerTlsSettings

NODE_NAME = "peer.tanagerworks.internal"


def _pem(key):
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


class Authority:
    """A certificate authority; `issue` returns (key, certificate) in PEM."""

    def __init__(self, name="fleet authority"):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self.name, self.key, 365, authority=True)
        self.pem = self.certificate.public_bytes(serialization.Encoding.PEM)

    def _sign(self, subject, key, days, names=(), authority=False):
        now = datetime.now(UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(days=30))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
        )
        if names:
            alternatives = x509.SubjectAlternativeName([x509.DNSName(name) for name in names])
            builder = builder.add_extension(alternatives, critical=False)
        return builder.sign(self.key, hashes.SHA256())

    def issue(self, name=NODE_NAME, days=30):
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "node")])
        certificate = self._sign(subject, key, days, [name])
        return _pem(key), certificate.public_bytes(serialization.Encoding.PEM)


def write_files(directory, issued, authorities):
    """Writes key, certificate and authorities; returns the settings that name them."""
    directory.mkdir(exist_ok=True)
    key, certificate = issued
    (directory / "key.pem").write_bytes(key)
    (directory / "certificate.pem").write_bytes(certificate)
    (directory / "ca.pem").write_bytes(b"".join(authority.pem for authority in authorities))
    return PeerTlsSettings(
        key_file=str(directory / "key.pem"),
        certificate_file=str(directory / "certificate.pem"),
        ca_file=str(directory / "ca.pem"),
    )
