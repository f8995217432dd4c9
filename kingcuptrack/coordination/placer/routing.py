"""Routing of jobs to data centres by compact, lagging capacity summaries."""

import time

import anyio
import attrs

from ...logs import log_decision
from ...outcomes import Done, Refused, Unknown
from ...protocol.messages import SubmitJob
from ...state.placer.guarantees import is_within_guarantee
from ...state.placer.placer_state import is_reclaimable
from ...state.placer.shares import data_centre_shares

# Data centres tried for one job before the caller is told that it was not run.
DATA_CENTRE_TRIES_COUNT = 3


@attrs.frozen(kw_only=True)
class Candidate:
    """A data centre with a live placer."""

    data_centre: str
    placer_id: str
    summary: object


def rank_candidates(candidates, spec, plan, *, own_data_centre):
    """Return candidates in the order to try.

    A job that may only run on guaranteed capacity goes where a guaranteed gang of
    its organisation is unused. Any other job goes where all its tasks fit as one gang
    right now, to the own data centre before others; else where it can reclaim its
    guarantee; else to the shortest queue per accelerator.

    Parameters
    ----------
    candidates : list of Candidate
    spec : JobSpec
    plan : Plan
        Plan of the organisation.
    own_data_centre : str
    """
    needed_count = spec.tasks_count * spec.shape.accelerators_count
    matches_guarantee = is_within_guarantee(plan, spec)
    is_bound_to_guarantee = not is_reclaimable(spec)

    def sort_key(candidate):
        summary = candidate.summary
        unused = summary.unused_guaranteed_gangs_count_by_organisation
        has_guarantee = matches_guarantee and unused.get(spec.organisation, 0) > 0
        fits_now = summary.largest_free_gang_accelerators_count >= needed_count
        load = summary.waiting_jobs_count / max(1, summary.total_accelerators_count)
        return (
            is_bound_to_guarantee and not has_guarantee,
            not fits_now,
            not has_guarantee,
            0.0 if fits_now else round(load, 3),
            candidate.data_centre != own_data_centre,
            load,
            candidate.data_centre,
        )

    return sorted(candidates, key=sort_key)


def _routing_reason(candidate, spec):
    summary = candidate.summary
    needed_count = spec.tasks_count * spec.shape.accelerators_count
    free_count = summary.largest_free_gang_accelerators_count
    unused = summary.unused_guaranteed_gangs_count_by_organisation
    return (
        f"needs {needed_count} accelerators, {free_count} adjacent free, "
        f"{unused.get(spec.organisation, 0)} guaranteed gangs unused, "
        f"{summary.waiting_jobs_count} jobs waiting"
    )


class Router:
    """Chooses a data centre for a job and hands the job to its placer."""

    def __init__(self, *, settings, membership, configuration, job_table, mailbox):
        self._settings = settings
        self._membership = membership
        self._configuration = configuration
        self._job_table = job_table
        self._mailbox = mailbox

    def _candidates_for(self, spec, excluded):
        """Return the candidates where a job may ever run, or all if there is none."""
        candidates = self.candidates(excluded=excluded)
        if is_reclaimable(spec):
            return candidates
        # Work that cannot be reclaimed runs on guaranteed capacity only.
        configuration = self._configuration.current
        data_centres = self._membership.all_data_centres()
        return [
            candidate
            for candidate in candidates
            if data_centre_shares(
                configuration, data_centres, candidate.data_centre
            ).get(spec.organisation)
        ] or candidates

    def candidates(self, *, excluded=()):
        """Return the data centres in service that have a live placer."""
        out = self._configuration.data_centres_out()
        names = {info.data_centre for info in self._membership.live_instances()}
        candidates = []
        for name in sorted(names - out - set(excluded)):
            placer = self._membership.placer_of(name)
            if placer is not None and placer.summary is not None:
                candidates.append(
                    Candidate(
                        data_centre=name,
                        placer_id=placer.instance_id,
                        summary=placer.summary,
                    )
                )
        return candidates

    def choose_data_centre(self, spec, job_id, *, excluded=()):
        """Return the data centre to try next, or None; logs the decision."""
        configuration = self._configuration.current
        plan_name = configuration.plan_by_organisation.get(spec.organisation)
        if plan_name is None:
            return None
        ranked = rank_candidates(
            self._candidates_for(spec, excluded),
            spec,
            configuration.plans[plan_name],
            own_data_centre=self._settings.data_centre,
        )
        choice = ranked[0].data_centre if ranked else None
        log_decision(
            "routing",
            choice=choice,
            reason=_routing_reason(ranked[0], spec) if ranked else "none left",
            runners_up=[candidate.data_centre for candidate in ranked[1:]],
            job_id=job_id,
            organisation=spec.organisation,
        )
        return choice

    async def ask_placer(self, data_centre, message, *, timeout_seconds):
        """Send a request to the placer of a data centre.

        Returns
        -------
        Done, Refused or Unknown
            Refused with code ``no_placer`` if none is known; Unknown if it has not
            answered in time.
        """
        placer = self._membership.placer_of(data_centre)
        if placer is None:
            return Refused(code="no_placer", message=data_centre)
        if placer.instance_id == self._settings.instance_id:
            # The answer about a final job waits until the table has recorded the job,
            # and the table may be unreachable.
            with anyio.move_on_after(timeout_seconds):
                return Done(value=await self._mailbox.call(message))
            return Unknown(message="the placer has not answered in time")
        return await self._membership.call(
            placer, message, timeout_seconds=timeout_seconds
        )

    async def submit(self, data_centre, message):
        """Hand a job to a placer; Refused means that it does not hold the job."""
        outcome = await self.ask_placer(
            data_centre,
            message,
            timeout_seconds=self._settings.peer_call_timeout_seconds,
        )
        if not isinstance(outcome, Done):
            return outcome
        answer = outcome.value
        if answer is None:
            return Unknown(message="the placer is changing")
        if answer.is_accepted:
            return Done()
        return Refused(
            code=answer.code,
            message=answer.message,
            retry_after_seconds=answer.retry_after_seconds,
        )

    async def submit_recorded(self, current):
        """Hand a recorded job to a placer, trying other data centres on refusal.

        Returns
        -------
        outcome : Done, Refused or Unknown
            Unknown if a placer may hold the job; the placer then finds it by the row.
        current : VersionedJob
            The row as it is now.
        """
        excluded = set()
        outcome = Refused(code="no_placer", message="no data centre can take the job")
        for _ in range(DATA_CENTRE_TRIES_COUNT):
            row = current.row
            outcome = await self.submit(
                row.data_centre,
                SubmitJob(
                    job_id=row.job_id,
                    spec=row.spec,
                    row_version=current.version,
                    attempt=row.attempt,
                ),
            )
            if not isinstance(outcome, Refused):
                return outcome, current
            excluded.add(row.data_centre)
            choice = self.choose_data_centre(row.spec, row.job_id, excluded=excluded)
            if choice is None:
                return outcome, current
            moved = await self._job_table.move(current, choice)
            if not isinstance(moved, Done):
                return Unknown(message=moved.message), current
            current = moved.value
        return outcome, current

    def find_free_data_centre(self, spec):
        """Return another data centre that can start a job now, or None.

        A data centre with waiting jobs is not returned, since its free capacity may be
        reserved for them.
        """
        needed_count = spec.tasks_count * spec.shape.accelerators_count
        own = self._settings.data_centre
        for candidate in self._candidates_for(spec, {own}):
            summary = candidate.summary
            unused = summary.unused_guaranteed_gangs_count_by_organisation
            fits_now = summary.largest_free_gang_accelerators_count >= needed_count
            has_guarantee = unused.get(spec.organisation, 0) > 0
            if summary.waiting_jobs_count or not fits_now:
                continue
            if has_guarantee or is_reclaimable(spec):
                return candidate.data_centre
        return None

    async def move_job(self, job, *, data_centre=None):
        """Move a waiting job of a placer to another data centre.

        Parameters
        ----------
        job : OpenJob
        data_centre : str, optional
            Chosen by the ranking if not given.

        Returns
        -------
        bool
            False if the job stays in this data centre.
        """
        own = self._settings.data_centre
        choice = data_centre or self.choose_data_centre(
            job.spec, job.job_id, excluded={own}
        )
        if choice is None:
            return False
        row_version = 0
        if job.row_version:
            read = await self._job_table.read(job.job_id)
            if not isinstance(read, Done) or read.value is None:
                return False
            moved = await self._job_table.move(read.value, choice, attempt=job.token)
            if not isinstance(moved, Done):
                return False
            row_version = moved.value.version
        message = SubmitJob(
            job_id=job.job_id,
            spec=job.spec,
            row_version=row_version,
            may_have_row=job.may_have_row,
            attempt=job.token,
            waited_seconds=time.monotonic() - job.queued_seconds,
        )
        outcome = await self.submit(choice, message)
        if isinstance(outcome, Refused) and row_version:
            returned = await self._job_table.move(moved.value, own)
            if isinstance(returned, Done):
                job.row_version = returned.value.version
                return False
        # The placer of the new data centre scans the table and finds a recorded job.
        return isinstance(outcome, Done) or row_version > 0
