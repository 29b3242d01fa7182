"""Homes on one worker: the accelerators that are reserved for guarantees."""

import attrs

from papayaspar_model import rulesets
from papayaspar_slots import claims, refusals


@attrs.frozen
class HomeMap:
    """Accelerators of a worker that are reserved for instances of guarantees.

    :param revision: revision of the homes; it never decreases.
    :param by_accelerator: home by accelerator number.
    """

    revision: int = 0
    by_accelerator: dict[int, rulesets.Home] = attrs.field(factory=dict)

    @classmethod
    def for_worker(cls, worker: str, homes: tuple[rulesets.Home, ...], revision: int) -> "HomeMap":
        """Return the homes on the accelerators of one worker.

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
        """Raise an error unless the homes permit a claim.

        :param claim: the claim.
        :raises HomeError: an accelerator is another team's home and the gang can't be preempted,
            or is not the home of the guarantee that the claim names.
        """
        for number in claim.accelerators:
            home = self.by_accelerator.get(number)
            if claim.guarantee and not is_home_of_claim(home, claim):
                raise refusals.HomeError(
                    f"accelerator {number} is not a home of guarantee {claim.guarantee}"
                )
            if home is None or home.team == claim.team or claim.stoppable:
                continue
            raise refusals.HomeError(
                f"accelerator {number} is reserved as a home of team {home.team}"
            )


def is_home_of_claim(home: rulesets.Home | None, claim: claims.Claim) -> bool:
    """Return whether a home belongs to the guarantee instance that a claim names."""
    if home is None or home.team != claim.team:
        return False
    return home.guarantee == claim.guarantee and home.instance == claim.instance
