"""The deploy file names the build that runs in production, for upgrades beside it."""

import re
import subprocess
import tomllib
from pathlib import Path

import pytest

_REPOSITORY = Path(__file__).resolve().parent.parent


def git(*arguments):
    return subprocess.run(["git", *arguments], cwd=_REPOSITORY, capture_output=True, text=True)


def test_production_names_a_commit_of_the_history():
    """Guards against an upgrade that cannot be played, as its first build is not in the history."""
    document = tomllib.loads((_REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
    commit = document["production"]
    assert re.fullmatch("[0-9a-f]{40}", commit), f"not a full commit id: {commit}"
    if git("rev-parse", "--is-shallow-repository").stdout.strip() != "false":
        pytest.skip("the history of the repository is missing")
    found = git("merge-base", "--is-ancestor", commit, "HEAD")
    assert found.returncode == 0, f"{commit} is no commit of this history: {found.stderr}"
