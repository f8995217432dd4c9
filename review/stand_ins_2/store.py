"""Stand-in of the platform's store: rows, transactions, the feed, worker entries.

    python3 store.py IP PORT RECORD

The path ``/stand-in/put`` is for the operator and the workers, whose rows the system
may not write. Every transaction is applied at once and answered; nothing is lost.
"""

import asyncio
import base64
import contextlib
import json
import sys
import time

from record import note
from wire import serve

ANSWER_SECONDS = 0.004
READ_ROWS_COUNT = 500
# An entry is removed after three heartbeat intervals of silence.
SILENCE_SECONDS = 4.5
FEED_WAIT_SECONDS = 30.0
OWN_TABLES = ("op", "servers")


class Rows:
    """Rows by (table, part, key), as (version, value in Base64), and their history."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.heard_at = {}

    def write(self, puts, removes):
        """Apply changes as one transaction."""
        self.version += 1
        for key, value in puts:
            self.rows[key] = self.version, value
            self.history.append(self.encode(key))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                removed = {"ver": self.version, "removed": True}
                self.history.append({**self.encode(key), **removed})
        self.changed.set()
        self.changed = asyncio.Event()

    def encode(self, key):
        """Return a row as on the wire; one that does not exist has version 0."""
        table, part, name = key
        version, value = self.rows.get(key, (0, ""))
        row = {"table": table, "part": part, "key": name, "ver": version}
        return {**row, "value": value} if version else row

    def stamp(self, answer):
        """Return an answer with the newest version and the clock."""
        now_ms = round(time.monotonic() * 1000)
        return {**answer, "ver": self.version, "now_ms": now_ms}


def key_of(entry):
    """Return the key of a row in a message."""
    return entry["table"], entry.get("part", ""), entry["key"]


def make_handler(store, record):
    """Return the request handler of the store."""

    async def handle(method, path, query, headers, body):
        await asyncio.sleep(ANSWER_SECONDS)
        if path == "/-/rows-get":
            return read(query)
        if path == "/-/rows-tx":
            return transact(body)
        if path == "/-/rows-feed":
            return await follow(query)
        if path == "/stand-in/put":
            return put(body)
        return 404, {}

    def read(query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "")
        names = sorted(
            name
            for t, p, name in store.rows
            if (t, p) == (table, part) and name >= first and (not last or name < last)
        )
        count = min(int(query.get("limit", READ_ROWS_COUNT)), READ_ROWS_COUNT)
        rows = [store.encode((table, part, name)) for name in names[:count]]
        return 200, store.stamp({"rows": rows, "has_more": len(names) > count})

    def transact(body):
        expected = {key_of(entry): entry["ver"] for entry in body.get("expect", [])}
        puts = [(key_of(entry), entry["value"]) for entry in body.get("puts", [])]
        removes = [key_of(entry) for entry in body.get("remove", [])]
        if any(key[0] in OWN_TABLES for key in [*removes, *(key for key, _ in puts)]):
            return 403, {}
        if any(store.rows.get(key, (0,))[0] != ver for key, ver in expected.items()):
            return 412, store.stamp({"rows": [store.encode(key) for key in expected]})
        store.write(puts, removes)
        return 200, store.stamp({})

    async def follow(query):
        after, table = int(query["after"]), query["table"]
        wait_seconds = min(int(query.get("wait_ms", 0)) / 1000, FEED_WAIT_SECONDS)
        end = time.monotonic() + wait_seconds
        while True:
            rows = [
                row
                for row in store.history
                if row["table"] == table and row["ver"] > after
            ]
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                return 200, store.stamp({"rows": rows})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(store.changed.wait(), remaining)

    def put(body):
        key = key_of(body)
        value = base64.b64encode(json.dumps(body["value"]).encode()).decode()
        store.write([(key, value)], [])
        if key[0] == "servers":
            store.heard_at[key] = time.monotonic()
        if body.get("is_noted"):
            note(record, "store", f"{key[0]}/{key[2]} = {json.dumps(body['value'])}")
        return 200, store.stamp({})

    return handle


async def expire_entries(store, record):
    """Remove the entries of workers that have been silent for too long."""
    while True:
        await asyncio.sleep(0.1)
        for key, heard_at in list(store.heard_at.items()):
            if time.monotonic() - heard_at > SILENCE_SECONDS:
                del store.heard_at[key]
                store.write([], [key])
                note(record, "store", f"{key[0]}/{key[2]} removed after its silence")


async def main(ip, port, record):
    """Serve until the process is ended."""
    store = Rows()
    await asyncio.gather(
        serve(ip, int(port), make_handler(store, record)),
        expire_entries(store, record),
    )


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
