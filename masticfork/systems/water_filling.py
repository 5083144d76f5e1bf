"""Divide an amount by demand with max-min fairness."""

import math
from collections.abc import Mapping
from typing import TypeVar

Name = TypeVar("Name", bound=str)

# Fraction of the amount that is divided evenly, so that a host can accept the first
# requests of a team without any recorded demand.
EVEN_FRACTION = 0.2


def whole_parts(
    parts: Mapping[Name, float], demands: Mapping[Name, float]
) -> dict[Name, float]:
    """Round the parts to whole numbers with the sum of the parts rounded down.

    The remainder goes to the names with the greatest unmet demand.
    """
    whole = {name: float(math.floor(part)) for name, part in parts.items()}
    # 1e-6 allows for floating-point errors in the sum.
    remainder = math.floor(sum(parts.values()) + 1e-6) - sum(whole.values())
    unmet = sorted(parts, key=lambda name: (whole[name] - demands[name], name))
    for name in unmet[: max(0, int(remainder))]:
        whole[name] += 1.0
    return whole


def divide(amount: float, demands: Mapping[Name, float]) -> dict[Name, float]:
    """Divide an even fraction, then max-min fairly by demand, then the rest evenly.

    Source of max-min fairness by progressive filling: D. Bertsekas and
    R. Gallager, "Data Networks", 2nd edition, section 6.5.2.
    """
    if not demands:
        return {}
    even = amount * EVEN_FRACTION / len(demands)
    shares = dict.fromkeys(demands, even)
    unmet = {name: max(0.0, wanted - even) for name, wanted in demands.items()}
    rest = amount * (1.0 - EVEN_FRACTION)
    # Demands are met in ascending order; unused amounts raise the level for the rest.
    by_demand = sorted(unmet, key=lambda name: unmet[name])
    for position, name in enumerate(by_demand):
        level = rest / (len(by_demand) - position)
        given = min(unmet[name], level)
        shares[name] += given
        rest -= given
    for name in shares:
        shares[name] += rest / len(shares)
    return shares
