"""Demonstration: a deployment on loopback ports, used through the two clients.

Starts the stand-ins and two entry daemons in each of three data centres, prints each
command with its answer, checks the answer, and stops everything that it started.
Exits 0 if every answer is the expected one.
"""

import json
import os
import shlex
import signal
import subprocess
import sys
import time

import defopt

from kingcuptrack.tools.client import URLS_VARIABLE
from tests.deployment import start_deployment
from tests.platform_deployment import make_job, start_platform_deployment
from tests.support import ROOT, wait_until

DATA_CENTRES = ("kumasi", "obuasi", "konongo")
# Two racks in each data centre: the placer has to choose one rack for a gang.
WORKERS_OPTIONS = {"workers-per-rack": 4}
ORGANISATIONS = "examples/organisations.ini"
PLANS = "examples/plans.ini"
URGENT_BOUND_SECONDS = 5.1
# Exit code of the caller client for a submission that does not wait for the job.
EXIT_PENDING = 5
COMMAND_TIMEOUT_SECONDS = 40.0
# Like SIGINT, these end the demonstration and the processes that it started.
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGHUP)
# Must exceed stop_notice_seconds, during which a stopping daemon answers requests.
STOP_TIMEOUT_SECONDS = 15.0


class UnexpectedAnswerError(Exception):
    """An answer of the demonstration is not the expected one."""


def require(condition, what):
    """Print that a check passed; raise `UnexpectedAnswerError` if it failed."""
    if not condition:
        raise UnexpectedAnswerError(what)
    print(f"  ok: {what}")


def run_client(name, *arguments, entries, exit_code=0):
    """Run one command of a client, print it and return what it wrote."""
    urls = " ".join(entry.url for entry in entries)
    words = [str(argument) for argument in arguments]
    place = f"at {entries[0].instance_id} " if len(entries) == 1 else ""
    print(f"\n{place}$ kingcuptrack-{name} {shlex.join(words)}", flush=True)
    completed = subprocess.run(
        [sys.executable, "-m", f"kingcuptrack.tools.{name}", *words],
        cwd=ROOT,
        env={**os.environ, URLS_VARIABLE: urls},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=COMMAND_TIMEOUT_SECONDS,
    )
    print(completed.stdout, end="", flush=True)
    if completed.returncode != exit_code:
        message = f"exit code {completed.returncode} instead of {exit_code}"
        raise UnexpectedAnswerError(message)
    return completed.stdout


def job_id_of(text):
    """Return the job id that an answer of the caller client names."""
    return text.partition("\njob ")[2][:32]


def events_of(deployment, job_id, event):
    """Return the events of one kind that the workers recorded for a job."""
    return [
        entry
        for entry in deployment.worker_journal()
        if entry["event"] == event and entry["job_id"] == job_id
    ]


def wait_workers(deployment):
    """Wait until the placers know all workers: the check of the lists needs them."""
    entry = deployment.running_entries()[0]

    def knows_workers():
        centres = entry.request("GET", "/v1/status")[1]["data_centres"]
        workers = [worker for centre in centres for worker in centre["workers"] or ()]
        return len(workers) == len(deployment.instances("worker"))

    deployment.wait(knows_workers, "the placers know all workers")


def apply_lists(entries):
    """Record the lists of organisations and plans; wait until they are in force."""
    files = (ORGANISATIONS, PLANS)
    run_client("operator", "lists", "check", *files, entries=entries)
    text = run_client("operator", "lists", "apply", *files, "--yes", entries=entries)
    require("recorded as version 1" in text, "the lists are version 1")
    run_client("operator", "wait-in-force", 1, entries=entries)
    text = run_client("operator", "lists", "apply", *files, "--yes", entries=entries)
    require("nothing to record" in text, "applying them again changes nothing")


def run_render(deployment, entries):
    """Run a gang and, while it runs, urgent jobs; check answers and placement."""
    text = run_client(
        "caller",
        *("submit", "--job-file", "examples/render.json"),
        *("--payload", json.dumps({"run_seconds": 6.0, "result": "frames"})),
        entries=entries,
        exit_code=EXIT_PENDING,
    )
    job_id = job_id_of(text)
    text = run_client("operator", "status", entries=entries)
    rows = [line.split() for line in text.splitlines()]
    require(
        ["designers", "renders", "48", "128", "16"] in [row[:5] for row in rows],
        "the render uses 16 guaranteed accelerators",
    )
    for number in (1, 2, 3):
        started_seconds = time.monotonic()
        run_client(
            "caller",
            *("submit", "--organisation", "foremen", "--tasks-count", 1),
            *("--accelerators-count", 1, "--urgent", "--wait-seconds", 20),
            *(
                "--payload",
                json.dumps({"run_seconds": 0.2, "result": f"fits {number}"}),
            ),
            entries=entries,
        )
        elapsed_seconds = time.monotonic() - started_seconds
        require(
            elapsed_seconds < URGENT_BOUND_SECONDS,
            f"fit check {number} was answered after {elapsed_seconds:.1f} s",
        )
    run_client("operator", "jobs", entries=entries)
    text = run_client("caller", "wait", job_id, entries=entries)
    require(text.count("checked") == 4, "the render returned 4 checked results")
    starts = events_of(deployment, job_id, "task_start")
    worker_ids = sorted({event["worker_id"] for event in starts})
    racks = racks_of(entries, worker_ids)
    require(len(racks) == 1, f"its gang ran on {worker_ids} in one rack, {racks}")


def racks_of(entries, worker_ids):
    """Return the racks of workers, as the operator client shows them."""
    text = run_client("operator", "workers", entries=entries)
    rows = [line.split() for line in text.splitlines()]
    return sorted({row[2] for row in rows if row and row[0] in worker_ids})


def run_catalogue(deployment, first, second):
    """Submit a batch that is not repeatable at two instances; it must run once."""
    payload = json.dumps({"run_seconds": 0.5, "result": "catalogue sent"})
    submission = (
        *("submit", "--organisation", "export-sales", "--tasks-count", 4),
        *("--accelerators-count", 1, "--no-repeatable", "--payload", payload),
        *("--idempotency-key", "accra-lome-december", "--wait-seconds", 20),
    )
    job_ids = {
        job_id_of(run_client("caller", *submission, entries=[entry]))
        for entry in (first, second)
    }
    require(len(job_ids) == 1, "both submissions of the batch are one job")
    effects = events_of(deployment, job_ids.pop(), "task_effect")
    indices = sorted(index for event in effects for index in event["task_indices"])
    require(indices == [0, 1, 2, 3], "the workers ran each of its tasks once")
    text = run_client(
        "caller", *submission, "--tasks-count", 2, entries=[second], exit_code=1
    )
    require("key_conflict" in text, "the same key with another body is refused")


def take_out_and_return(deployment, name, entries):
    """Take a data centre out, show that nothing starts there, and bring it back."""
    text = run_client("operator", "data-centre", "out", name, entries=entries)
    require("recorded as version 2" in text, f"{name} is out")
    run_client("operator", "wait-in-force", 2, entries=entries)
    local = deployment.running_entries(name)
    job_ids = [submit_check(local) for _ in range(3)]
    used = data_centres_of(deployment, job_ids)
    require(name not in used, f"jobs submitted in {name} ran in {sorted(used)}")
    run_client("operator", "status", entries=entries)
    text = run_client("operator", "data-centre", "in", name, entries=entries)
    require("recorded as version 3" in text, f"{name} is back")
    run_client("operator", "wait-in-force", 3, entries=entries)
    used = data_centres_of(deployment, [submit_check(local)])
    require(used == {name}, f"a job submitted in {name} runs there again")


def submit_check(entries):
    """Run a short urgent job until it completes; return its job id."""
    text = run_client(
        "caller",
        *("submit", "--organisation", "foremen", "--tasks-count", 1),
        *("--accelerators-count", 1, "--urgent", "--wait-seconds", 20),
        entries=entries,
    )
    return job_id_of(text)


def data_centres_of(deployment, job_ids):
    """Return the data centres in which any of the jobs started."""
    return {
        event["data_centre"]
        for job_id in job_ids
        for event in events_of(deployment, job_id, "task_start")
    }


def stop_entries(deployment):
    """Stop the entry daemons by SIGTERM; check that each exits with code 0."""
    entries = deployment.running_entries()
    for entry in entries:
        entry.process.terminate()
    deadline_seconds = time.monotonic() + STOP_TIMEOUT_SECONDS
    for entry in entries:
        left_seconds = max(0.1, deadline_seconds - time.monotonic())
        exit_code = entry.process.popen.wait(left_seconds)
        require(exit_code == 0, f"{entry.instance_id} stopped gracefully")


def stay_until_signal(deployment):
    """Print the URLs of the deployment and keep it until a signal."""
    urls = " ".join(entry.url for entry in deployment.running_entries())
    print(f'\nexport {URLS_VARIABLE}="{urls}"')
    print("running until interrupted", flush=True)
    signals = {signal.SIGINT, *ENDING_SIGNALS}
    # Blocked only after all processes have started: they inherit the signal mask.
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    signal.sigwait(signals)


def run_all(deployment, entries):
    """Run and check every part of the demonstration."""
    run_render(deployment, entries)
    run_catalogue(deployment, entries[0], entries[1])
    take_out_and_return(deployment, "obuasi", entries)


def run_on_platform():
    """Run a job on the stand-in of the users' platform and show its state."""
    with start_platform_deployment() as deployment:
        first, second = deployment.instances
        print(f"\nplatform: store at {deployment.store_url}, 2 instances")
        path = "/urgent/00000000000000aa"
        status, _ = first.send_request("POST", path, make_job(gang=True))
        require(status == 200, "the job is stored")
        wait_until(
            lambda: second.send_request("GET", path)[1] == {"state": "completed"},
            "the job is completed",
        )
        require(True, "another instance shows it as completed")
        address = deployment.store_url.removeprefix("http://")
        words = ["status", "--store", address]
        print(f"\n$ python -m kingcuptrack.platform {shlex.join(words)}", flush=True)
        subprocess.run(
            [sys.executable, "-m", "kingcuptrack.platform", *words],
            cwd=ROOT,
            check=True,
            timeout=COMMAND_TIMEOUT_SECONDS,
        )


def main(*, stay: bool = False):
    """Run the demonstration; return the exit code.

    :param stay: only record the lists, then keep the deployment until interrupted
    """
    started_seconds = time.monotonic()
    for number in ENDING_SIGNALS:
        signal.signal(number, signal.default_int_handler)
    try:
        with start_deployment(
            data_centres=DATA_CENTRES, workers_options=WORKERS_OPTIONS
        ) as deployment:
            entries = deployment.running_entries()
            print(f"started {len(entries)} entry instances in {DATA_CENTRES}")
            wait_workers(deployment)
            apply_lists(entries)
            if stay:
                stay_until_signal(deployment)
            else:
                run_all(deployment, entries)
                run_on_platform()
            print()
            stop_entries(deployment)
    except (UnexpectedAnswerError, AssertionError, subprocess.TimeoutExpired) as error:
        print(f"\nthe demonstration failed: {error}", file=sys.stderr)
        return 1
    elapsed_seconds = time.monotonic() - started_seconds
    print(f"\nevery answer was the expected one; took {elapsed_seconds:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main, short={}))
