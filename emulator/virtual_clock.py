"""Event loop whose clock advances to the next timer instead of waiting."""

import asyncio
import selectors

import anyio


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that reports each timeout to ``advance`` instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.advance = None

    def select(self, timeout=None):
        """Return ready events; if there are none, advance the clock by the timeout."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.advance(timeout)
        elif not ready and timeout is None:
            raise RuntimeError(
                "deadlock: every task waits for an event and no timer is set"
            )
        return ready


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock that starts at zero."""

    def __init__(self):
        selector = _VirtualTimeSelector()
        self._virtual_seconds = 0.0
        super().__init__(selector)
        selector.advance = self._advance

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_seconds

    def _advance(self, seconds):
        self._virtual_seconds += seconds


def run_virtual(function, *arguments):
    """Run an async function on a virtual clock and return its result."""
    return anyio.run(
        function,
        *arguments,
        backend="asyncio",
        backend_options={"loop_factory": VirtualClockLoop},
    )
