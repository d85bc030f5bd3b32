"""CONFIG: a route that a configuration adds is never served, as its service was slower for another route before."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness2 as h

HOST = "desk.example"
BEFORE_S, APPLY_S, AFTER_S = 10.0, 2.5, 30.0  # usual traffic; the bound `apply`; what is judged
PER_S = 5.0  # requests a second, for each route and edge machine
WORK_S = {"/records/": 1.2, "/calendar/": 0.1, "/status/": 0.05}  # of a backend
DEADLINE_MS = {"/records/": 3_000, "/calendar/": 3_000, "/status/": 1_000}


def work(request: h.Message) -> float:
    """Seconds that a backend works on a request."""
    return next(seconds for prefix, seconds in WORK_S.items() if f" {prefix}" in request.first)


def route(prefix: str, service: str) -> list[object]:
    """A route; its requests may be repeated twice, as in the site."""
    deadline = DEADLINE_MS[prefix]
    name = prefix.strip("/")
    return [name, HOST, prefix, "safe", f"{deadline}ms", f"{deadline // 2}ms", 2, None, 2, True, service]


class Traffic:
    """Clients of some routes at all edge machines; counts the answers by route."""

    def __init__(self, deployment: h.Deployment) -> None:
        self.deployment, self.number = deployment, 0
        self.statuses: dict[str, dict[str, int]] = {}

    async def _ask(self, edge: str, prefix: str) -> None:
        self.number += 1
        name, deadline = f"c{self.number}", DEADLINE_MS[prefix]
        request = h.render("GET", f"{prefix}x", HOST, {"Attempt-Id": name, "Time-Left": str(deadline)})
        self.deployment.record("client sends", name, prefix, "to", edge)
        answer = await h.exchange(self.deployment.http(edge), request, deadline / 1000 + 0.5)
        status = "none" if answer is None else str(answer.status)
        self.deployment.record("client gets", name, status, "" if answer is None else answer.body[:40])
        counts = self.statuses.setdefault(prefix, {})
        counts[status] = counts.get(status, 0) + 1

    async def run(self, prefixes: list[str], seconds: float) -> dict[str, dict[str, int]]:
        """Sends requests and waits for all answers; returns the counts of this time."""
        self.statuses, tasks = {}, []
        for _ in range(int(seconds * PER_S)):
            for edge in self.deployment.edge:
                tasks += [asyncio.create_task(self._ask(edge, prefix)) for prefix in prefixes]
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        return self.statuses


def served(counts: dict[str, int]) -> float:
    return counts.get("200", 0) / max(1, sum(counts.values()))


async def play(record: h.Record) -> int:
    deployment = h.Deployment(record)
    names = ["recallbook", "chairview"]
    backends = [h.Backend(deployment, names[n % 2], work, n, slots=8) for n in range(6)]
    traffic = Traffic(deployment)

    async def configure(gen: int, routes: list[list[object]]) -> None:
        body = h.configuration(gen, routes, names)
        answer = await h.ctl_call(deployment, "POST", "/oakvale/Config.Replace", body, timeout=3)
        record(f"configuration {gen}:", answer.status, [row[0] for row in routes])

    try:
        deployment.start_all()
        for backend in backends:
            await backend.start()
        await configure(1, [route("/records/", "recallbook"), route("/calendar/", "chairview")])
        await h.until(lambda: h.edges_ready(deployment), "edge machines ready", 20)
        before = await traffic.run(["/records/", "/calendar/"], BEFORE_S)
        record("before:", before)
        if served(before["/records/"]) < 0.9 or served(before["/calendar/"]) < 0.9:
            return h.NOT_RUN
        added = "/records/"
        if h.TROUBLE:
            added = "/status/"
            await configure(2, [route("/calendar/", "chairview"), route("/status/", "recallbook")])
        await asyncio.sleep(APPLY_S)
        after = await traffic.run([added, "/calendar/"], AFTER_S)
        record("after:", after)
        print("after:", after)
        broken = sum(after[added].values()) >= 20 and served(after[added]) < served(after["/calendar/"]) / 4
        if h.TROUBLE:  # not judged: what a new process does
            deployment.signal("edge-0", signal.SIGTERM)
            await asyncio.to_thread(deployment.processes["edge-0"].wait, 8)
            deployment.start("edge-0")
            await h.until(lambda: h.edges_ready(deployment), "edge machines ready again", 15)
            deployment.edge = ["edge-0"]
            record("at the restarted edge-0:", await traffic.run([added], 4.0))
        return h.BROKEN if broken else h.HELD
    finally:
        for backend in backends:
            backend.stop()
        deployment.close()


if __name__ == "__main__":
    h.main(Path(__file__).resolve().parent / "record.txt", play)  # written anew by each run
