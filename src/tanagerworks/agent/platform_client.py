"""Reads the platform's configuration service and VM list over HTTP."""

from dataclasses import dataclass

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from tanagerworks.errors import PlatformError

_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304
_HTTP_NOT_FOUND = 404


@dataclass(frozen=True)
class PlatformValue:
    """A value of the configuration service under its revision."""

    revision: str
    content: bytes


class PlatformClient:
    """Client of the platform; safe to use from several threads."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.pool = PoolManager(retries=False)

    def read(self, key: str, after: str | None = None, wait_s: float = 0.0) -> PlatformValue | None:
        """Returns the value of `key`, or None if there is none or none newer than `after`.

        With `wait_s` the call waits that long for a change.

        Raises:
            PlatformError: the platform did not answer, or not with a value.
        """
        fields = {}
        if after is not None:
            fields = {"after": after, "wait_s": str(wait_s)}
        timeout = Timeout(connect=self.timeout_s, read=self.timeout_s + wait_s)
        try:
            answer = self.pool.request(
                "GET",
                f"{self.url}/v1/values/{key}",
                fields=fields,
                timeout=timeout,
                redirect=False,
            )
        except HTTPError as error:
            raise PlatformError(f"configuration service: {type(error).__name__}") from error
        if answer.status in (_HTTP_NOT_MODIFIED, _HTTP_NOT_FOUND):
            return None
        if answer.status != _HTTP_OK:
            raise PlatformError(f"configuration service answered {answer.status}")
        return PlatformValue(answer.headers.get("ETag", ""), answer.data)
