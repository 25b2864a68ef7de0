"""Runs the store of deployment.py in a process of its own, so that the load of a case does not slow its answers.

Usage: store_process.py IP. Prints the port. What the operator and the engines write arrives as POST /put with a JSON body
of topic, key and value; GET /calls returns the routers' calls so far: [arrival, seconds to the answer, path and topic].
"""

import asyncio
import json
import sys
import time

from deployment import Store


class RecordingStore(Store):
    def __init__(self, ip):
        super().__init__(ip)
        self.calls = []

    async def _answer(self, method, path, query, body):
        if path == "/put":
            record = json.loads(body)
            self.put(record["topic"], record["key"], record["value"])
            return 200, "application/json", json.dumps({"at": time.monotonic()}).encode()
        if path == "/calls":
            return 200, "application/json", json.dumps(self.calls).encode()
        arrival = time.monotonic()
        answer = await super()._answer(method, path, query, body)
        kind = f"{path} {query.get('topic', '')}" + (" (held)" if query.get("waitMs", "0") != "0" else "")
        self.calls.append([arrival, time.monotonic() - arrival, kind])
        return answer


async def main():
    store = RecordingStore(sys.argv[1])
    await store.start()
    print(store.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # Until the case has ended.


asyncio.run(main())
