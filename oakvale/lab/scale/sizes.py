"""The sizes that are played, the size that is designed for, and a configuration of each."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

ZONES = {"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b", "b3": "b", "b4": "b"}  # zone -> region
NAMES = tuple(ZONES)
CORE = ("a1", "a2", "b1", "b2")  # zones of the machines set aside; the first three are the seeds
BEAT = 1.5  # seconds between two beats of a backend


@dataclass(slots=True, frozen=True)
class Size:
    gateways: int
    backends: int
    services: int
    routes: int
    tenants: int

    def told(self) -> dict[str, int]:
        return asdict(self)


PLANNED = Size(470, 4400, 180, 6900, 25_000)
SIZES = (Size(30, 280, 18, 700, 2500), Size(100, 940, 40, 1500, 5400), Size(235, 2200, 90, 3450, 12_500), PLANNED)
SMALL = Size(10, 40, 4, 50, 100)  # in the tests


def size_of(gateways: int) -> Size:
    """One of those above, or one like them. Raises ValueError."""
    if gateways < 4:
        raise ValueError("fewer than 4 gateways")
    for size in (SMALL, *SIZES):
        if size.gateways == gateways:
            return size
    share = gateways / PLANNED.gateways
    return Size(
        gateways,
        *(
            max(4, round(count * share))
            for count in (PLANNED.backends, PLANNED.services, PLANNED.routes, PLANNED.tenants)
        ),
    )


def configuration(size: Size, gen: int) -> bytes:
    """In rows, as operators send it: two keys a tenant; 2.3 MB at the planned size."""
    routes: list[list[Any]] = [
        [
            f"route-{n}",
            f"svc-{n % size.services}.example",
            f"/v{gen % 10}/area-{n // size.services}/",
            "safe" if n % 3 else "unsafe",
            "1200ms",
            "300ms",
            2,
            f"svc-{n % size.services}",
        ]
        for n in range(size.routes)
    ]
    tenants = [
        [f"tenant-{n}", [f"k{n:06d}-first-key", f"k{n:06d}-other-key"], 100_000, 100_000] for n in range(size.tenants)
    ]
    return json.dumps(
        {
            "gen": gen,
            "limits": {"hdr-bytes": 16384, "body-bytes": 65536, "hdr": "3000ms", "idle": "15000ms"},
            "routes": {
                "cols": ["name", "vhost", "prefix", "type", "deadline", "target_time", "tries", "svc"],
                "rows": routes,
            },
            "svcs": {"cols": ["name", "hcheck"], "rows": [[f"svc-{n}", "/healthz"] for n in range(size.services)]},
            "tenants": {"cols": ["name", "apikeys", "rate-per-s", "burst"], "rows": tenants},
        },
        separators=(",", ":"),
    ).encode()
