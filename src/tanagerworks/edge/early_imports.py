"""Imports asyncio without the TLS library, which the process does not use.

The process speaks HTTP without TLS. Loading OpenSSL would take 4.5 MB of its memory.
"""

import sys


def import_asyncio_without_tls() -> None:
    """Imports asyncio; a later import of `ssl` works, but asyncio connections have no TLS."""
    if "asyncio" in sys.modules or "ssl" in sys.modules:
        return
    # An import of a module that is None raises ImportError, which asyncio handles.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        import asyncio  # noqa: F401
    finally:
        del sys.modules["ssl"]
