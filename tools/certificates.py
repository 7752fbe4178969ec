"""Certificate authorities and node certificates for tests and measurements."""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from tanagerworks.settings.agent import PeerTlsSettings

NODE_NAME = "peer.tanagerworks.internal"

KeyAndCertificate = tuple[bytes, bytes]


def _pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


class CertificateAuthority:
    """A certificate authority with a self-signed certificate."""

    def __init__(self, name: str = "fleet authority") -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self.name, self.key, 365, authority=True)
        self.pem = self.certificate.public_bytes(serialization.Encoding.PEM)

    def _sign(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        days: int,
        names: Iterable[str] = (),
        authority: bool = False,
    ) -> x509.Certificate:
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
        dns_names = [x509.DNSName(name) for name in names]
        if dns_names:
            alternatives = x509.SubjectAlternativeName(dns_names)
            builder = builder.add_extension(alternatives, critical=False)
        return builder.sign(self.key, hashes.SHA256())

    def issue_certificate(self, name: str = NODE_NAME, days: int = 30) -> KeyAndCertificate:
        """Returns a private key and its certificate in PEM.

        The certificate is valid for `days`; a negative number gives an expired one.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "node")])
        certificate = self._sign(subject, key, days, [name])
        return _pem(key), certificate.public_bytes(serialization.Encoding.PEM)


def write_tls_files(
    directory: Path, issued: KeyAndCertificate, authorities: Iterable[CertificateAuthority]
) -> PeerTlsSettings:
    """Writes key, certificate and authorities as PEM files; returns settings with their paths."""
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
