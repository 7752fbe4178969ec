"""A soak of the edge: real processes beside stand-ins, with faults in random order.

Usage: python -m tests.edge_soak FIRST_SEED LAST_SEED [SECONDS] [--profile=stops] [--nodes=N]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from absl import flags

from tanagerworks.program import EXIT_FAILED, EXIT_OK, CommandLine
from tests.edge_soak_faults import Soak
from tests.edge_soak_stops import StopSoak

_PROFILES = {"faults": Soak, "stops": StopSoak}


async def run_soak(soak, seconds):
    """Runs a soak; returns the violations and prints what was seen."""
    await soak.run(seconds)
    crashed = [
        f"{node.name}: {line[:200]}"
        for node in soak.nodes
        for line in node.log.read_text().splitlines()
        if "Traceback" in line or "task failed" in line
    ]
    violations = soak.violations + crashed
    print(f"{dict(soak.outcomes)}; violations: {violations}", flush=True)
    return violations


def run_seed(seed, seconds, profile="faults", nodes=None, logs=None):
    """Runs one seed; returns the violations. The logs are kept in the directory `logs`."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary)
        if logs is not None:
            directory = Path(logs) / f"{profile}-{seed}"
            directory.mkdir(parents=True)
        print(f"seed {seed}:", flush=True)
        soak = _PROFILES[profile](seed, directory, nodes)
        return asyncio.run(run_soak(soak, seconds))


def main():
    """Runs the seeds that the command line names; the exit status is 1 after a violation."""
    command_line = CommandLine("edge-soak", __doc__)
    values = command_line.flag_values
    flags.DEFINE_enum("profile", "faults", [*_PROFILES], "Kinds of faults.", flag_values=values)
    flags.DEFINE_integer("nodes", None, "Number of processes.", 2, flag_values=values)
    flags.DEFINE_string("logs", None, "Directory in which logs are kept.", flag_values=values)
    first, last, *rest = command_line.parse_arguments()
    seconds = float(rest[0]) if rest else 15.0
    options = [values[name].value for name in ("profile", "nodes", "logs")]
    found = [run_seed(seed, seconds, *options) for seed in range(int(first), int(last) + 1)]
    sys.exit(EXIT_FAILED if any(found) else EXIT_OK)


if __name__ == "__main__":
    main()
