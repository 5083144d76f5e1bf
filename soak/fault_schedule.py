"""Generate the fault schedule of a soak from a seed."""

import random

from soak.records import (
    HOST_KINDS,
    SEPARATE_KINDS,
    SERVER_KINDS,
    Fault,
    FaultKind,
)

# Mean rate, high enough that several faults overlap.
FAULTS_PER_SECOND = 2.0
# Range of the duration of a fault.
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.1, 2.5
# Time at the start without faults.
WARM_UP_SECONDS = 1.0
# Probability that a fault is followed by another of its kind, on any target.
REPEAT_PROBABILITY = 0.3
# Longest pause between a fault and its repetition.
MAX_REPEAT_PAUSE_SECONDS = 0.3
# Relative frequency of each kind; 1 where not listed.
KIND_WEIGHTS = {FaultKind.CONFIGURATION_CHANGED: 3, FaultKind.HOST_STOPPED: 2}
# Probability of each kind that is drawn for itself, and how long it lasts: beyond the
# time within which hosts must have learned of it.
SEPARATE_KIND_PROBABILITY, SEPARATE_FAULT_SECONDS = 0.6, 3.0


def draw_faults(seed: int, seconds: float, hosts: int, servers: int) -> list[Fault]:
    """Return the faults of a soak of `seconds`, ordered by start time."""
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if kind not in SEPARATE_KINDS]
    weights = [KIND_WEIGHTS.get(kind, 1) for kind in kinds]
    faults: list[Fault] = []
    at = WARM_UP_SECONDS
    while True:
        at += rng.expovariate(FAULTS_PER_SECOND)
        kind = rng.choices(kinds, weights)[0]
        repeat_at = at
        while repeat_at < seconds:
            faults.append(_draw_fault(rng, repeat_at, kind, hosts, servers))
            if rng.random() >= REPEAT_PROBABILITY:
                break
            repeat_at += rng.uniform(0.0, MAX_REPEAT_PAUSE_SECONDS)
        if at >= seconds:
            faults += _draw_separate_faults(seed, seconds, servers)
            return sorted(faults, key=lambda fault: fault.at)


def _draw_separate_faults(seed: int, seconds: float, servers: int) -> list[Fault]:
    """Return at most one fault of each of the kinds that are drawn for themselves."""
    faults = []
    for kind in SEPARATE_KINDS:
        rng = random.Random(f"{seed}/{kind.value}")
        if rng.random() >= SEPARATE_KIND_PROBABILITY:
            continue
        at = rng.uniform(WARM_UP_SECONDS, max(WARM_UP_SECONDS, 0.6 * seconds))
        target = rng.randrange(servers) if kind in SERVER_KINDS else 0
        faults.append(Fault(at, kind, target, at + SEPARATE_FAULT_SECONDS))
    return faults


def _draw_fault(
    rng: random.Random, at: float, kind: FaultKind, hosts: int, servers: int
) -> Fault:
    target_count = (
        hosts if kind in HOST_KINDS else servers if kind in SERVER_KINDS else 1
    )
    until = at + rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    return Fault(at, kind, rng.randrange(target_count), until)
