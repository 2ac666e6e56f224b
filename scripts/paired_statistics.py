"""Arithmetic of paired comparisons: mean difference and its confidence interval.

The interval is Student's: mean +- t * s / sqrt(n) over the differences of pairs, two-sided 95 %.
"""

import dataclasses
import math
import statistics

# Two-sided 95 % quantiles of Student's distribution by degrees of freedom (any statistics table).
T_95 = {
    1: 12.706, 2: 4.303, 3: 3.182, 4: 2.776, 5: 2.571, 6: 2.447, 7: 2.365, 8: 2.306, 9: 2.262,
    10: 2.228, 11: 2.201, 12: 2.179, 13: 2.160, 14: 2.145, 15: 2.131, 16: 2.120, 17: 2.110,
    18: 2.101, 19: 2.093, 20: 2.086, 25: 2.060, 30: 2.042, 40: 2.021, 60: 2.000, 120: 1.980,
}


def t_quantile(degrees):
    """The quantile for the nearest tabled degrees of freedom not above `degrees`."""
    if degrees < 1:
        raise ValueError("a spread needs two pairs at least")
    return T_95[max(known for known in T_95 if known <= degrees)]


@dataclasses.dataclass(frozen=True)
class Difference:
    """Mean of after - before over `pairs` pairs; `spread` is half the interval, None for one pair."""

    pairs: int
    before: float
    after: float
    mean: float
    spread: float | None

    @property
    def is_beyond_spread(self):
        return self.spread is not None and abs(self.mean) > self.spread


def compare_pairs(pairs):
    """`pairs`: (before, after) for each day and seed. Raises ValueError when there are none."""
    if not pairs:
        raise ValueError("no pairs to compare")
    differences = [after - before for before, after in pairs]
    spread = None
    if len(differences) > 1:
        error = statistics.stdev(differences) / math.sqrt(len(differences))
        spread = t_quantile(len(differences) - 1) * error
    return Difference(
        pairs=len(pairs),
        before=statistics.fmean(before for before, _ in pairs),
        after=statistics.fmean(after for _, after in pairs),
        mean=statistics.fmean(differences),
        spread=spread,
    )
