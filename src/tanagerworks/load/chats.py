"""Callers whose chats pause and return with a growing history."""

import asyncio
import json
import random
import time
from typing import Any

from tanagerworks.load.caller import NOT_CONNECTED, Attempt, Run, refusal
from tanagerworks.load.http_client import Call, CallBrokenError, CallNotSentError
from tanagerworks.load.report import Seen
from tanagerworks.load.settings import ChatLoad
from tanagerworks.standin.answers import expected_answer

_WORDS = ("wax", "coarse", "winter", "club", "league", "delivery", "tin", "court", "glide", "dust")
_SLOW_READ_S = 0.1
_HTTP_OK = 200


class AnswerCheck:
    """Compares an answer with the expected one while it arrives."""

    def __init__(self, expected: str) -> None:
        self.expected = expected
        self.received = ""
        self.answer_id: str | None = None
        self.wrong = False

    def add(self, answer_id: str, text: str) -> None:
        """Takes the next piece of the answer and the id under which it came."""
        if self.answer_id is None:
            self.answer_id = answer_id
        self.wrong = self.wrong or answer_id != self.answer_id
        self.received += text
        self.wrong = self.wrong or not self.expected.startswith(self.received)

    def end(self) -> Attempt:
        """Returns the result for an answer that ended as a whole one."""
        if self.wrong or self.received != self.expected:
            return Attempt(Seen.WRONG, "wrong_answer")
        return Attempt(Seen.WHOLE)

    def broken(self, code: str) -> Attempt:
        """Returns the result for an answer that did not reach its end."""
        return Attempt(Seen.WRONG, "wrong_answer") if self.wrong else Attempt(Seen.UNKNOWN, code)


class ChatCaller:
    """One caller that leads one chat after the other."""

    def __init__(self, run: Run, load: ChatLoad, number: int, surging: bool = False) -> None:
        self.run = run
        self.load = load
        self.number = number
        self.surging = surging
        self.chance = random.Random(f"{run.settings.seed}-{load.customer}-{number}-{surging}")
        self.chats = 0

    async def lead_chats(self, until_s: float) -> None:
        """Leads chats until the run or the time ends."""
        while not self.run.stopped.is_set() and time.monotonic() < until_s:
            await self._lead_chat(until_s)

    async def _lead_chat(self, until_s: float) -> None:
        self.chats += 1
        name = f"{self.run.settings.name}-{self.load.customer}-{self.number}-{self.chats}"
        if self.surging:
            name += "-surge"
        messages: list[dict[str, str]] = []
        for _turn in range(self.load.turns):
            messages.append({"role": "user", "content": self._question(name)})
            if not await self._ask(messages, name):
                return
            answer = expected_answer(messages, self.load.max_tokens)
            messages.append({"role": "assistant", "content": answer})
            if not self.surging:
                await self.run.pause(self.load.pause_s * self.chance.uniform(0.5, 1.5))
            if self.run.stopped.is_set() or time.monotonic() >= until_s:
                return

    def _question(self, name: str) -> str:
        words = self.chance.choices(_WORDS, k=self.load.prompt_words)
        return f"{name}: {' '.join(words)}?"

    async def _ask(self, messages: list[dict[str, str]], chat_key: str) -> bool:
        """Sends the chat until it was answered or may not be repeated; returns if it was whole."""
        streamed = self.chance.random() < self.load.streamed_share
        kind = "chat_streamed" if streamed else "chat_whole"
        document = {
            "model": self.load.model,
            "messages": messages,
            "max_tokens": self.load.max_tokens,
            "stream": streamed,
        }
        body = json.dumps(document).encode()
        check_text = expected_answer(messages, self.load.max_tokens)
        started_s = time.monotonic()
        tried: list[str] = []
        while True:
            node = self.run.balancer.choose(tried)
            tried.append(node)
            attempt = await self._attempt(node, body, chat_key, AnswerCheck(check_text), streamed)
            if not attempt.again or not self.run.may_retry(len(tried)):
                break
            self.run.report.failed_attempts[attempt.code] += 1
            await self.run.pause_before_retry()
        self.run.report.record_end(self.load.customer, kind, attempt.seen)
        if attempt.seen is Seen.WHOLE:
            self.run.report.record_time(f"{kind}_s", time.monotonic() - started_s)
            return True
        if attempt.seen is not Seen.DISCONNECTED:
            # A chat call with an unknown outcome is not repeated, so its last attempt is the one.
            self.run.record_failure(started_s, node, kind, attempt)
        if attempt.seen is Seen.NOT_RUN:
            self.run.report.record_time("refusal_s", time.monotonic() - started_s)
        return False

    async def _attempt(
        self, node: str, body: bytes, chat_key: str, check: AnswerCheck, streamed: bool
    ) -> Attempt:
        try:
            call = await Call.connect(node)
        except CallNotSentError:
            self.run.balancer.mark_down(node)
            return NOT_CONNECTED
        headers = {"Authorization": f"Bearer {self.load.key}", "X-Chat-Key": chat_key}
        try:
            async with asyncio.timeout(self.run.settings.answer_timeout_s):
                sent_s = time.monotonic()
                await call.send("POST", "/v1/chat/completions", headers, body)
                if call.status != _HTTP_OK:
                    return refusal(call.status, call.headers, await call.read_all())
                if streamed:
                    return await self._read_stream(call, check, sent_s)
                return _check_whole(json.loads(await call.read_all()), check)
        except CallBrokenError:
            return check.broken("connection_broken")
        except TimeoutError:
            return check.broken("timeout")
        except (ValueError, LookupError, TypeError):
            return Attempt(Seen.WRONG, "malformed_answer")
        finally:
            call.close()

    async def _read_stream(self, call: Call, check: AnswerCheck, sent_s: float) -> Attempt:
        slow = self.chance.random() < self.load.slow_reader_share
        leaves_after = None
        if self.chance.random() < self.load.disconnect_share:
            leaves_after = self.chance.randrange(1, self.load.max_tokens + 1)
        report = self.run.report
        pending = b""
        last_s = sent_s
        tokens = 0
        while piece := await call.read():
            now_s = time.monotonic()
            *events, pending = (pending + piece).split(b"\n\n")
            for event in events:
                if event.startswith(b"event: error"):
                    return check.broken(_error_code(event))
                if not event.startswith(b"data: "):
                    continue
                if event == b"data: [DONE]":
                    # The answer is whole only if its framing also ends.
                    await call.read_all()
                    return check.end()
                document = json.loads(event[6:])
                text = document["choices"][0]["delta"].get("content")
                if text is None:
                    continue
                check.add(document["id"], text)
                tokens += 1
                report.record_time("first_token" if tokens == 1 else "token_gap", now_s - last_s)
                last_s = now_s
                if "sent_s" in document:
                    name = "first_token_delay" if tokens == 1 else "token_delay"
                    report.record_time(name, now_s - document["sent_s"])
                if tokens == leaves_after:
                    return Attempt(Seen.DISCONNECTED)
            if slow:
                await self.run.pause(_SLOW_READ_S)
        return check.broken("truncated")


def _check_whole(document: Any, check: AnswerCheck) -> Attempt:
    check.add(document["id"], document["choices"][0]["message"]["content"])
    return check.end()


def _error_code(event: bytes) -> str:
    try:
        return str(json.loads(event.partition(b"data: ")[2])["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "error_event"
