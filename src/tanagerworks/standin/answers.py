"""Deterministic answers of the engine stand-in.

An answer is a function of the prompt, so callers and tests can check that an answer is complete and
belongs to their own request.
"""

import hashlib
import json
from collections.abc import Sequence
from typing import Any

DEFAULT_MAX_TOKENS = 16
_CHARACTERS_PER_TOKEN = 4


def prompt_text(messages: Sequence[Any]) -> str:
    """Returns the messages of a chat as one JSON text."""
    return json.dumps(messages, sort_keys=True)


def count_tokens(text: str) -> int:
    """Returns the number of tokens of a text, estimated at four characters per token."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Returns the first `count` tokens of the answer to a prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{digest}-{number} " for number in range(count)]


def expected_answer(messages: Sequence[Any], max_tokens: int = DEFAULT_MAX_TOKENS) -> str:
    """Returns the complete answer to a chat."""
    return "".join(expected_tokens(prompt_text(messages), max_tokens))
