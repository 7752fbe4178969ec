"""Builders of test data."""

from typing import Any

from tools.fleet import key_sha256

CUSTOMER_KEY = "key-of-club-carthage"


def statement_document(**sections: Any) -> dict[str, Any]:
    """Returns a small full statement; `sections` replace whole sections."""
    document: dict[str, Any] = {
        "nodes": {"n1": {"zone": "sfax-medina", "peer_address": "127.0.0.1:7001"}},
        "zones": {"sfax-medina": {}},
        "models": {"wax": {"versions": {"v1": 1.0}}},
        "customers": {
            "club-carthage": {"key_sha256": [key_sha256(CUSTOMER_KEY)], "models": ["wax"]}
        },
        "engines": {
            "m1": {
                "address": "127.0.0.1:8001",
                "zone": "sfax-medina",
                "model": "wax",
                "version": "v1",
                "slots": 8,
                "cold_slots": 2,
                "max_work_s": 20.0,
            }
        },
    }
    document.update(sections)
    return document


def note_document(serial: int = 1, **sections: Any) -> dict[str, Any]:
    """Returns a full release note."""
    return {"serial": serial, "statement": statement_document(**sections)}
