"""Generates random days in which faults of every kind overlap and recur.

    draw.py SEED... --out DIR [--grown] [--changes N] [--leaving N] [--all-variants]

Writes DIR/drawn-SEED.toml, a day for `fleetbench run` and for `hardening.py play`. The same seed gives the same day.
The standard days take their faults from the list of a site and keep some apart; these days take every kind that
`fleetbench kinds` lists, at any time and on any site. Times are seconds from the start of traffic. The bench delays or
reduces faults that would lose more core machines than a site tolerates.

--grown         also kinds that only the grown sites know
--changes       this many more configuration changes, spread over the day
--leaving       this many bursts during which clients disconnect early; needs the newer bench
--all-variants  also kinds and variants that only the newer bench lists, and closing faults at any acknowledgement
"""

import argparse
import random
import sys
from pathlib import Path

CHANGE_VARIANTS = ("route", "weights", "timeout", "tenant", "quota", "idle")
BAD_CONFIG_VARIANTS = ("old_version", "same_version", "cut_short", "unknown_service", "same_place", "")
TARGET_VARIANTS = ("", "leader", "reader", "seed")
FOLLOW_UP_VARIANTS = ("", "meet", "race", "hard", "drain", "meet race")
CUT_VARIANTS = ("", "one_way", "seeds", "both")
CONNECTION_END_VARIANTS = ("", "reset", "refuse")
CLOSINGS = (("power_off_all", ""), ("wipe_after_ack", "aimed"), ("wipe_after_ack", "timed"), ("kill_all", ""), ("", ""))

NEWER_CLOSINGS = (
    ("power_off_all", "taken"),
    ("power_off_all", "timed"),
    ("wipe_after_ack", "oldest"),
    ("wipe_after_ack", "taken"),
    ("kill_all", "timed"),
)

Entry = dict[str, str | float | int]


def draw_planned_work(rng: random.Random) -> Entry:
    """Draws one entry of planned work, without its time."""
    kind = rng.choice(
        ["config_change"] * 4 + ["config_race", "bad_config", "revoke", "release", "scale_in", "scale_out"]
    )
    if kind == "config_change":
        return {"kind": kind, "how": rng.choice(CHANGE_VARIANTS)}
    if kind in ("config_race", "bad_config", "revoke"):
        entry: Entry = {"kind": kind, "count": rng.randint(2, 6), "gap_s": round(rng.uniform(0.2, 1.5), 2)}
        return entry | ({"how": rng.choice(BAD_CONFIG_VARIANTS)} if kind == "bad_config" else {})
    if kind == "release":
        return {"kind": kind, "share": round(rng.uniform(0.1, 0.4), 2), "x": 1.0, "gap_s": 1.0}
    if kind == "scale_in":
        return {"kind": kind, "share": 0.12, "how": rng.choice(("", "spot"))}
    return {"kind": kind, "share": 0.2, "gap_s": 3.0}


def join_variants(rng: random.Random, *choices: tuple[str, ...]) -> str:
    """Draws one variant from each tuple and joins those that are not empty."""
    return " ".join(filter(None, (rng.choice(each) for each in choices)))


def draw_newer_fault(rng: random.Random, grown: bool) -> Entry:
    """Draws one fault of a kind or variant that only the newer bench lists, without its time."""
    duration_s = round(rng.uniform(1.0, 7.0), 1)
    share = round(rng.uniform(0.1, 0.4), 2)
    cut = rng.choice(("split", "behind", "near", "oldest", "all", "lure", "relieve", "split meet", "one_way turn"))
    all_sites: list[Entry] = [
        {"kind": "core_cut", "count": 1, "for_s": duration_s, "how": cut},
        {"kind": "core_cut", "count": 1, "for_s": duration_s, "how": cut},
        {"kind": "herd_kill", "on": "core", "for_s": duration_s, "how": rng.choice(("off", "taken", "taken all"))},
        {"kind": "after_ack_wipe", "for_s": duration_s, "how": rng.choice(("oldest", "taken", "timed oldest"))},
        {"kind": "after_ack_kill", "for_s": duration_s, "how": "taken gone"},
        {"kind": "replace_core", "x": 1.0, "how": rng.choice(("oldest", "planned oldest"))},
        {
            "kind": "node_kill",
            "on": "core",
            "count": 1,
            "for_s": duration_s,
            "how": rng.choice(("giver", "turn drain")),
        },
        {"kind": "node_cut", "share": share, "for_s": duration_s, "how": rng.choice(("all", "servers"))},
        {"kind": "garble", "share": share, "x": 0.03, "for_s": duration_s, "how": rng.choice(("unframed", "early"))},
        {"kind": "scale_in", "share": 0.12, "x": 2.5, "for_s": duration_s, "how": "reclaim"},
        {"kind": "srv_crash", "share": 0.15, "for_s": duration_s, "how": rng.choice(("domain", "dark"))},
        {"kind": "retry_abuse", "share": 0.3, "x": 3.0, "for_s": duration_s},
        {"kind": "give_up", "share": 0.4, "x": 250.0, "for_s": duration_s},
    ]
    only_grown: list[Entry] = [
        {"kind": "srv_cut", "share": 0.2, "for_s": duration_s, "how": rng.choice(("", "fronts", "some"))},
        {"kind": "srv_lying_health", "share": 0.1, "for_s": duration_s, "how": rng.choice(("errors", "hang", "bad"))},
        {"kind": "srv_grey", "share": 0.14, "x": 0.4, "for_s": duration_s, "how": rng.choice(("shed", "busy", "slow"))},
    ]
    return rng.choice(all_sites + (only_grown if grown else []))


def draw_fault(rng: random.Random, grown: bool) -> Entry:
    """Draws one fault, without its time."""
    duration_s = round(rng.uniform(1.0, 7.0), 1)
    share = round(rng.uniform(0.1, 0.5), 2)
    core: list[Entry] = [
        {
            "kind": "core_cut",
            "count": 1,
            "for_s": rng.choice((duration_s, 12.0)),
            "how": join_variants(rng, CUT_VARIANTS, TARGET_VARIANTS, CONNECTION_END_VARIANTS, FOLLOW_UP_VARIANTS),
        },
        {
            "kind": "node_kill",
            "on": "core",
            "count": 1,
            "for_s": duration_s,
            "how": join_variants(rng, ("", "power"), TARGET_VARIANTS, FOLLOW_UP_VARIANTS),
        },
        {
            "kind": "node_freeze",
            "on": "core",
            "count": 1,
            "for_s": duration_s,
            "how": join_variants(rng, TARGET_VARIANTS, FOLLOW_UP_VARIANTS),
        },
        {
            "kind": "node_slow",
            "on": "core",
            "count": 1,
            "x": 5.0,
            "for_s": duration_s,
            "how": join_variants(rng, TARGET_VARIANTS),
        },
        {
            "kind": "replace_core",
            "x": round(rng.uniform(0.3, 3.0), 1),
            "how": join_variants(rng, ("", "planned"), ("", "leader")),
        },
        {"kind": "after_ack_wipe", "for_s": duration_s, "how": rng.choice(("", "timed", "kill"))},
        {"kind": "after_ack_kill", "for_s": duration_s, "how": rng.choice(("", "timed", "kill", "taken"))},
        {"kind": "herd_kill", "on": "core", "for_s": 1.0, "how": rng.choice(("", "power", "taken"))},
        {"kind": "roll_term", "on": "core", "gap_s": 1.0, "how": rng.choice(("", "busy", "remove"))},
        {"kind": "reset_conns", "on": "core", "share": share, "x": 0.6},
        {"kind": "ack_lost", "x": 0.7, "for_s": duration_s},
        {"kind": "seed_turnover"},
        {"kind": "clock_step", "share": 0.3, "x": 2400.0, "for_s": duration_s, "how": rng.choice(("back", "ahead"))},
    ]
    core += [
        {"kind": kind, "count": 1, "for_s": duration_s, "how": rng.choice(("", "leader"))}
        for kind in ("disk_slow", "disk_stall", "disk_full")
    ]
    edge: list[Entry] = [
        {"kind": "reset_conns", "share": share, "x": 0.5},
        {"kind": "node_freeze", "share": share / 2, "for_s": duration_s},
        {"kind": "node_slow", "share": share / 2, "x": 5.0, "for_s": duration_s},
        {"kind": "node_kill", "share": share / 2, "for_s": duration_s, "how": rng.choice(("", "power"))},
        {"kind": "node_cut", "share": share / 2, "for_s": duration_s, "how": rng.choice(("", "servers"))},
        {"kind": "herd_kill", "share": 0.5, "for_s": 2.0, "how": rng.choice(("", "power"))},
        {"kind": "roll_term", "share": 0.5, "gap_s": 1.0, "how": rng.choice(("", "busy", "remove"))},
        {"kind": "hup", "share": 0.5, "gap_s": 2.0},
        {"kind": "answer_lost", "share": share, "x": 0.04, "for_s": duration_s, "how": rng.choice(("", "reset"))},
        {
            "kind": "garble",
            "share": share,
            "x": 0.03,
            "for_s": duration_s,
            "how": rng.choice(("", "extra", "extra late")),
        },
        {"kind": "srv_crash", "share": 0.15, "for_s": duration_s, "how": rng.choice(("", "dark", "gone"))},
        {"kind": "replace_with_reuse", "share": 0.1, "how": rng.choice(("", "drain", "dark"))},
        {"kind": "srv_slow", "share": 0.15, "x": 4.0, "for_s": duration_s},
        {"kind": "hot_tenant", "x": 6.0, "for_s": duration_s},
        {"kind": "burst", "x": 1.4, "for_s": 2.0},
        {"kind": "retry_abuse", "share": 0.2, "x": 2.0, "for_s": duration_s},
    ]
    only_grown: list[Entry] = [
        {"kind": "idle_race", "share": 0.5, "x": 320.0, "for_s": duration_s},
        {"kind": "srv_flap", "share": 0.1, "gap_s": 1.4, "for_s": duration_s},
        {
            "kind": "srv_grey",
            "share": 0.14,
            "x": 0.45,
            "for_s": duration_s,
            "how": rng.choice(("errors", "mute", "reset")),
        },
        {"kind": "lossy", "x": 0.025, "for_s": duration_s},
    ]
    return rng.choice(core if rng.random() < 0.6 else edge + (only_grown if grown else []))


def format_entry(entry: Entry) -> str:
    """Formats an entry as a TOML inline table."""
    fields = ", ".join(
        f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}" for name, value in entry.items()
    )
    return f"  {{ {fields} }},\n"


def draw_times(rng: random.Random, length_s: int, count: int) -> list[float]:
    """Draws sorted times within the day, in seconds."""
    return sorted(round(rng.uniform(1.0, length_s - 3.0), 1) for _ in range(count))


def at_time(at: float, entry: Entry) -> Entry:
    """Returns the entry with its time."""
    return {"at": at, **entry}


def draw_impatient_clients(rng: random.Random, at: float) -> list[Entry]:
    """Draws a burst, which makes requests wait at backends, and clients that give up meanwhile."""
    duration_s = round(rng.uniform(2.0, 5.0), 1)
    patience_ms = float(rng.choice((60, 150, 250, 400)))
    share = round(rng.uniform(0.2, 0.7), 2)
    return [
        at_time(at, {"kind": "burst", "x": round(rng.uniform(1.5, 3.0), 1), "for_s": duration_s}),
        at_time(at, {"kind": "give_up", "share": share, "x": patience_ms, "for_s": duration_s}),
    ]


def day_file(seed: int, grown: bool, changes: int = 0, leaving: int = 0, all_variants: bool = False) -> str:
    """Returns the text of the file for a day."""
    rng = random.Random(seed)
    length_s = rng.choice((32, 32, 45, 60))
    plan: list[Entry] = [at_time(at, draw_planned_work(rng)) for at in draw_times(rng, length_s, rng.randint(5, 20))]
    faults: list[Entry] = [
        at_time(at, draw_fault(rng, grown)) for at in draw_times(rng, length_s, rng.randint(5, 12) * length_s // 32)
    ]
    extra_changes = [
        at_time(at, {"kind": "config_change", "how": rng.choice(CHANGE_VARIANTS)})
        for at in draw_times(rng, length_s, changes)
    ]
    plan = sorted(plan + extra_changes, key=lambda entry: entry["at"])
    impatient = [entry for at in draw_times(rng, length_s, leaving) for entry in draw_impatient_clients(rng, at)]
    if all_variants:
        faults += [at_time(at, draw_newer_fault(rng, grown)) for at in draw_times(rng, length_s, length_s // 8)]
    faults = sorted(faults + impatient, key=lambda entry: entry["at"])
    kind, variant = rng.choice(CLOSINGS + NEWER_CLOSINGS if all_variants else CLOSINGS)
    closing = f'closing = {{ kind = "{kind}", down_s = 1.0' + (f', how = "{variant}"' if variant else "") + " }\n"
    return (
        f"# Drawn by draw.py, seed {seed}.\n[[day]]\n"
        f'name = "drawn-{seed}"\nslot = "trouble"\nseed = {seed}\nlength_s = {length_s}\n'
        "one = 0.8\nzero = 0.4\ngoal = { floor = 0.1 }\nfloor_classes = []\nfloor_zones = []\nlabels = []\n"
        f"wall = 4.0\nlight = false\n{closing if kind else ''}"
        f"plan = [\n{''.join(map(format_entry, plan))}]\nfaults = [\n{''.join(map(format_entry, faults))}]\n"
    )


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("seeds", type=int, nargs="+")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--grown", action="store_true")
    parser.add_argument("--changes", type=int, default=0, metavar="N")
    parser.add_argument("--leaving", type=int, default=0, metavar="N")
    parser.add_argument("--all-variants", action="store_true")
    options = parser.parse_args(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    for seed in options.seeds:
        text = day_file(seed, options.grown, options.changes, options.leaving, options.all_variants)
        (options.out / f"drawn-{seed}.toml").write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
