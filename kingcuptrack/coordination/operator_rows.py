"""Access to the rows that operators write: the configuration and the closures.

The configuration can be larger than the link of an instance carries in the interval
between two reads. Its changes can be read without it.
"""

import functools

import attrs

from ..outcomes import Done
from .ports import Operators, PolicyRead


def make_operators(store, *, policy_key, closure_prefix, decode_policy):
    """Return the `Operators` port over a `Store`.

    Parameters
    ----------
    store : Store
    policy_key : RowKey
        Key of the configuration row; the other rows are in the same table.
    closure_prefix : str
        Prefix of the keys of rows that take a data centre out of service.
    decode_policy : callable
        Returns the `ClusterPolicy` of the configuration row, or None if unreadable.
    """
    table = policy_key.table
    # The row is read about once a second and has hundreds of routes on large
    # deployments, so that it is decoded only when its version changes.
    decoded = {"row_version": 0, "policy": None}

    def decode_once(row):
        if row.version != decoded["row_version"]:
            decoded["policy"] = decode_policy(row)
            decoded["row_version"] = row.version
        return decoded["policy"]

    def apply_rows(rows_read, closed_data_centres):
        policy, size_bytes, closed = None, 0, set(closed_data_centres)
        for row in rows_read.rows:
            if row.key == policy_key and not row.is_removed:
                policy, size_bytes = decode_once(row), len(row.value)
            elif row.key.key.startswith(closure_prefix):
                data_centre = row.key.key.removeprefix(closure_prefix)
                (closed.discard if row.is_removed else closed.add)(data_centre)
        return PolicyRead(
            policy=policy,
            closed_data_centres=frozenset(closed),
            store_version=rows_read.version,
            size_bytes=size_bytes,
            is_changed=bool(rows_read.rows),
        )

    async def read(*, timeout_seconds, note_begun=None):
        outcome = await store.read(
            table=table,
            part=policy_key.part,
            first="",
            last="",
            timeout_seconds=timeout_seconds,
            note_begun=note_begun,
        )
        if not isinstance(outcome, Done):
            return outcome
        return Done(value=apply_rows(outcome.value, ()))

    async def follow(
        *, after_version, closed_data_centres, timeout_seconds, note_begun=None
    ):
        outcome = await store.follow(
            table=table,
            after_version=after_version,
            wait_seconds=0.0,
            timeout_seconds=timeout_seconds,
            note_begun=note_begun,
        )
        if not isinstance(outcome, Done):
            return outcome
        return Done(value=apply_rows(outcome.value, closed_data_centres))

    return Operators(
        read=read,
        follow=follow,
        policy_key=policy_key,
        decode_policy=decode_policy,
        closure_key=functools.partial(closure_key, policy_key, closure_prefix),
    )


def closure_key(policy_key, closure_prefix, data_centre):
    """Return the key of the row that takes a data centre out of service."""
    return attrs.evolve(policy_key, key=closure_prefix + data_centre)
