"""The commands of ``python -m kingcuptrack.platform COMMAND``.

Runs an instance, checks its settings or a configuration, shows what the store holds, or
tells from logs why jobs were late.
"""

import sys
from pathlib import Path

import anyio
import defopt

from ..coordination.inspection import InspectionError
from ..signals import defer_signals
from ..tools.inspection_text import describe_cluster, describe_job
from .config_check import run_config_check
from .lateness import run_lateness
from .program import make_environment, run_program
from .settings import SettingsError, load_settings, settings_path


def run():
    """Run an instance until it gets SIGTERM or SIGINT.

    The environment variable KINGCUPTRACK_BOOT names the settings file.
    """
    return run_program(defer_signals())


def check():
    """Check the settings file and print what is wrong with it."""
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    print(f"settings of {settings.instance_id} in {settings.data_centre} are usable")
    return 0


def check_config(
    config: Path, *, in_force: str = "", store: str = "", json: bool = False
):
    """Check a configuration before it is sent, and show what it changes.

    Exits with 0 if it is usable, 1 if it has errors and 2 if it cannot be read.

    :param config: file with the configuration
    :param in_force: file with the configuration to compare with
    :param store: host:port of the store to compare with: its configuration and workers
    :param json: print one JSON object
    """
    return run_config_check(config, in_force=in_force, store=store, is_json=json)


def status(*, store: str = ""):
    """Show configuration, scheduler, jobs by state, and workers.

    :param store: host:port of the store; default: that of the settings file
    """
    return _inspect(store, describe_cluster)


def job(job_id: str, *, store: str = ""):
    """Show the state of a job and where its tasks are.

    :param job_id: id of the job, 16 hexadecimal digits
    :param store: host:port of the store; default: that of the settings file
    """
    return _inspect(store, lambda environment: describe_job(environment, job_id))


def late(*files: Path, job: str = ""):
    """Show from logs why jobs were late, by priority and cause.

    :param files: logs of all instances; standard input if there are none
    :param job: id of a job, whose timeline is shown instead
    """
    return run_lateness(files, job_id=job)


def _inspect(store, describe):
    try:
        url = f"http://{store}" if store else load_settings(settings_path()).store_url

        async def describe_store():
            return await describe(make_environment(lambda: url))

        print(anyio.run(describe_store))
    except (SettingsError, InspectionError) as error:
        print(error, file=sys.stderr)
        return 1
    return 0


def run_command():
    """Run the command that the arguments name; returns the exit status."""
    return defopt.run([run, check, check_config, status, job, late])
