"""The account that the demo gives: what was asked, what came of it, and whether it held."""

import attrs


@attrs.frozen
class Finding:
    """One thing the demo looked at.

    :param title: what was asked.
    :param outcome: where it ran, how long it took, what was refused and why.
    :param held: whether what was promised held.
    """

    title: str
    outcome: str
    held: bool


@attrs.define
class Account:
    """Findings in the order in which they were made."""

    findings: list[Finding] = attrs.field(factory=list)

    def add(self, title: str, outcome: str, held: bool) -> None:
        """Add a finding and show it.

        Parameters are those of :class:`Finding`.
        """
        finding = Finding(title, outcome, held)
        self.findings.append(finding)
        mark = "held " if held else "BROKE"
        print(f"{mark}  {title}\n       {outcome}", flush=True)

    @property
    def held(self) -> bool:
        """Whether everything held."""
        return all(finding.held for finding in self.findings)
