"""Max-min fair division of an amount by demand."""

import math
from collections.abc import Mapping
from typing import TypeVar

Name = TypeVar("Name", bound=str)

# Part of the amount that is divided evenly, so that a host which a team reaches
# for the first time does not refuse it.
EVEN_PART = 0.2


def whole_parts(
    parts: Mapping[Name, float], demands: Mapping[Name, float]
) -> dict[Name, float]:
    """Round parts to whole numbers of the same sum, rounded down.

    What rounding leaves goes to the names whose demand is least met.
    """
    whole = {name: float(math.floor(part)) for name, part in parts.items()}
    # Sums of parts are off by rounding errors of floating point.
    left = math.floor(sum(parts.values()) + 1e-6) - sum(whole.values())
    unmet = sorted(parts, key=lambda name: (whole[name] - demands[name], name))
    for name in unmet[: max(0, int(left))]:
        whole[name] += 1.0
    return whole


def divide(amount: float, demands: Mapping[Name, float]) -> dict[Name, float]:
    """Divide the amount: an even part, max-min fair by demand, the rest evenly.

    Source of max-min fairness by progressive filling: D. Bertsekas and
    R. Gallager, "Data Networks", 2nd edition, section 6.5.2.
    """
    if not demands:
        return {}
    even = amount * EVEN_PART / len(demands)
    shares = dict.fromkeys(demands, even)
    unmet = {name: max(0.0, wanted - even) for name, wanted in demands.items()}
    rest = amount * (1.0 - EVEN_PART)
    # The smallest demands are met first; what they leave raises the level.
    in_order = sorted(unmet, key=lambda name: unmet[name])
    for position, name in enumerate(in_order):
        level = rest / (len(in_order) - position)
        given = min(unmet[name], level)
        shares[name] += given
        rest -= given
    for name in shares:
        shares[name] += rest / len(shares)
    return shares
