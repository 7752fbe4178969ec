"""Client of the administration ports of agents."""

import os
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar
from urllib.parse import urlencode

from pydantic import BaseModel, ValidationError
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from tanagerworks.agent.admin_models import ActionRequest, ErrorReport
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.errors import RequestError, TanagerError
from tanagerworks.rpc.route_models import RouteAnswer, RouteQuestion

KEY_VARIABLE = "TANAGERCTL_KEY"
_HTTP_OK = 200
_MAX_WORKERS = 16
# The status of a fleet of 350 nodes and 710 engines is smaller than this.
_MAX_ANSWER_BYTES = 8_000_000

ModelT = TypeVar("ModelT", bound=BaseModel)
ResultT = TypeVar("ResultT")


class KeyMissingError(RequestError):
    """No administration key was given."""

    code = "key_missing"


class NodeUnreachableError(TanagerError):
    """A node gave no answer, or one that is not a document of the published schema."""

    code = "node_unreachable"


class NodeRefusedError(TanagerError):
    """A node refused a call; `node_code` is the stable code in its answer."""

    code = "node_refused"

    def __init__(self, message: str, node_code: str) -> None:
        super().__init__(message)
        self.node_code = node_code


def read_key(path: str | None) -> str:
    """Returns the administration key from a file or, without a path, from the environment.

    Raises:
        KeyMissingError: the key is missing or the file cannot be read.
    """
    if path is not None:
        try:
            key = Path(path).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise KeyMissingError(f"cannot read the key file {path}") from error
    else:
        key = os.environ.get(KEY_VARIABLE, "").strip()
    if not key:
        raise KeyMissingError(
            f"give a key with --key_file or in the environment variable {KEY_VARIABLE}"
        )
    return key


@dataclass(frozen=True)
class NodeFailure:
    """The reason why a node gave no usable answer."""

    address: str
    code: str
    message: str

    @property
    def exit_status(self) -> ExitStatus:
        """Exit status that this failure leads to."""
        if self.code == NodeUnreachableError.code:
            return ExitStatus.PARTIAL
        return ExitStatus.REFUSED


@dataclass(frozen=True)
class GatheredAnswers(Generic[ResultT]):
    """Answers by address, and the failures of the nodes that gave none."""

    answers: Mapping[str, ResultT]
    failures: Sequence[NodeFailure]

    def exit_status(self, finding: bool = False) -> ExitStatus:
        """Returns the exit status for these answers."""
        status = ExitStatus.FINDING if finding else ExitStatus.OK
        for failure in self.failures:
            status = max(status, failure.exit_status)
        if status is ExitStatus.PARTIAL and not self.answers:
            return ExitStatus.UNREACHABLE
        return status


class AdminClient:
    """Client of administration ports; thread-safe."""

    def __init__(self, key: str, timeout_s: float, ca_file: str | None = None) -> None:
        self.scheme = "https" if ca_file else "http"
        self.timeout_s = timeout_s
        self.headers = {"Authorization": f"Bearer {key}"}
        if ca_file:
            self.pool = PoolManager(retries=False, ca_certs=ca_file, cert_reqs="CERT_REQUIRED")
        else:
            self.pool = PoolManager(retries=False)

    def get(
        self,
        address: str,
        path: str,
        model: type[ModelT],
        query: Mapping[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> ModelT:
        """Returns the document at `path` of one node.

        Raises:
            NodeUnreachableError: no answer, or one that `model` does not accept.
            NodeRefusedError: the node refused the call.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        return self._call("GET", address, target, model, None, wait_s)

    def post_action(self, address: str, path: str, model: type[ModelT], reason: str) -> ModelT:
        """Sends an action with its reason to one node; raises the errors of `get`."""
        body = ActionRequest(reason=reason).model_dump_json().encode()
        return self._call("POST", address, path, model, body, 0.0)

    def ask_route(self, address: str, question: RouteQuestion) -> RouteAnswer:
        """Asks an edge process where a request would go; raises the errors of `get`."""
        body = question.model_dump_json().encode()
        return self._call("POST", address, "route", RouteAnswer, body, 0.0, prefix="")

    def _call(
        self,
        method: str,
        address: str,
        target: str,
        model: type[ModelT],
        body: bytes | None,
        wait_s: float,
        prefix: str = "admin/v1/",
    ) -> ModelT:
        timeout = Timeout(connect=self.timeout_s, read=self.timeout_s + wait_s)
        url = f"{self.scheme}://{address}/{prefix}{target}"
        try:
            answer = self.pool.request(
                method,
                url,
                body=body,
                headers=self.headers,
                timeout=timeout,
                redirect=False,
                preload_content=False,
            )
            data = answer.read(_MAX_ANSWER_BYTES)
            answer.release_conn()
        except HTTPError as error:
            raise NodeUnreachableError(f"no answer: {type(error).__name__}") from error
        try:
            if answer.status != _HTTP_OK:
                detail = ErrorReport.model_validate_json(data).error
                raise NodeRefusedError(f"{detail.code}: {detail.message}", detail.code)
            return model.model_validate_json(data)
        except ValidationError as error:
            message = f"status {answer.status} without a document of the published schema"
            raise NodeUnreachableError(message) from error


def gather_answers(
    addresses: Sequence[str], call: Callable[[str], ResultT]
) -> GatheredAnswers[ResultT]:
    """Runs `call` for all addresses in parallel; returns the answers and failures."""
    answers: dict[str, ResultT] = {}
    failures: list[NodeFailure] = []
    with ThreadPoolExecutor(max_workers=_MAX_WORKERS) as workers:
        pending = {address: workers.submit(call, address) for address in addresses}
        for address, future in pending.items():
            try:
                answers[address] = future.result()
            except TanagerError as error:
                failures.append(NodeFailure(address, error.code, error.message))
    return GatheredAnswers(answers, failures)
