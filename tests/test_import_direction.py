"""Rules for imports: programs import decision packages, never the reverse or each other."""

import ast
import re
from pathlib import Path

import pytest

_PACKAGE = Path(__file__).parent.parent / "src" / "tanagerworks"
_DECISION_PACKAGES = ("note", "routing", "membership", "orders", "published", "dispatch")
_PROGRAM_PACKAGES = ("agent", "router", "ctl", "standin", "load", "edge")
_PLATFORM_FOLDER = Path(__file__).parent.parent / "platform"
# Terms that only the platform's adapter may use: its headers, keys, fields and words.
_PLATFORM_TERMS = re.compile(
    r"x-tanagerworks|kv-|op/(config|evacuate)|servers/|evacuat|tenant|instance-id|attempt-id"
    r"|session-affinity|weighted-services|api-keys|draining.?\"|heartbeat-ms|fleetbench|vip\b",
    re.IGNORECASE,
)
# Modules of one program that another may import: the schema of the administration port, which
# tanagerctl reads, and the rule of the engine stand-in's responses, by which the load generator
# checks them.
_SHARED_MODULES = {"tanagerworks.agent.admin_models", "tanagerworks.standin.answers"}
# Modules with which a decision could do I/O, read a clock or use global randomness.
_IMPURE_MODULES = {
    "time",
    "socket",
    "threading",
    "asyncio",
    "urllib3",
    "cheroot",
    "grpc",
    "os",
    "secrets",
}


def _imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def _modules_imported_by(package):
    return {name for path in (_PACKAGE / package).rglob("*.py") for name in _imported_modules(path)}


@pytest.mark.parametrize("package", _DECISION_PACKAGES)
def test_decisions_do_no_io(package):
    """Guards against decisions that depend on anything but given values, times and randomness."""
    imported = _modules_imported_by(package)
    assert imported
    assert not {name for name in imported if name.partition(".")[0] in _IMPURE_MODULES}
    higher_layers = (*_PROGRAM_PACKAGES, "rpc", "tls", "telemetry", "settings")
    assert not {
        name
        for name in imported
        if name.startswith(tuple(f"tanagerworks.{layer}" for layer in higher_layers))
    }


@pytest.mark.parametrize("program", _PROGRAM_PACKAGES)
def test_programs_do_not_import_each_other(program):
    """Guards against a change to one program that breaks another."""
    others = tuple(f"tanagerworks.{name}." for name in _PROGRAM_PACKAGES if name != program)
    imported = _modules_imported_by(program) - _SHARED_MODULES
    assert not {name for name in imported if name.startswith(others)}


def _source_files(*folders):
    return [path for folder in folders for path in sorted((_PACKAGE / folder).rglob("*.py"))]


@pytest.mark.parametrize(
    "path", _source_files("dispatch", "edge", "published", "membership"), ids=lambda path: path.stem
)
def test_platform_terms_are_used_only_in_the_adapter(path):
    """Guards against code outside the adapter that depends on one platform."""
    found = _PLATFORM_TERMS.findall(path.read_text(encoding="utf-8"))
    assert not found
    assert not [name for name in _imported_modules(path) if name.partition(".")[0] == "adapter"]


def test_adapter_has_no_loop_timer_or_state():
    """Guards against decisions, retries or state in the adapter."""
    forbidden = {"asyncio", "time", "random", "threading", "collections", "heapq"}
    for path in (_PLATFORM_FOLDER / "adapter").rglob("*.py"):
        assert not {name.partition(".")[0] for name in _imported_modules(path)} & forbidden, path
        loops = [
            node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.While)
        ]
        assert not loops, path


def test_platform_folder_does_not_hide_the_standard_library():
    """Guards against a package that shadows the standard library module `platform`."""
    assert not (_PLATFORM_FOLDER / "__init__.py").exists()
