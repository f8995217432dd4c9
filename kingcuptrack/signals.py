"""Signals to a daemon, from the first line of its program to its exit.

The default actions of SIGHUP, SIGINT and SIGTERM end a process at once and cut off the
requests that it has read. See docs/design/signals.md.
"""

import contextlib
import os
import signal

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def defer_signals():
    """Set the actions of signals for the time until `receive_signals`.

    It is called before imports that take time. A stop signal ends the process at once
    with status 0, since it has not read any request yet.

    Returns
    -------
    set of int
        Gets the number of each other signal, for `receive_signals`.
    """
    deferred = set()
    signal.signal(signal.SIGHUP, lambda number, frame: deferred.add(number))
    for stop_signal in STOP_SIGNALS:
        # An exception could be raised, and lost, in any import.
        signal.signal(stop_signal, lambda number, frame: os._exit(0))
    return deferred


@contextlib.contextmanager
def receive_signals(deferred):
    """Receive SIGHUP and the stop signals in a running event loop.

    Yields an async iterator of the signals, which begins with the deferred ones. After
    that, all of them are blocked, so that none acts on a process that is about to exit.

    Parameters
    ----------
    deferred : set of int
        Result of `defer_signals`.
    """
    # Not imported above: its import is one of those that take time.
    import anyio

    with anyio.open_signal_receiver(signal.SIGHUP, *STOP_SIGNALS) as signals:
        for number in deferred:
            signal.raise_signal(number)
        try:
            yield signals
        finally:
            # Closing the receiver restores the default actions.
            signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP, *STOP_SIGNALS])
