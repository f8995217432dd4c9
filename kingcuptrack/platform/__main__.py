"""Command line ``python -m kingcuptrack.platform COMMAND``.

Runs an instance if there is no command, or only ``run``.
"""

import sys

from ..signals import defer_signals


def main():
    """Run the given command, or an instance if there is none."""
    # An instance is restarted often and must serve soon, so that it does not load the
    # modules that only the other commands need.
    if sys.argv[1:] in ([], ["run"]):
        deferred_signals = defer_signals()
        from .program import run_program

        return run_program(deferred_signals)
    from .commands import run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
