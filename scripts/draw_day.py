#!/usr/bin/env python3
"""Draws a day of disruptions for `fleetbench run SITE FILE`.

Usage: draw_day.py SEED > FILE.toml

Each day has several hand-overs of the fleet, and around each of them other
disruptions of all kinds that `fleetbench kinds` lists.
"""
import random
import sys


def hand_overs(rng):
    return rng.choice([
        ("node_kill", dict(count=1, how=rng.choice(
            ["leader", "leader hard", "leader power", "leader hard drain"]),
            for_s=rng.choice([1.0, 3.0, 6.0]))),
        ("node_freeze", dict(count=1, how=rng.choice(
            ["leader", "renewed leader", "renewed", "giver"]),
            for_s=rng.choice([0.9, 2.0, 3.0, 4.0, 5.5]))),
        ("platform_down", dict(how="nodes leader" + rng.choice(
            ["", " busy", " reset", " many"]), share=rng.choice([0.1, 0.35]),
            for_s=rng.choice([3.0, 5.0, 9.0]))),
        ("node_cut", dict(count=1, how=rng.choice(
            ["leader all", "leader", "leader reset"]),
            for_s=rng.choice([3.0, 5.0, 10.0]))),
        ("roll_term", dict(how=rng.choice(["leader", "starter", "leader busy"]),
                           share=rng.choice([0.2, 0.5]), x=1,
                           gap_s=rng.choice([0.5, 1.5]))),
        ("core_cut", dict(count=1, how=rng.choice(["all", "one_way", "near"]),
                          for_s=rng.choice([3.0, 8.0]))),
        ("herd_kill", dict(share=rng.choice([0.4, 0.6, 0.9]))),
        ("zone_cut", dict(for_s=rng.choice([3.0, 7.0, 10.0]))),
        ("zone_loss", dict()),
        ("node_slow", dict(count=1, how="leader", x=rng.choice([5, 12, 20]),
                           for_s=rng.choice([3.0, 6.0]))),
        ("after_ack_kill", dict(count=1, how=rng.choice(
            ["kill", "timed", "taken"]))),
    ])


def others(rng):
    length = rng.choice([2.0, 4.0, 8.0])
    return rng.choice([
        ("applied_late", dict(x=rng.choice([0.3, 0.5]), for_s=length, how=rng.choice(
            ["orders", "all", "grants", "cloud"]))),
        ("srv_cut", dict(share=rng.choice([0.2, 0.4]), for_s=length, how=rng.choice(
            ["", "fronts", "some", "some one_way", "some lossy", "reborn",
             "one_way", "reset", "reborn fronts"]))),
        ("node_cut", dict(share=rng.choice([0.15, 0.3]), for_s=length, how=rng.choice(
            ["servers", "servers reborn", "leader servers"]))),
        ("srv_crash", dict(share=rng.choice([0.15, 0.3]), for_s=rng.choice(
            [0.7, 1.5, 4.0]), how=rng.choice(["", "dark", "gone", "rack"]))),
        ("srv_slow", dict(share=0.2, x=4, for_s=length)),
        ("srv_grey", dict(share=0.2, for_s=length, how=rng.choice(
            ["errors", "hang", "reset", "mute", "slow"]))),
        ("replace_with_reuse", dict(share=0.15, how=rng.choice(
            ["", "drain", "dark", "side"]))),
        ("scale_out", dict(share=0.3, gap_s=1.0)),
        ("scale_in", dict(share=0.15, how=rng.choice(["", "spot", "reclaim"]),
                          for_s=length)),
        ("answer_lost", dict(share=0.5, x=rng.choice([0.03, 0.2]), for_s=length)),
        ("lossy", dict(x=rng.choice([0.03, 0.15]), for_s=length)),
        ("platform_down", dict(how=rng.choice(
            ["silent", "silent lapse", "busy lapse", "reset", "nodes busy",
             "nodes reset"]), for_s=length)),
        ("platform_slow", dict(x=rng.choice([20, 60]), for_s=length)),
        ("platform_lost", dict(x=rng.choice([0.3, 0.5]), for_s=length,
                               how=rng.choice(["", "late"]))),
        ("platform_compact", dict(x=2, for_s=2.0)),
        ("evacuate", dict(for_s=length)),
        ("wave", dict(share=0.4, for_s=10.0, count=rng.choice([2, 5]))),
        ("give_up", dict(share=0.5, x=300, for_s=length, how="prompt")),
        ("poison", dict(share=0.3, for_s=length)),
        ("burst", dict(x=rng.choice([2, 4]), for_s=3.0)),
        ("clock_step", dict(share=0.4, x=2000, for_s=length, how=rng.choice(
            ["ahead", "back"]))),
        ("reset_conns", dict(share=0.6, x=0.8)),
        ("hup", dict(share=0.3, gap_s=0.5)),
        ("cloud_down", dict(how=rng.choice(["silent", "busy", "reset"]),
                            for_s=length)),
        ("cloud_slow", dict(x=50, for_s=length)),
        ("add_nodes", dict(count=1)),
        ("config_change", dict(how=rng.choice(["route", "quota down", "tenant"]))),
        ("node_kill", dict(count=1, how="follower")),
    ])


PLANNED = {"roll_term", "scale_out", "scale_in", "config_change", "evacuate",
           "wave", "hup", "add_nodes"}


def row(at, kind, fields):
    cells = [f"at = {at:.2f}", f'kind = "{kind}"']
    cells += [f'{k} = "{v}"' if isinstance(v, str) else f"{k} = {v}"
              for k, v in fields.items()]
    return "  { " + ", ".join(cells) + " },"


def main():
    seed = int(sys.argv[1])
    rng = random.Random(seed)
    faults, plan = [], []
    at = rng.uniform(2.0, 5.0)
    while at < 30.0:
        drawn = [(at, *hand_overs(rng))]
        for _ in range(rng.randint(1, 3)):
            drawn.append((max(0.5, at + rng.uniform(-4.0, 3.0)), *others(rng)))
        for when, kind, fields in drawn:
            (plan if kind in PLANNED else faults).append(row(when, kind, fields))
        at += rng.uniform(4.0, 9.0)
    print("\n".join(["[[day]]", f'name = "drawn-{seed}"', 'slot = "trouble"',
                     f"seed = {seed}", "plan = [", *plan, "]", "faults = [",
                     *faults, "]"]))


main()
