"""Recognises a request that comes again, at any node and under another id of the call."""

from xxhash import xxh3_64

from tanagerworks.dispatch.choice import Prompt

# No id of a prompt part has a colon.
_ID_PREFIX = "request:"


def request_identity(
    method: bytes, host: str, target: bytes, customer: str, body: bytes, prompt: Prompt | None
) -> str:
    """Returns an id that requests share if these bytes are the same, with a hash of 64 bits.

    `target` is the path with the query. `customer` is "" for callers without a key. The parts of
    the prompt count only if the body is empty; otherwise they follow from it.
    """
    content = body
    if not body and prompt is not None:
        content = ",".join(part.part_id for part in prompt.parts).encode()
    digest = xxh3_64()
    for field in (method, host.encode(), target, customer.encode()):
        # The length keeps the fields apart.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(content)
    return f"{_ID_PREFIX}{digest.hexdigest()}"
