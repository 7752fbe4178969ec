"""Builders of release notes for tests."""

import json
from typing import Any

from tanagerworks.note.model import Note
from tools.fleet import key_sha256

CUSTOMER_KEY = "key-of-club-carthage"


def statement_document(**sections: Any) -> dict[str, Any]:
    """Returns a full statement with one node and one engine; `sections` replace whole sections."""
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
    """Returns the document of a full release note; `sections` replace sections of its statement."""
    return {"serial": serial, "statement": statement_document(**sections)}


OTHER_CUSTOMER_KEY = "key-of-club-sfax"


def note_with_backends(
    engines: dict[str, str] | None = None,
    servers: dict[str, str] | None = None,
    engine_fields: dict[str, Any] | None = None,
    **service_fields: Any,
) -> Note:
    """Returns a note with engines, and servers of the service ``orders``, at the given addresses.

    `engines` and `servers` map names to addresses. `engine_fields` and `service_fields` replace
    fields of every engine and of the service.
    """
    zone = "sfax-medina"
    routes = [
        {"method": "GET", "path_prefix": "/", "repeatable": True},
        {"method": "GET", "path_prefix": "/draw", "repeatable": False},
        {"method": "POST", "path_prefix": "/quotes", "repeatable": True},
    ]
    document = note_document(
        zones={zone: {}, "sfax-thyna": {}},
        services={
            "orders": {
                "servers": {
                    name: {"address": address, "zone": zone}
                    for name, address in (servers or {"d1": "127.0.0.1:9"}).items()
                },
                "routes": routes,
                "timeout_s": 5.0,
                **service_fields,
            }
        },
        customers={
            name: {
                "key_sha256": [key_sha256(key)],
                "models": ["wax"],
                "services": ["orders"],
            }
            for name, key in (("club-carthage", CUSTOMER_KEY), ("club-sfax", OTHER_CUSTOMER_KEY))
        },
    )
    engine_template = document["statement"]["engines"].pop("m1")
    for name, address in (engines or {}).items():
        document["statement"]["engines"][name] = {
            **engine_template,
            "address": address,
            **(engine_fields or {}),
        }
    return Note.model_validate_json(json.dumps(document))
