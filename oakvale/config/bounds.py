"""Derives the resource limits of a process from its settings file."""

from __future__ import annotations

from dataclasses import replace

from oakvale.base.limits import MB, MS, SECOND, Limits
from oakvale.config.settings import Settings

RESERVED_DESCRIPTORS = 220  # file descriptors kept for files and the rest of the process
PEERS = 16


def limits_from_settings(settings: Settings) -> Limits:
    """Returns the limits that follow from the descriptors, memory and grace period in `settings`."""
    descriptors = max(64, settings.nofile - RESERVED_DESCRIPTORS)
    grace_us = settings.bounds.grace
    limits = Limits.fill(
        sockets=descriptors - descriptors // 8,  # the rest is for connections to other nodes
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
        answer=min(16 * MB, limits.answers),
        client_first=6 * SECOND,
        client_send=10 * SECOND,
        client_idle=15 * SECOND,
        client_take=10 * SECOND,
        answer_rest=2 * SECOND,
        patient=True,
        clients_idle=limits.clients,  # an idle connection is closed only when a new one needs its slot
        # the platform probes readiness each second and stops sending new connections after two failed probes
        stop_accepting=min(2_600 * MS, grace_us // 2),
        stop_taking=min(3_000 * MS, grace_us // 2),
        stop_longest=grace_us - 300 * MS,
        status=5 * SECOND,
    )
