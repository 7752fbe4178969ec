"""Loads and reloads the key and certificates with which nodes authenticate to each other."""

import logging
import os
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import grpc
from cryptography import x509
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PublicFormat,
    load_pem_private_key,
)

from tanagerworks.errors import TlsError
from tanagerworks.settings.agent import PeerTlsSettings

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class KeyMaterial:
    """Matching key and certificates in PEM, and the end of the certificate's validity."""

    key: bytes
    chain: bytes
    authorities: bytes
    expires_at: datetime


def load_key_material(settings: PeerTlsSettings) -> KeyMaterial:
    """Returns the contents of the files named in the settings, after checking them.

    Raises:
        TlsError: a file cannot be read or parsed, key and certificate do not match, or the
            certificate has expired.
    """
    key = _read_file(settings.key_file)
    chain = _read_file(settings.certificate_file)
    authorities = _read_file(settings.ca_file)
    try:
        public_key = load_pem_private_key(key, password=None).public_key()
    except (TypeError, ValueError) as error:
        raise TlsError(settings.key_file, "contains no unencrypted private key in PEM") from error
    certificate = _parse_certificates(settings.certificate_file, chain)[0]
    _parse_certificates(settings.ca_file, authorities)
    encoding = (Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    if certificate.public_key().public_bytes(*encoding) != public_key.public_bytes(*encoding):
        raise TlsError(settings.certificate_file, f"does not belong to {settings.key_file}")
    expires_at = certificate.not_valid_after_utc
    if expires_at <= datetime.now(UTC):
        raise TlsError(settings.certificate_file, f"expired at {expires_at.isoformat()}")
    return KeyMaterial(key, chain, authorities, expires_at)


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise TlsError(path, f"cannot be read: {error.strerror}") from error


def _parse_certificates(path: str, content: bytes) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(content)
    except ValueError as error:
        raise TlsError(path, "contains no certificate in PEM") from error


class PeerCredentials:
    """The key material in use, reloaded when the files change.

    `generation` increases with each change, so that owners of connections can renew them. Files
    are replaced one after the other; while they do not match, a warning is logged and the previous
    material stays in use. The constructor raises TlsError if the files cannot be loaded.
    """

    def __init__(self, settings: PeerTlsSettings) -> None:
        self.settings = settings
        self.loaded_file_state = self._read_file_state()
        self.material = load_key_material(settings)
        self.generation = 1

    def reload_if_changed(self) -> bool:
        """Reads the files again if one of them changed; returns whether the material did."""
        file_state = self._read_file_state()
        if file_state == self.loaded_file_state:
            return False
        try:
            material = load_key_material(self.settings)
        except TlsError as error:
            _LOGGER.warning(
                "cannot load the new key material; the previous material stays in use",
                extra={"file": error.file, "error": error.message},
            )
            return False
        self.loaded_file_state = file_state
        if material == self.material:
            return False
        self.material = material
        self.generation += 1
        _LOGGER.info("key material changed", extra={"expires_at": material.expires_at.isoformat()})
        return True

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Returns the credentials for a new connection to a peer."""
        return grpc.ssl_channel_credentials(
            self.material.authorities, self.material.key, self.material.chain
        )

    def server_credentials(self) -> grpc.ServerCredentials:
        """Returns server credentials that use the current material at each handshake."""
        served_generation = self.generation

        def fetch_if_changed() -> grpc.ServerCertificateConfiguration | None:
            nonlocal served_generation
            if served_generation == self.generation:
                return None
            served_generation = self.generation
            return self._server_configuration()

        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(), fetch_if_changed, require_client_authentication=True
        )

    def _server_configuration(self) -> grpc.ServerCertificateConfiguration:
        return grpc.ssl_server_certificate_configuration(
            [(self.material.key, self.material.chain)], self.material.authorities
        )

    def _read_file_state(self) -> tuple[tuple[int, int, int], ...]:
        files = (self.settings.key_file, self.settings.certificate_file, self.settings.ca_file)
        try:
            stats = [os.stat(path) for path in files]
        except OSError:
            return ()
        return tuple((item.st_mtime_ns, item.st_size, item.st_ino) for item in stats)
