"""Retry budgets: retries as a share of fresh requests, so that they can't multiply load."""

from papayaspar_model import clock, rulesets

SHARE_MAX_RETRIES = 100.0
FLOOR_WINDOW_S = 1.0


class RetryBudget:
    """How many retries an entry may send.

    :param time_source: the clock of this process.
    :param rule: share and floor.
    """

    def __init__(self, time_source: clock.Clock, rule: rulesets.RetryBudget | None = None) -> None:
        self._clock = time_source
        self._rule = rule or rulesets.RetryBudget()
        self._earned = 0.0
        self._floor = self._floor_max
        self._filled_s = time_source.now_s()

    def apply(self, rule: rulesets.RetryBudget) -> None:
        """Put another rule in force.

        :param rule: share and floor.
        """
        self._fill()
        self._rule = rule
        self._floor = min(self._floor, self._floor_max)

    def record_request(self) -> None:
        """Count one fresh request."""
        self._earned = min(SHARE_MAX_RETRIES, self._earned + self._rule.share_ratio)

    def try_spend(self) -> bool:
        """Take one retry out of the budget.

        :return: whether the retry may be sent.
        """
        self._fill()
        if self._floor >= 1.0:
            self._floor -= 1.0
            return True
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        return False

    @property
    def _floor_max(self) -> float:
        if self._rule.floor_per_s <= 0:
            return 0.0
        return max(1.0, self._rule.floor_per_s * FLOOR_WINDOW_S)

    def _fill(self) -> None:
        now_s = self._clock.now_s()
        gained = (now_s - self._filled_s) * self._rule.floor_per_s
        self._floor = min(self._floor_max, self._floor + gained)
        self._filled_s = now_s
