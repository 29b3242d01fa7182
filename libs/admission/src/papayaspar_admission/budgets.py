"""Retry budget: limits retries to a share of first attempts to prevent retry storms."""

from papayaspar_model import clock, rulesets

SHARE_MAX_TOKENS = 100.0  # maximum of unused retries earned by first attempts
FLOOR_WINDOW_S = 1.0  # time for which unused retries of the minimum rate accumulate


class RetryBudget:
    """Limits the retries of one entry.

    :param clock_source: the clock of this process.
    :param rule: share of first attempts and minimum rate.
    """

    def __init__(self, clock_source: clock.Clock, rule: rulesets.RetryBudget | None = None) -> None:
        self._clock = clock_source
        self._rule = rule or rulesets.RetryBudget()
        self._share_tokens = 0.0
        self._floor_tokens = self._floor_max_tokens
        self._refilled_at_s = clock_source.now_s()

    def apply(self, rule: rulesets.RetryBudget) -> None:
        """Replace the rule.

        :param rule: share of first attempts and minimum rate.
        """
        self._refill()
        self._rule = rule
        self._floor_tokens = min(self._floor_tokens, self._floor_max_tokens)

    def record_request(self) -> None:
        """Record one first attempt."""
        self._share_tokens = min(SHARE_MAX_TOKENS, self._share_tokens + self._rule.share_ratio)

    def try_spend(self) -> bool:
        """Spend one retry of the budget.

        :return: whether the retry may be sent.
        """
        self._refill()
        if self._floor_tokens >= 1.0:
            self._floor_tokens -= 1.0
            return True
        if self._share_tokens >= 1.0:
            self._share_tokens -= 1.0
            return True
        return False

    @property
    def _floor_max_tokens(self) -> float:
        if self._rule.floor_per_s <= 0:
            return 0.0
        return max(1.0, self._rule.floor_per_s * FLOOR_WINDOW_S)

    def _refill(self) -> None:
        now_s = self._clock.now_s()
        added = (now_s - self._refilled_at_s) * self._rule.floor_per_s
        self._floor_tokens = min(self._floor_max_tokens, self._floor_tokens + added)
        self._refilled_at_s = now_s
