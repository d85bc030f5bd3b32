"""The bounds of a process in the system, from its settings file: the type is the gateway's in service."""

from __future__ import annotations

from dataclasses import replace

from oakvale.base.limits import MB, MS, SECOND, Limits
from oakvale.config.settings import Settings

RESERVED_DESCRIPTORS = 220  # descriptors that are kept for files and the rest of the process
PEERS = 16  # an eighth of the rest goes to the system's own links


def limits_from_settings(settings: Settings) -> Limits:
    own = max(64, settings.nofile - RESERVED_DESCRIPTORS)
    grace = settings.bounds.grace
    limits = Limits.fill(
        sockets=own - own // 8,
        memory=settings.memory_mb * MB,
        connect=300 * MS,
        backend_idle=9 * SECOND,
        counter_timeout=150 * MS,
        requests=4_000,
    )
    return replace(
        limits,
        header=64 * 1024,
        body=min(64 * MB, limits.bodies),
        answer=min(16 * MB, limits.bodies),
        client_first=6 * SECOND,
        client_send=10 * SECOND,
        client_idle=15 * SECOND,
        client_take=10 * SECOND,
        answer_rest=2 * SECOND,
        patient=True,
        clients_idle=limits.clients,  # one that is new takes the place of one that is idle when it comes, not before
        # the platform looks each second and passes new connections on until two looks failed
        stop_accepting=min(2_600 * MS, grace // 2),
        stop_taking=min(3_000 * MS, grace // 2),
        stop_longest=grace - 300 * MS,
        status=5 * SECOND,
    )
