"""Reads the platform's configuration service and VM list over HTTP."""

from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, ValidationError
from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import HTTPError

from tanagerworks.errors import PlatformError
from tanagerworks.note.model import MAX_NOTE_BYTES

_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304
_HTTP_NOT_FOUND = 404
# Watches of both keys, reads of the VM list and refreshes run at the same time.
_MAX_CONNECTIONS = 8


@dataclass(frozen=True)
class PlatformValue:
    """A value of the configuration service and its revision."""

    revision: str
    content: bytes


class _VmList(BaseModel):
    vms: dict[str, Literal["live", "leaving"]]


class PlatformClient:
    """HTTP client of the platform; thread-safe.

    `reader` is the name that identifies this node to the platform.
    """

    def __init__(self, url: str, timeout_s: float, reader: str = "") -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.pool = PoolManager(
            maxsize=_MAX_CONNECTIONS, retries=False, headers={"X-Reader": reader}
        )

    def read_value(
        self, key: str, after: str | None = None, wait_s: float = 0.0
    ) -> PlatformValue | None:
        """Returns the value of `key`, or None if there is none or none newer than `after`.

        With `wait_s` the call waits up to that long for a change.

        Raises:
            PlatformError: the platform did not answer, or the answer is not a value.
        """
        fields = {"wait_s": str(wait_s)} if wait_s else {}
        if after is not None:
            fields["after"] = after
        response = self._get(f"/v1/values/{key}", fields, wait_s)
        if response.status in (_HTTP_NOT_MODIFIED, _HTTP_NOT_FOUND):
            response.drain_conn()
            return None
        content = self._read_content(response)
        return PlatformValue(response.headers.get("ETag", ""), content)

    def read_vms(self) -> dict[str, str]:
        """Returns ``live`` or ``leaving`` by the name of an engine or service server in the note.

        The state of a missing name is unknown. The list lags behind the actual states.

        Raises:
            PlatformError: the platform did not answer, or the answer is not a VM list.
        """
        content = self._read_content(self._get("/v1/vms", {}, 0.0))
        try:
            return dict(_VmList.model_validate_json(content).vms)
        except ValidationError as error:
            raise PlatformError("the VM list has a wrong format") from error

    def _get(self, path: str, fields: dict[str, str], wait_s: float) -> BaseHTTPResponse:
        timeout = Timeout(connect=self.timeout_s, read=self.timeout_s + wait_s)
        try:
            return self.pool.request(
                "GET",
                self.url + path,
                fields=fields,
                timeout=timeout,
                redirect=False,
                preload_content=False,
            )
        except HTTPError as error:
            raise PlatformError(f"platform: {type(error).__name__}") from error

    def _read_content(self, response: BaseHTTPResponse) -> bytes:
        try:
            # One byte above the limit reveals a value that is too long without reading all of it.
            content = response.read(MAX_NOTE_BYTES + 1)
        except HTTPError as error:
            raise PlatformError(f"platform: {type(error).__name__}") from error
        if response.status != _HTTP_OK:
            response.release_conn()
            failure = PlatformError(f"platform answered {response.status}")
            failure.retry_after_s = _parse_seconds(response.headers.get("Retry-After"))
            raise failure
        if len(content) > MAX_NOTE_BYTES:
            response.close()
            raise PlatformError(f"platform sent more than {MAX_NOTE_BYTES} bytes")
        response.release_conn()
        return content


def _parse_seconds(text: str | None) -> float | None:
    return float(text) if text is not None and text.isdecimal() else None
