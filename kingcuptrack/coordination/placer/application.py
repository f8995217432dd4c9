"""HTTP routes for callers and operators."""

import re

import attrs
from loguru import logger
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ...findings import Finding, Place
from ...protocol.bodies import (
    JobBody,
    encode_body,
    encode_findings,
    parse_job_spec,
    parse_lists_body,
)

JOB_ID_PATTERN = re.compile("[0-9a-f]{32}")


class BodyTooLargeError(Exception):
    """The body of a request exceeds the limit."""


def make_application(*, settings, front, operator_requests, is_ready):
    """Return the ASGI application of an entry instance.

    Parameters
    ----------
    settings : Settings
    front : Front
    operator_requests : OperatorRequests
    is_ready : callable
        Whether this instance can serve requests.
    """

    async def read_body(request):
        chunks = []
        size_bytes = 0
        async for chunk in request.stream():
            size_bytes += len(chunk)
            if size_bytes > settings.request_body_limit_bytes:
                raise BodyTooLargeError
            chunks.append(chunk)
        return b"".join(chunks)

    def parse_wait(request):
        """Return the wait of a request, or None if it is malformed."""
        try:
            wait_seconds = float(request.query_params.get("wait_seconds", "0"))
        except ValueError:
            return None
        if not 0.0 <= wait_seconds <= settings.wait_limit_seconds:
            return None
        return wait_seconds

    def wait_findings():
        message = f"must be a number from 0 to {settings.wait_limit_seconds:g}"
        place = Place(file="query", key="wait_seconds")
        return [Finding(place=place, message=message)]

    async def submit(request):
        wait_seconds = parse_wait(request)
        spec, findings = parse_job_spec(await read_body(request))
        if wait_seconds is None:
            findings = wait_findings() + findings
        if findings:
            return findings_response(findings, outcome="not_run")
        return job_response(await front.submit(spec, wait_seconds=wait_seconds))

    async def read_job(request):
        wait_seconds = parse_wait(request)
        if wait_seconds is None:
            # The job may run, so the answer has no outcome.
            return findings_response(wait_findings())
        job_id = request.path_params["job_id"]
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return unknown_job_response(job_id)
        return job_response(await front.read(job_id, wait_seconds=wait_seconds))

    async def cancel_job(request):
        job_id = request.path_params["job_id"]
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return unknown_job_response(job_id)
        return job_response(await front.cancel(job_id))

    async def read_configuration(request):
        status, body = operator_requests.read_configuration()
        return JSONResponse(body, status_code=status)

    async def check_configuration(request):
        lists, findings = parse_lists_body(await read_body(request))
        if findings:
            return findings_response(findings)
        status, body = await operator_requests.check_lists(lists)
        return JSONResponse(body, status_code=status)

    async def set_configuration(request):
        lists, findings = parse_lists_body(await read_body(request))
        if findings:
            return findings_response(findings, outcome="not_recorded")
        status, body = await operator_requests.set_lists(lists)
        return JSONResponse(body, status_code=status)

    async def take_out(request):
        status, body = await operator_requests.take_out(request.path_params["name"])
        return JSONResponse(body, status_code=status)

    async def bring_back(request):
        status, body = await operator_requests.bring_back(request.path_params["name"])
        return JSONResponse(body, status_code=status)

    async def read_status(request):
        return JSONResponse(await operator_requests.read_status())

    async def read_status_jobs(request):
        names, descriptions = await operator_requests.describe_data_centres()
        jobs = [
            {"data_centre": name, **attrs.asdict(job)}
            for name, description in sorted(descriptions.items())
            for job in description.jobs
        ]
        unanswered = [name for name in names if name not in descriptions]
        return JSONResponse({"jobs": jobs, "unanswered_data_centres": unanswered})

    async def health(request):
        ready = is_ready()
        return JSONResponse({"is_ready": ready}, status_code=200 if ready else 503)

    async def body_too_large(request, error):
        message = f"larger than {settings.request_body_limit_bytes} bytes"
        finding = Finding(place=Place(file="body"), message=message)
        is_job = request.url.path.startswith("/v1/jobs")
        outcome = "not_run" if is_job else "not_recorded"
        return findings_response([finding], status=413, outcome=outcome)

    async def http_error(request, error):
        body = {"code": "no_such_call", "reason": error.detail}
        return JSONResponse(body, status_code=error.status_code, headers=error.headers)

    async def client_disconnected(request, error):
        # The client cannot receive the answer; the body was incomplete, so that
        # nothing was done.
        return Response(status_code=400)

    async def internal_error(request, error):
        # The request may have taken effect before the error.
        logger.opt(exception=error).error("request to {} failed", request.url.path)
        body = {"outcome": "unknown", "reason": "internal error; see the log"}
        return JSONResponse(body, status_code=500)

    return Starlette(
        routes=[
            Route("/v1/jobs", submit, methods=["POST"]),
            Route("/v1/jobs/{job_id}", read_job, methods=["GET"]),
            Route("/v1/jobs/{job_id}", cancel_job, methods=["DELETE"]),
            Route("/v1/configuration", read_configuration, methods=["GET"]),
            Route("/v1/configuration", set_configuration, methods=["PUT"]),
            Route("/v1/configuration/check", check_configuration, methods=["POST"]),
            Route("/v1/data-centres/{name}/out", take_out, methods=["POST"]),
            Route("/v1/data-centres/{name}/in", bring_back, methods=["POST"]),
            Route("/v1/status", read_status, methods=["GET"]),
            Route("/v1/status/jobs", read_status_jobs, methods=["GET"]),
            Route("/health", health, methods=["GET"]),
        ],
        exception_handlers={
            BodyTooLargeError: body_too_large,
            ClientDisconnect: client_disconnected,
            HTTPException: http_error,
            Exception: internal_error,
        },
    )


def findings_response(findings, *, status=422, outcome=""):
    """Return the response to a request that has findings and changed nothing."""
    body = {"code": "findings", "findings": encode_findings(findings)}
    if outcome:
        body = {"outcome": outcome, **body}
    return JSONResponse(body, status_code=status)


def unknown_job_response(job_id):
    """Return the response about an id that no job can have."""
    reason = "no such job; a job id has 32 hexadecimal digits"
    body = JobBody(job_id=job_id, outcome="unknown", code="unknown_job", reason=reason)
    return JSONResponse(encode_body(body), status_code=404)


def job_response(reply):
    """Return the response for a reply of the front."""
    headers = {}
    if reply.body.retry_after_seconds:
        headers["retry-after"] = str(max(1, round(reply.body.retry_after_seconds)))
    return JSONResponse(
        encode_body(reply.body), status_code=reply.status, headers=headers
    )
