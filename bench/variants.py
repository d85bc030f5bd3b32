"""Generates random deployments: copies of site files with changed machines, networks, bounds, tenants and backends.

    variants.py SITE... --seeds N... --out DIR [--regions N]

Writes DIR/NAME-SEED.toml, a site for `fleetbench hunt`, for each site and seed, and prints a line with the changes. The
same seed gives the same changes. They concern the core machines, how many of them or of the zones may fail, their links
and disks, the network between zones, the bounds of the rules, the heartbeats of backends, tenants and their quotas, and
how backends keep connections and reject requests. The load of a zone's machines stays. Bounds may come out tighter than
in any real deployment, so check a broken rule by hand.
"""

import argparse
import random
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

# core machines of each zone, in turn; then how many machines and how many zones may fail
CORE_LAYOUTS = ((1, 1, 1, 1, 0), (1, 1, 2, 1, 0), (2, 1, 2, 2, 0), (2, 2, 3, 3, 0), (2, 2, 2, 2, 1), (1, 1, 1, 1, 1))
CORE_LINKS_MBPS = (2.0, 4.0, 20.0, 1000.0)
DISK_SYNC_MS = (1, 5, 20, 40)


def scale_value(rng: random.Random, table: dict[str, Any], key: str, min_factor: float, max_factor: float) -> str:
    """Scales a value of the table by a random factor; returns a description."""
    original = table[key]
    table[key] = type(original)(round(original * rng.uniform(min_factor, max_factor), 2))
    return f"{key} {table[key]:.4g}"


def vary_core(rng: random.Random, site: dict[str, Any]) -> list[str]:
    """Changes counts, links and disks of the core machines, which have one entry for each zone."""
    core_machines = [machine for machine in site["machines"] if machine["class"] == "core"]
    *counts_by_zone, tolerated_machines, tolerated_zones = rng.choice(CORE_LAYOUTS)
    link_mbps, sync_ms = rng.choice(CORE_LINKS_MBPS), rng.choice(DISK_SYNC_MS)
    for index, machine in enumerate(core_machines):
        machine["count"] = (
            max(1, machine["count"], counts_by_zone[index % len(counts_by_zone)])
            if len(core_machines) > 1
            else sum(counts_by_zone)
        )
        machine["link_mbps"] = min(machine["link_mbps"], link_mbps)
        machine["disk"]["sync_ms"] = sync_ms
    total = sum(machine["count"] for machine in core_machines)
    site["tolerate"]["machines"] = min(tolerated_machines, (total - 1) // 2)
    site["tolerate"]["zones"] = tolerated_zones
    tolerance = f"tolerate {site['tolerate']['machines']}, zones {tolerated_zones}"
    return [f"{total} core", tolerance, f"link {link_mbps:g}", f"sync {sync_ms}"]


def assign_regions(site: dict[str, Any], count: int) -> list[str]:
    """Distributes the zones over regions; with three or more, any one of them may fail."""
    for index, zone in enumerate(site["zones"]):
        zone["region"] = f"region-{index % count + 1}"
    site["tolerate"]["regions"] = int(count > 2)
    return [f"{count} regions, tolerate {site['tolerate']['regions']}"]


def vary_site(site: dict[str, Any], seed: int, count: int) -> list[str]:
    """Changes `site` in place; returns descriptions of the changes."""
    rng = random.Random(seed)
    changes = vary_core(rng, site) + (assign_regions(site, count) if count else [])
    changes += [scale_value(rng, site["net"], key, 0.5, 3.0) for key in ("in_zone_ms", "cross_zone_ms")]
    changes += [scale_value(rng, site["discovery"], key, 0.7, 1.5) for key in ("beat_ms", "lag_ms")]
    changes += [
        scale_value(rng, site["bounds"], key, 0.8, 1.6) for key in ("touch_ms", "ack_ms", "config_ms", "grace_s")
    ]
    changes += [
        scale_value(rng, site["tenants"], "quota_x", 0.8, 1.5),
        scale_value(rng, site["tenants"], "count", 0.5, 4.0),
    ]
    for service in site["services"]:
        service["idle_close_ms"] = rng.choice((2500, service["idle_close_ms"], 15000))
        service["on_full"] = rng.choice((service["on_full"], "reset"))
        service["handshake_ms"] = rng.choice((0.5, 1.0, 4.0))
    changes.append("idle_close " + "/".join(f"{service['idle_close_ms']:g}" for service in site["services"]))
    return changes


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--seeds", type=int, nargs="+", required=True)
    parser.add_argument(
        "--regions", type=int, default=0, help="number of regions to distribute the zones over; 0 keeps them"
    )
    parser.add_argument("--out", type=Path, required=True)
    options = parser.parse_args(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    for path in options.sites:
        for companion in (path.with_name("wire.json"), path.with_suffix(".days")):
            if companion.exists():
                shutil.copy(companion, options.out / companion.name)
        for seed in options.seeds:
            site = tomllib.loads(path.read_text())
            site["name"] = name = f"{path.stem}-{seed}" + (f"-{options.regions}r" if options.regions else "")
            changes = vary_site(site, seed, options.regions)
            (options.out / f"{name}.toml").write_text(tomli_w.dumps(site))
            print(f"{name}: {', '.join(changes)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
