"""The command that tells from logs why jobs were late."""

import fileinput
import json
import sys
from collections import Counter, defaultdict

import attrs

from ..state.cluster.job_phases import Phase

# Events about a job that are shown in its timeline, with the fields shown of each.
TIMELINE_FIELDS = {
    "request": ("kind", "reason", "seconds"),
    "wait": ("reason", "waited_seconds"),
    "placement": ("run", "workers", "waited_seconds"),
    "start": ("task", "run", "worker_id", "reason"),
    "preempt": ("task", "run", "cause", "reason"),
    "end": ("task", "run", "worker_id", "cause"),
    "stop": ("task", "run", "reason"),
    "job": ("seconds", "objective_seconds", "phases"),
}


@attrs.define(kw_only=True)
class LogSummary:
    """What log lines say about jobs.

    ``jobs`` maps the id of each finished job to its line. ``accepted_ids`` are the jobs
    whose submission was answered with success. ``unreadable_count`` lines are no JSON.
    """

    jobs: dict[str, dict] = attrs.field(factory=dict)
    accepted_ids: set[str] = attrs.field(factory=set)
    dropped_count: int = 0
    unreadable_count: int = 0

    def add(self, line):
        """Add the decoded line of a process."""
        event = line.get("event")
        if event == "log_lines_dropped":
            self.dropped_count += line.get("count", 0)
        elif event == "job":
            self.jobs[line["job_id"]] = line
        elif _is_acceptance(line):
            self.accepted_ids.add(line["job_id"])


def _is_acceptance(line):
    is_submission = line.get("event") == "request" and line.get("kind") == "submit"
    return is_submission and line.get("outcome") == 200


def run_lateness(files, *, job_id):
    """Print a table of late jobs by cause, or the timeline of one job.

    Parameters
    ----------
    files : list of Path
        Logs of any number of instances; standard input if there are none.
    job_id : str
        The job whose timeline is printed; empty for the table.

    Returns
    -------
    int
        Exit code: 0, or 1 if a file cannot be read or the job is not in the logs.
    """
    summary = LogSummary()
    timeline = []
    try:
        with fileinput.input([str(path) for path in files] or ["-"]) as lines:
            for text in lines:
                line = _decode_line(text)
                if line is None:
                    summary.unreadable_count += bool(text.strip())
                    continue
                summary.add(line)
                if job_id and _is_about(line, job_id):
                    timeline.append(line)
    except (OSError, UnicodeDecodeError) as error:
        print(f"cannot read the logs: {error}", file=sys.stderr)
        return 1
    if not job_id:
        print("\n".join(describe_lateness(summary)))
        return 0
    if not timeline:
        print(f"no line about job {job_id}", file=sys.stderr)
        return 1
    print("\n".join(describe_timeline(timeline)))
    return 0


def _decode_line(text):
    """Return the JSON object of a line, which may follow a prefix; None if none."""
    try:
        line = json.loads(text[text.index("{") :])
    except ValueError:
        return None
    return line if isinstance(line, dict) else None


def _is_about(line, job_id):
    task = line.get("task", "")
    return line.get("job_id") == job_id or task.partition("/")[0] == job_id


def find_cause(line):
    """Return the phase that cost a finished job the most beyond its expected run."""
    losses = dict(line.get("phases", {}))
    if Phase.RUNNING in losses:
        losses[Phase.RUNNING] -= line.get("expected_run_seconds", 0.0)
    return str(max(losses, key=losses.get, default="unknown"))


def describe_lateness(summary):
    """Return the lines of the table of late jobs by priority and cause."""
    totals = defaultdict(Counter)
    late = defaultdict(list)
    for line in summary.jobs.values():
        priority = line.get("priority", "-")
        is_late = line.get("is_on_time") is False
        outcome = "late" if is_late else line["outcome"]
        totals[priority][outcome] += 1
        if is_late:
            late[priority, find_cause(line)].append(line)
    lines = [f"{'priority':<9}{'completed in time':>18}{'late':>6}{'failed':>8}"]
    for priority in sorted(totals, key=str):
        counts = totals[priority]
        lines.append(
            f"{priority:<9}{counts['completed']:>18}{counts['late']:>6}"
            f"{counts['failed']:>8}"
        )
    lines += ["", f"{'priority':<9}{'cause':<22}{'late':>5}{'mean loss, s':>14}  jobs"]
    for priority, cause in sorted(late, key=lambda key: (str(key[0]), -len(late[key]))):
        jobs = late[priority, cause]
        mean_seconds = sum(_loss_seconds(job, cause) for job in jobs) / len(jobs)
        names = " ".join(job["job_id"] for job in jobs[:3])
        lines.append(
            f"{priority:<9}{cause:<22}{len(jobs):>5}{mean_seconds:>14.2f}  {names}"
        )
    unfinished_count = len(summary.accepted_ids - set(summary.jobs))
    lines += [
        "",
        f"accepted jobs without a final line: {unfinished_count}; dropped lines: "
        f"{summary.dropped_count}; lines without JSON: {summary.unreadable_count}",
    ]
    return lines


def _loss_seconds(line, cause):
    seconds = line.get("phases", {}).get(cause, 0.0)
    if cause == Phase.RUNNING:
        seconds -= line.get("expected_run_seconds", 0.0)
    return seconds


def describe_timeline(lines):
    """Return the lines about one job in the order of time, shortened."""
    described = []
    for line in sorted(lines, key=lambda line: line.get("time", "")):
        event = line.get("event", "")
        names = TIMELINE_FIELDS.get(event, ())
        fields = " ".join(
            f"{name}={line[name]}" for name in names if line.get(name) not in (None, "")
        )
        time, instance = line.get("time", ""), line.get("instance_id", "")
        described.append(f"{time} {instance} {event} {line.get('outcome')} {fields}")
    return described
