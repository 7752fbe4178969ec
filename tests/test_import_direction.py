"""Imports go one way: decisions, then services, then programs."""

import ast
import re
from pathlib import Path

import pytest

_PACKAGE = Path(__file__).parent.parent / "src" / "tanagerworks"
_DECISIONS = ("note", "routing", "membership", "orders", "published", "dispatch")
_PROGRAMS = ("agent", "router", "ctl", "standin", "load", "edge")
_PLATFORM = Path(__file__).parent.parent / "platform"
# What only the platform's adapter may say: its headers, keys, fields and words.
_PLATFORM_WORDS = re.compile(
    r"x-tanagerworks|kv-|op/(config|evacuate)|servers/|evacuat|tenant|instance-id|attempt-id"
    r"|session-affinity|weighted-services|api-keys|draining.?\"|heartbeat-ms|fleetbench|vip\b",
    re.IGNORECASE,
)
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
    upper = (*_PROGRAMS, "rpc", "tls", "telemetry", "settings")
    assert not {
        name for name in imported if name.startswith(tuple(f"tanagerworks.{u}" for u in upper))
    }


@pytest.mark.parametrize("program", _PROGRAMS)
def test_programs_do_not_import_each_other(program):
    """Guards against a change of one program that breaks another."""
    others = tuple(f"tanagerworks.{name}." for name in _PROGRAMS if name != program)
    imported = _imported_by(program) - _PUBLISHED
    assert not {name for name in imported if name.startswith(others)}


def _sources(*folders):
    return [path for folder in folders for path in sorted((_PACKAGE / folder).rglob("*.py"))]


@pytest.mark.parametrize(
    "path", _sources("dispatch", "edge", "published", "membership"), ids=lambda path: path.stem
)
def test_platform_words_stay_in_the_adapter(path):
    """Guards against a product that only runs on one platform."""
    found = _PLATFORM_WORDS.findall(path.read_text(encoding="utf-8"))
    assert not found
    assert not [name for name in _imports(path) if name.partition(".")[0] == "adapter"]


def test_adapter_has_no_loop_timer_or_memory():
    """Guards against decisions, retries or state in the adapter."""
    forbidden = {"asyncio", "time", "random", "threading", "collections", "heapq"}
    for path in (_PLATFORM / "adapter").rglob("*.py"):
        assert not {name.partition(".")[0] for name in _imports(path)} & forbidden, path
        loops = [
            node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.While)
        ]
        assert not loops, path


def test_platform_folder_does_not_hide_the_standard_library():
    """Guards against a package that is found in place of the module `platform`."""
    assert not (_PLATFORM / "__init__.py").exists()
