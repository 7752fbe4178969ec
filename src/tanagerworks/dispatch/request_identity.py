"""Recognises a request that comes again, at any node and under another id of the call."""

from xxhash import xxh3_64

# No id of a prompt part has a colon.
_ID_PREFIX = "request:"


def request_identity(method: bytes, host: str, target: bytes, customer: str, body: bytes) -> str:
    """Returns an id that requests share if these bytes are the same, with a hash of 64 bits.

    `target` is the path with the query. `customer` is "" for callers without a key.
    """
    digest = xxh3_64()
    for field in (method, host.encode(), target, customer.encode()):
        # The length keeps the fields apart.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(body)
    return f"{_ID_PREFIX}{digest.hexdigest()}"
