"""``kingcuptrack-entry``: the daemon of an entry instance."""

import sys
from pathlib import Path

from ..signals import defer_signals


def main():
    """Run the program and exit with its exit code."""
    deferred_signals = defer_signals()
    # Signals are deferred before the imports that take time, here and below.
    import defopt

    def run_entry(*, settings: Path):
        """Run an entry instance until it gets SIGTERM or SIGINT.

        :param settings: INI file with the settings of this instance
        """
        return _run_daemon(settings, deferred_signals)

    sys.exit(defopt.run(run_entry))


def _run_daemon(path, deferred_signals):
    """Run the daemon with the settings of a file; returns the exit code."""
    import anyio

    from ..coordination.placer.entry import Entry
    from ..findings import has_errors
    from ..logs import configure_logs
    from ..settings import load_settings

    loaded, findings = load_settings(path)
    for finding in findings:
        print(finding, file=sys.stderr)
    if loaded is None or has_errors(findings):
        return 2
    configure_logs(level=loaded.log_level, instance_id=loaded.instance_id)
    anyio.run(Entry(settings=loaded).run, deferred_signals, backend="asyncio")
    return 0


if __name__ == "__main__":
    main()
