"""Stand-in of the platform's store, in memory.

    python3 -m review.stand_ins_3.store IP:PORT

Beside the calls of the store it takes ``PUT /stand-in/op/KEY`` and ``DELETE`` of the
same path from the operator, and ``PUT /stand-in/servers/ID`` from workers. Entries of
workers are removed after three heartbeat intervals of silence.
"""

import asyncio
import base64
import json
import sys
import time

from .http import serve

HEARTBEAT_SECONDS = 1.5
ANSWER_SECONDS = 0.004
FEED_LIMIT_SECONDS = 30.0
ROWS_LIMIT_COUNT = 500
ENTRIES_LIMIT_COUNT = 100
ROW_LIMIT_BYTES = 65_536


class Store:
    """Rows by (table, part, key) as (version, Base64 value), and their history."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        self.heard_at = {}

    def write(self, puts, removes):
        """Apply one transaction."""
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = self.version, value
            self.history.append((self.version, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def describe(self, key):
        """Return a row, which may not exist, for an answer."""
        version, value = self.rows.get(key, (0, ""))
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "ver": version,
            "value": value,
        }

    def answer(self, **fields):
        """Return an answer about rows."""
        return {"ver": self.version, "now_ms": round(time.monotonic() * 1000), **fields}

    def read(self, query):
        """Answer a read of a range."""
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", ROWS_LIMIT_COUNT)), ROWS_LIMIT_COUNT)
        keys = sorted(
            (
                key
                for key in self.rows
                if key[:2] == (table, part)
                and key[2] >= first
                and (not last or key[2] < last)
            ),
            key=lambda key: key[2].encode(),
        )
        rows = [self.describe(key) for key in keys[:limit]]
        return 200, self.answer(rows=rows, has_more=len(keys) > limit)

    def transact(self, body):
        """Answer a transaction."""
        expect, puts, removes = (
            body.get(name, []) for name in ("expect", "puts", "remove")
        )
        count = len(expect) + len(puts) + len(removes)
        sizes = [len(entry["value"]) for entry in puts]
        if count > ENTRIES_LIMIT_COUNT or max(sizes, default=0) > ROW_LIMIT_BYTES:
            return 400, {"error": f"{count} entries, {max(sizes, default=0)} bytes"}
        if any(entry["table"] in ("op", "servers") for entry in [*puts, *removes]):
            return 403, {"error": "the system may not write here"}
        conditions = {_key_of(entry): entry["ver"] for entry in expect}
        if any(self.rows.get(key, (0,))[0] != ver for key, ver in conditions.items()):
            rows = [self.describe(key) for key in conditions]
            return 412, self.answer(rows=rows)
        self.write(
            {_key_of(entry): entry["value"] for entry in puts},
            [_key_of(entry) for entry in removes],
        )
        return 200, self.answer()

    async def follow(self, query):
        """Answer a request for changes as soon as there is one."""
        table, after = query["table"], int(query["after"])
        wait_seconds = min(int(query.get("wait_ms", 0)) / 1000, FEED_LIMIT_SECONDS)
        end_seconds = time.monotonic() + wait_seconds
        while True:
            rows = []
            for version, key, value in self.history:
                if version > after and key[0] == table:
                    row = {"table": key[0], "part": key[1], "key": key[2]}
                    row |= {"ver": version, "value": value or ""}
                    rows.append(row if value is not None else row | {"removed": True})
            remaining_seconds = end_seconds - time.monotonic()
            if rows or remaining_seconds <= 0:
                return 200, self.answer(rows=rows)
            try:
                async with asyncio.timeout(remaining_seconds):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def expire(self):
        """Remove the entries of silent workers."""
        while True:
            await asyncio.sleep(0.2)
            oldest = time.monotonic() - 3 * HEARTBEAT_SECONDS
            for name, at in list(self.heard_at.items()):
                if at < oldest:
                    del self.heard_at[name]
                    self.write({}, [("servers", "", name)])

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        await asyncio.sleep(ANSWER_SECONDS)
        if path == "/-/rows-get":
            return self.read(query)
        if path == "/-/rows-tx":
            return self.transact(body)
        if path == "/-/rows-feed":
            return await self.follow(query)
        if path.startswith("/stand-in/"):
            _, _, table, name = path.split("/", 3)
            key = table, "", name
            if method == "DELETE":
                self.heard_at.pop(name, None)
                self.write({}, [key])
            else:
                if table == "servers":
                    self.heard_at[name] = time.monotonic()
                value = base64.b64encode(json.dumps(body).encode()).decode()
                self.write({key: value}, [])
            return 200, self.answer()
        return 404, {"error": path}


def _key_of(entry):
    return entry["table"], entry.get("part", ""), entry["key"]


async def _main(address):
    ip, port = address.split(":")
    store = Store()
    expiry = asyncio.create_task(store.expire())
    await serve(store.handle, ip, int(port))
    await expiry


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
