"""The report of the demo: its checks, their outcomes and whether they passed."""

import attrs


@attrs.frozen
class CheckResult:
    """The result of one check of the demo.

    :param title: what was checked.
    :param outcome: measured result: worker, duration, or code of the error.
    :param passed: whether the result is the expected one.
    """

    title: str
    outcome: str
    passed: bool


@attrs.define
class Report:
    """Results in the order of the checks."""

    results: list[CheckResult] = attrs.field(factory=list)

    def add(self, title: str, outcome: str, passed: bool) -> None:
        """Add a result and print it.

        Parameters are those of :class:`CheckResult`.
        """
        result = CheckResult(title, outcome, passed)
        self.results.append(result)
        mark = "held " if passed else "BROKE"
        print(f"{mark}  {title}\n       {outcome}", flush=True)

    @property
    def passed(self) -> bool:
        """Whether all checks passed."""
        return all(result.passed for result in self.results)
