"""Homes of guarantees on the accelerators of one worker."""

import attrs

from papayaspar_model import rulesets
from papayaspar_slots import claims, refusals


@attrs.frozen
class HomeMap:
    """Which accelerators of a worker are set aside, and for whom.

    :param revision: revision of the homes; it only rises.
    :param by_accelerator: home by number of the accelerator.
    """

    revision: int = 0
    by_accelerator: dict[int, rulesets.Home] = attrs.field(factory=dict)

    @classmethod
    def of_worker(cls, worker: str, homes: tuple[rulesets.Home, ...], revision: int) -> "HomeMap":
        """Return the part of the homes that stands on one worker.

        :param worker: name of the worker.
        :param homes: all homes of the revision.
        :param revision: revision of the homes.
        """
        by_accelerator: dict[int, rulesets.Home] = {}
        for home in homes:
            for task in home.tasks:
                if task.worker != worker:
                    continue
                for number in task.accelerators:
                    by_accelerator[number] = home
        return cls(revision, by_accelerator)

    def check(self, claim: claims.Claim) -> None:
        """Check that a claim may stand where it asks to.

        :param claim: the claim.
        :raises HomeError: an accelerator is another team's home and the work can't be stopped,
            or is not the home of the guarantee that the claim names.
        """
        for number in claim.accelerators:
            home = self.by_accelerator.get(number)
            if claim.guarantee and not is_home_of(home, claim):
                raise refusals.HomeError(f"accelerator {number} is no home of {claim.guarantee}")
            if home is None or home.team == claim.team or claim.stoppable:
                continue
            raise refusals.HomeError(f"accelerator {number} is a home of team {home.team}")


def is_home_of(home: rulesets.Home | None, claim: claims.Claim) -> bool:
    """Return whether a home is the one that a claim names."""
    if home is None or home.team != claim.team:
        return False
    return home.guarantee == claim.guarantee and home.instance == claim.instance
