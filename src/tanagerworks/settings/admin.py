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
    """An administration key; the settings hold only the SHA-256 of the bearer key.

    Two digests are given while the key is rotated.
    """

    sha256: tuple[Sha256Hex, ...] = Field(min_length=1, max_length=2)
    role: Role


class AdminSettings(SettingsModel):
    """Keys, TLS files and limits of the administration port.

    Without keys every call to ``/admin/v1`` is refused. Without certificate files the port speaks
    plain HTTP.
    """

    keys: dict[Name, AdminKey] = {}
    certificate_file: str | None = None
    private_key_file: str | None = None
    threads: int = Field(default=8, ge=2)
    max_body_bytes: int = Field(default=65_536, ge=1024)
    # Calls that may wait for events at the same time; the other threads stay free for answers.
    max_followers: int = Field(default=4, ge=1)
    max_wait_s: float = Field(default=30.0, gt=0)
    # Longest time that the agent's event loop may take for one call.
    call_timeout_s: float = Field(default=2.0, gt=0)
    audit_records: int = Field(default=2048, ge=16)

    @model_validator(mode="after")
    def _files_and_threads_fit(self) -> "AdminSettings":
        if (self.certificate_file is None) != (self.private_key_file is None):
            raise ValueError("certificate_file and private_key_file are given together or not")
        if self.max_followers >= self.threads:
            raise ValueError("max_followers must be below threads")
        digests = [digest for key in self.keys.values() for digest in key.sha256]
        if len(set(digests)) != len(digests):
            raise ValueError("keys: the same sha256 stands under two names")
        return self
