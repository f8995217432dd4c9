"""Resource use of running processes, and least-squares lines through readings."""

import os
import statistics
import time
from pathlib import Path

import attrs

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.frozen(kw_only=True)
class Line:
    """Least-squares line through measured points.

    ``slope_error`` is the standard error of the slope, ``residual`` the root mean
    square distance of the points from the line. Both are 0 for an exact fit.
    """

    points: tuple
    slope: float
    slope_error: float
    intercept: float
    residual: float


def fit_line(points):
    """Return the `Line` through at least three points (x, y)."""
    xs, ys = zip(*points, strict=True)
    assert len(points) >= 3, points
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
    mean = statistics.fmean(xs)
    spread = sum((x - mean) ** 2 for x in xs)
    return Line(
        points=tuple((round(x, 4), _round_significant(y)) for x, y in points),
        slope=_round_significant(slope),
        slope_error=_round_significant((squares / (len(points) - 2) / spread) ** 0.5),
        intercept=_round_significant(intercept),
        residual=_round_significant((squares / len(points)) ** 0.5),
    )


def _round_significant(value):
    return float(f"{value:.5g}")


def read_processor_seconds(pid):
    """Return the processor time that a process has used, to a tick of 10 ms."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_resident_bytes(pid):
    """Return the resident memory of a process."""
    text = Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * PAGE_BYTES


@attrs.frozen(kw_only=True)
class Reading:
    """Cumulative resource use of a deployment.

    ``processor_seconds`` is keyed by instance id, ``forwarded_bytes`` by proxy route,
    ``platform_counts`` by counter of the platform stand-in.
    """

    at_seconds: float
    processor_seconds: dict
    forwarded_bytes: dict
    platform_counts: dict

    def since(self, earlier):
        """Return the resource use between an earlier reading and this one."""

        def subtract(name):
            old = getattr(earlier, name)
            new = getattr(self, name)
            return {key: value - old.get(key, 0) for key, value in new.items()}

        return Reading(
            at_seconds=self.at_seconds - earlier.at_seconds,
            processor_seconds=subtract("processor_seconds"),
            forwarded_bytes=subtract("forwarded_bytes"),
            platform_counts=subtract("platform_counts"),
        )

    def peer_bytes(self):
        """Return the bytes of all links between instances."""
        return sum(
            count
            for name, count in self.forwarded_bytes.items()
            if not name.endswith((">platform", ">workers"))
        )

    def count(self, name):
        """Return a counter of the platform stand-in."""
        return self.platform_counts.get(name, 0)


def read_totals(deployment):
    """Return the `Reading` of a deployment."""
    routes = deployment.proxy.send("statistics") if deployment.proxy else {}
    return Reading(
        at_seconds=time.monotonic(),
        processor_seconds={
            entry.instance_id: read_processor_seconds(entry.process.popen.pid)
            for entry in deployment.running_entries()
        },
        forwarded_bytes={
            name: sum(route["forwarded_bytes"].values())
            for name, route in routes.items()
        },
        platform_counts=deployment.platform.control("GET", "statistics"),
    )


def observe(deployment, seconds):
    """Wait ``seconds`` without adding load; return the `Reading` of that time."""
    earlier = read_totals(deployment)
    time.sleep(seconds)
    return read_totals(deployment).since(earlier)


def print_table(title, x_name, line, y_name, factor=1.0):
    """Print the points of a line and its slope.

    ``factor`` converts to the unit of ``y_name``.
    """
    rows = [f"\n{title}", f"  {x_name:>28}  {y_name}"]
    rows += [f"  {x:>28g}  {y * factor:.4g}" for x, y in line.points]
    slope, error = line.slope * factor, line.slope_error * factor
    rows.append(
        f"  slope {slope:.4g} +- {error:.2g}, at zero {line.intercept * factor:.4g}, "
        f"residual {line.residual * factor:.2g}"
    )
    print("\n".join(rows), flush=True)
