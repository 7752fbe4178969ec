"""Callers that run chats: each turn sends the whole history and pauses after the answer."""

import asyncio
import json
import random
import time
from typing import Any

from tanagerworks.load.http_client import Call, CallBrokenError, CallNotSentError
from tanagerworks.load.report import ObservedOutcome
from tanagerworks.load.run import NOT_CONNECTED, Attempt, LoadRun, parse_error_response
from tanagerworks.load.settings import ChatLoad
from tanagerworks.standin.answers import expected_answer

_WORDS = ("wax", "coarse", "winter", "club", "league", "delivery", "tin", "court", "glide", "dust")
_SLOW_READER_PAUSE_S = 0.1
_HTTP_OK = 200


class AnswerChecker:
    """Compares an answer with the expected text as its pieces arrive."""

    def __init__(self, expected: str) -> None:
        self.expected = expected
        self.received = ""
        self.answer_id: str | None = None
        self.wrong = False

    def add_piece(self, answer_id: str, text: str) -> None:
        """Checks and appends the next piece of the answer; all pieces must have the same id."""
        if self.answer_id is None:
            self.answer_id = answer_id
        self.wrong = self.wrong or answer_id != self.answer_id
        self.received += text
        self.wrong = self.wrong or not self.expected.startswith(self.received)

    def check_complete_answer(self) -> Attempt:
        """Returns the result of an answer that the server completed."""
        if self.wrong or self.received != self.expected:
            return Attempt(ObservedOutcome.WRONG, "wrong_answer")
        return Attempt(ObservedOutcome.WHOLE)

    def check_incomplete_answer(self, code: str) -> Attempt:
        """Returns the result of an answer that broke off; `code` says how."""
        return (
            Attempt(ObservedOutcome.WRONG, "wrong_answer")
            if self.wrong
            else Attempt(ObservedOutcome.UNKNOWN, code)
        )


class ChatCaller:
    """One caller that runs chats one after another.

    A surging caller belongs to a temporary surge and does not pause between turns.
    """

    def __init__(self, run: LoadRun, load: ChatLoad, number: int, surging: bool = False) -> None:
        self.run = run
        self.load = load
        self.number = number
        self.surging = surging
        self.rng = random.Random(f"{run.settings.seed}-{load.customer}-{number}-{surging}")
        self.chat_count = 0

    async def run_chats(self, until_s: float) -> None:
        """Runs chats until the run is stopped or `until_s` (monotonic clock)."""
        while not self.run.stopped.is_set() and time.monotonic() < until_s:
            await self._run_chat(until_s)

    async def _run_chat(self, until_s: float) -> None:
        self.chat_count += 1
        name = f"{self.run.settings.name}-{self.load.customer}-{self.number}-{self.chat_count}"
        if self.surging:
            name += "-surge"
        messages: list[dict[str, str]] = []
        for _turn in range(self.load.turns):
            messages.append({"role": "user", "content": self._write_prompt(name)})
            if not await self._request_answer(messages, name):
                return
            answer = expected_answer(messages, self.load.max_tokens)
            messages.append({"role": "assistant", "content": answer})
            if not self.surging:
                await self.run.sleep_unless_stopped(self.load.pause_s * self.rng.uniform(0.5, 1.5))
            if self.run.stopped.is_set() or time.monotonic() >= until_s:
                return

    def _write_prompt(self, name: str) -> str:
        words = self.rng.choices(_WORDS, k=self.load.prompt_words)
        return f"{name}: {' '.join(words)}?"

    async def _request_answer(self, messages: list[dict[str, str]], chat_key: str) -> bool:
        """Sends the chat, with retries while it did not run.

        Returns whether the complete and correct answer arrived.
        """
        streamed = self.rng.random() < self.load.streamed_share
        kind = "chat_streamed" if streamed else "chat_whole"
        document = {
            "model": self.load.model,
            "messages": messages,
            "max_tokens": self.load.max_tokens,
            "stream": streamed,
        }
        body = json.dumps(document).encode()
        expected = expected_answer(messages, self.load.max_tokens)
        started_s = time.monotonic()
        tried: list[str] = []
        while True:
            node = self.run.balancer.choose_node(tried)
            tried.append(node)
            attempt = await self._send_attempt(
                node, body, chat_key, AnswerChecker(expected), streamed
            )
            if not attempt.retryable or not self.run.may_retry(len(tried)):
                break
            self.run.report.failed_attempts[attempt.code] += 1
            await self.run.sleep_before_retry()
        self.run.report.record_outcome(self.load.customer, kind, attempt.outcome)
        if attempt.outcome is ObservedOutcome.WHOLE:
            self.run.report.record_duration(f"{kind}_s", time.monotonic() - started_s)
            return True
        if attempt.outcome is not ObservedOutcome.DISCONNECTED:
            # Only attempts that did not run are retried, so the last attempt decides the outcome.
            self.run.record_failure(started_s, node, kind, attempt)
        if attempt.outcome is ObservedOutcome.NOT_RUN:
            self.run.report.record_duration("refusal_s", time.monotonic() - started_s)
        return False

    async def _send_attempt(
        self, node: str, body: bytes, chat_key: str, checker: AnswerChecker, streamed: bool
    ) -> Attempt:
        try:
            call = await Call.connect(node)
        except CallNotSentError:
            self.run.balancer.mark_node_down(node)
            return NOT_CONNECTED
        headers = {"Authorization": f"Bearer {self.load.key}", "X-Chat-Key": chat_key}
        try:
            async with asyncio.timeout(self.run.settings.answer_timeout_s):
                sent_s = time.monotonic()
                await call.send_request("POST", "/v1/chat/completions", headers, body)
                if call.status != _HTTP_OK:
                    return parse_error_response(call.status, call.headers, await call.read_body())
                if streamed:
                    return await self._read_stream(call, checker, sent_s)
                return _check_unstreamed_document(json.loads(await call.read_body()), checker)
        except CallBrokenError:
            return checker.check_incomplete_answer("connection_broken")
        except TimeoutError:
            return checker.check_incomplete_answer("timeout")
        except (ValueError, LookupError, TypeError):
            return Attempt(ObservedOutcome.WRONG, "malformed_answer")
        finally:
            call.close()

    async def _read_stream(self, call: Call, checker: AnswerChecker, sent_s: float) -> Attempt:
        reads_slowly = self.rng.random() < self.load.slow_reader_share
        disconnects_after = None
        if self.rng.random() < self.load.disconnect_share:
            disconnects_after = self.rng.randrange(1, self.load.max_tokens + 1)
        report = self.run.report
        pending = b""
        last_s = sent_s
        tokens = 0
        while chunk := await call.read_chunk():
            now_s = time.monotonic()
            *events, pending = (pending + chunk).split(b"\n\n")
            for event in events:
                if event.startswith(b"event: error"):
                    return checker.check_incomplete_answer(_error_code(event))
                if not event.startswith(b"data: "):
                    continue
                if event == b"data: [DONE]":
                    # The answer is complete only if the HTTP body ends without an error too.
                    await call.read_body()
                    return checker.check_complete_answer()
                document = json.loads(event[6:])
                text = document["choices"][0]["delta"].get("content")
                if text is None:
                    continue
                checker.add_piece(document["id"], text)
                tokens += 1
                report.record_duration(
                    "first_token" if tokens == 1 else "token_gap", now_s - last_s
                )
                last_s = now_s
                if "sent_s" in document:
                    name = "first_token_delay" if tokens == 1 else "token_delay"
                    report.record_duration(name, now_s - document["sent_s"])
                if tokens == disconnects_after:
                    return Attempt(ObservedOutcome.DISCONNECTED)
            if reads_slowly:
                await self.run.sleep_unless_stopped(_SLOW_READER_PAUSE_S)
        return checker.check_incomplete_answer("truncated")


def _check_unstreamed_document(document: Any, checker: AnswerChecker) -> Attempt:
    checker.add_piece(document["id"], document["choices"][0]["message"]["content"])
    return checker.check_complete_answer()


def _error_code(event: bytes) -> str:
    try:
        return str(json.loads(event.partition(b"data: ")[2])["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "error_event"
