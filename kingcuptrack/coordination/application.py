"""HTTP routes for callers and operators."""

import attrs
from loguru import logger
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from ..findings import Finding, Place
from ..protocol.bodies import (
    encode_body,
    encode_findings,
    parse_job_spec,
    parse_lists_body,
)


class BodyTooLargeError(Exception):
    """The body of a request exceeds the limit."""


def make_application(*, settings, front, operators, is_ready):
    """Return the ASGI application of an entry instance.

    Parameters
    ----------
    settings : Settings
    front : Front
    operators : Operators
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

    def read_wait(request):
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
        return invalid([Finding(place=place, message=message)])

    async def submit(request):
        wait_seconds = read_wait(request)
        if wait_seconds is None:
            return wait_findings()
        spec, findings = parse_job_spec(await read_body(request))
        if findings:
            return invalid(findings)
        return job_response(await front.submit(spec, wait_seconds=wait_seconds))

    async def read_job(request):
        wait_seconds = read_wait(request)
        if wait_seconds is None:
            return wait_findings()
        job_id = request.path_params["job_id"]
        return job_response(await front.read(job_id, wait_seconds=wait_seconds))

    async def cancel_job(request):
        return job_response(await front.cancel(request.path_params["job_id"]))

    async def read_configuration(request):
        status, body = operators.read_configuration()
        return JSONResponse(body, status_code=status)

    async def check_configuration(request):
        lists, findings = parse_lists_body(await read_body(request))
        if findings:
            return invalid(findings)
        status, body = operators.check_lists(lists)
        return JSONResponse(body, status_code=status)

    async def set_configuration(request):
        lists, findings = parse_lists_body(await read_body(request))
        if findings:
            return invalid(findings)
        status, body = await operators.set_lists(lists)
        return JSONResponse(body, status_code=status)

    async def take_out(request):
        status, body = await operators.take_out(request.path_params["name"])
        return JSONResponse(body, status_code=status)

    async def bring_back(request):
        status, body = await operators.bring_back(request.path_params["name"])
        return JSONResponse(body, status_code=status)

    async def read_status(request):
        names, descriptions = await operators.describe()
        configuration = operators.read_configuration()[1]
        body = {
            "data_centres": [
                describe_data_centre(name, descriptions, configuration)
                for name in names
            ],
            "in_force": configuration["in_force"],
            "version": configuration["version"],
        }
        return JSONResponse(body)

    async def read_status_jobs(request):
        _, descriptions = await operators.describe()
        jobs = [
            {"data_centre": name, **attrs.asdict(job)}
            for name, description in sorted(descriptions.items())
            for job in description.jobs
        ]
        return JSONResponse({"jobs": jobs})

    async def health(request):
        ready = is_ready()
        return JSONResponse({"is_ready": ready}, status_code=200 if ready else 503)

    async def too_large(request, error):
        message = f"larger than {settings.request_body_limit_bytes} bytes"
        finding = Finding(place=Place(file="body"), message=message)
        return invalid([finding], status=413)

    async def fail(request, error):
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
        exception_handlers={BodyTooLargeError: too_large, Exception: fail},
    )


def describe_data_centre(name, descriptions, configuration):
    """Return the JSON description of one data centre for operators."""
    description = descriptions.get(name)
    body = {
        "data_centre": name,
        "is_in_service": name not in configuration["data_centres_out"],
        "placer_id": None,
        "workers": [],
        "jobs_count": 0,
    }
    if description is not None:
        body["placer_id"] = description.placer_id
        body["workers"] = [attrs.asdict(worker) for worker in description.workers]
        body["jobs_count"] = len(description.jobs)
    return body


def invalid(findings, *, status=422):
    """Return the response to a request that has findings; it did not run."""
    body = {"outcome": "not_run", "findings": encode_findings(findings)}
    return JSONResponse(body, status_code=status)


def job_response(reply):
    """Return the response for a reply of the front."""
    headers = {}
    if reply.body.retry_after_seconds:
        headers["retry-after"] = str(max(1, round(reply.body.retry_after_seconds)))
    return JSONResponse(
        encode_body(reply.body), status_code=reply.status, headers=headers
    )
