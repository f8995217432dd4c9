"""Structured logs: one JSON object a line on standard error."""

import json
import sys
import traceback

from loguru import logger


def configure_logs(*, level, instance_id):
    """Send log records of ``level`` and above to standard error as JSON lines."""

    def write_record(message):
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "instance_id": instance_id,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            exception = record["exception"]
            line["exception"] = "".join(
                traceback.format_exception(
                    exception.type, exception.value, exception.traceback
                )
            )
        sys.stderr.write(json.dumps(line, default=str) + "\n")

    logger.remove()
    logger.add(write_record, level=level, catch=True)


def log_decision(kind, *, choice, reason, **fields):
    """Log one routing or placement decision.

    Parameters
    ----------
    kind : str
        Kind of decision, such as ``"placement"`` or ``"routing"``.
    choice : object
        What was chosen; None if nothing was.
    reason : str
    **fields
        Ids (job, attempt, token) and the runners-up.
    """
    logger.bind(decision=kind, choice=choice, reason=reason, **fields).info(
        "{} decision", kind
    )
