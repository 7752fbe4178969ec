"""The answers of the engine stand-in, known to its callers.

An answer is a function of the prompt, so a caller can check that it got its own whole answer.
"""

import hashlib
import json
from collections.abc import Sequence
from typing import Any

DEFAULT_MAX_TOKENS = 16
_BYTES_PER_TOKEN = 4


def prompt_text(messages: Sequence[Any]) -> str:
    """Returns the messages of a chat as one text."""
    return json.dumps(messages, sort_keys=True)


def count_tokens(text: str) -> int:
    """Returns the number of tokens that a text is taken to have."""
    return max(1, len(text) // _BYTES_PER_TOKEN)


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Returns the tokens of the answer to a prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{digest}-{number} " for number in range(count)]


def expected_answer(messages: Sequence[Any], max_tokens: int = DEFAULT_MAX_TOKENS) -> str:
    """Returns the whole answer to a chat."""
    return "".join(expected_tokens(prompt_text(messages), max_tokens))
