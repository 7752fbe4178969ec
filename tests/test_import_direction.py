"""Imports go one way: decisions, then services, then programs."""

import ast
from pathlib import Path

import pytest

_PACKAGE = Path(__file__).parent.parent / "src" / "tanagerworks"
_DECISIONS = ("note", "routing", "membership", "orders")
_PROGRAMS = ("agent", "router", "ctl", "standin", "load")
# The schema of the administration port, which tanagerctl reads, and the rule by which the engine
# stand-in answers, against which the load tool checks answers.
_PUBLISHED = {"tanagerworks.agent.admin_models", "tanagerworks.standin.answers"}
# Modules that would let a decision do I/O, read a clock or use global randomness.
_IMPURE = {"time", "socket", "threading", "asyncio", "urllib3", "cheroot", "grpc", "os", "secrets"}


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names)


def _imported_by(package):
    return {name for path in (_PACKAGE / package).rglob("*.py") for name in _imports(path)}


@pytest.mark.parametrize("package", _DECISIONS)
def test_decisions_do_no_io(package):
    """Guards against a decision that cannot run with plain values, times and randomness."""
    imported = _imported_by(package)
    assert imported
    assert not {name for name in imported if name.partition(".")[0] in _IMPURE}
    upper = ("agent", "router", "ctl", "standin", "load", "rpc", "tls", "telemetry", "settings")
    assert not {
        name for name in imported if name.startswith(tuple(f"tanagerworks.{u}" for u in upper))
    }


@pytest.mark.parametrize("program", _PROGRAMS)
def test_programs_do_not_import_each_other(program):
    """Guards against a change of one program that breaks another."""
    others = tuple(f"tanagerworks.{name}." for name in _PROGRAMS if name != program)
    imported = _imported_by(program) - _PUBLISHED
    assert not {name for name in imported if name.startswith(others)}
