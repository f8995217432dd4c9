"""Long fuzz over consecutive seeds: `test_job_fuzz`, and simulations.

On a failure it prints the seed and the history and exits with code 1.
"""

import itertools
import os
import subprocess
import sys
import time

import defopt

from .simulation import random_faults, run_simulation
from .support import ROOT

EXAMPLES_COUNT = 10
STEPS_COUNT = 30
# Simulations on the virtual clock for each seed of the job fuzz.
SIMULATIONS_COUNT = 5


def main(*, minutes: float = 10.0, seed: int = 1):
    """Fuzz the scheduling of jobs until a failure or the time limit.

    :param minutes: no further seed is begun after this time.
    :param seed: first seed; each run uses the next one.
    """
    end_seconds = time.monotonic() + 60.0 * minutes
    for number in itertools.count(seed):
        print(f"seed {number}", flush=True)
        variables = {
            "JOB_FUZZ_EXAMPLES": str(EXAMPLES_COUNT),
            "JOB_FUZZ_STEPS": str(STEPS_COUNT),
            "JOB_FUZZ_SEED": str(number),
        }
        completed = subprocess.run(
            [sys.executable, "-m", "unittest", "tests.test_job_fuzz"],
            cwd=ROOT,
            env={**os.environ, **variables},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
        )
        if completed.returncode != 0:
            print(completed.stdout)
            print(f"failed with seed {number}")
            sys.exit(1)
        for run_seed in range(number * 1000, number * 1000 + SIMULATIONS_COUNT):
            checker = run_simulation(run_seed, random_faults)
            if checker.violations:
                print("\n".join([*checker.log, *checker.violations]))
                print(f"simulation failed with seed {run_seed}")
                sys.exit(1)
        if time.monotonic() > end_seconds:
            sys.exit(0)


if __name__ == "__main__":
    defopt.run(main)
