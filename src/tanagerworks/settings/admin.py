"""Settings of the administration port."""

from enum import Enum

from pydantic import Field, model_validator

from tanagerworks.fields import Name
from tanagerworks.note.model import Sha256Hex
from tanagerworks.settings.loader import SettingsModel


class Role(Enum):
    """What an administration key allows; `act` includes `read`."""

    READ = "read"
    ACT = "act"


class AdminKey(SettingsModel):
    """An administration key, given as the SHA-256 digest of the bearer key.

    During a rotation both the old and the new key are valid, so there are two digests.
    """

    sha256: tuple[Sha256Hex, ...] = Field(min_length=1, max_length=2)
    role: Role


class AdminSettings(SettingsModel):
    """Keys, TLS files and limits of the administration port.

    Without keys every call to ``/admin/v1`` is refused. Without certificate files the port serves
    plain HTTP.
    """

    keys: dict[Name, AdminKey] = {}
    certificate_file: str | None = None
    private_key_file: str | None = None
    threads: int = Field(default=8, ge=2)
    max_body_bytes: int = Field(default=65_536, ge=1024)
    # Calls that may wait for events at the same time; the other threads serve all other calls.
    max_followers: int = Field(default=4, ge=1)
    # Longest time that one call may wait for events.
    max_wait_s: float = Field(default=30.0, gt=0)
    # Timeout of one call in the agent's event loop.
    call_timeout_s: float = Field(default=2.0, gt=0)
    # Audit records that are kept in memory.
    audit_records: int = Field(default=2048, ge=16)

    @model_validator(mode="after")
    def _check_files_threads_and_keys(self) -> "AdminSettings":
        if (self.certificate_file is None) != (self.private_key_file is None):
            raise ValueError("certificate_file and private_key_file must be set together")
        if self.max_followers >= self.threads:
            raise ValueError("max_followers must be below threads")
        digests = [digest for key in self.keys.values() for digest in key.sha256]
        if len(set(digests)) != len(digests):
            raise ValueError("keys: the same sha256 is listed twice")
        return self
