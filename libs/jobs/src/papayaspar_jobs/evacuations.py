"""Evacuations of data centres that the operators have requested."""

import abc
from collections.abc import Mapping

import attrs

from papayaspar_model import signals


@attrs.frozen
class Evacuation:
    """A request that no work starts in a data centre until it is taken back.

    :param data_centre: name of the data centre.
    :param offset: offset of the operator's record.
    :param read_s: when the record was read, on the clock of this process.
    :param age_max_s: longest time for which the record may have been stored when it was read, in
        seconds; infinite if nothing was read before.
    """

    data_centre: str
    offset: int
    read_s: float
    age_max_s: float = float("inf")


@attrs.frozen
class Evacuations:
    """The evacuations in force.

    :param by_data_centre: the evacuations by data centre.
    """

    by_data_centre: Mapping[str, Evacuation] = attrs.field(factory=dict)

    def covers(self, data_centre: str) -> bool:
        """Return whether work may not start in a data centre.

        :param data_centre: name of the data centre; an empty name is that of an unknown one, which
            may be any of those that are evacuated.
        """
        if not data_centre:
            return bool(self.by_data_centre)
        return data_centre in self.by_data_centre

    def with_evacuation(self, evacuation: Evacuation) -> "Evacuations":
        """Return these evacuations with one more; a repeated request keeps the first one."""
        if evacuation.data_centre in self.by_data_centre:
            return self
        return Evacuations({**self.by_data_centre, evacuation.data_centre: evacuation})

    def without(self, data_centre: str) -> "Evacuations":
        """Return these evacuations without that of a data centre."""
        if data_centre not in self.by_data_centre:
            return self
        remaining = dict(self.by_data_centre)
        del remaining[data_centre]
        return Evacuations(remaining)


class EvacuationSource(abc.ABC):
    """Source of the evacuations that the operators have requested.

    :attr:`changes` signals each change.
    """

    def __init__(self) -> None:
        self.changes = signals.ChangeSignal()

    @abc.abstractmethod
    def current(self) -> Evacuations:
        """Return the evacuations that were read last."""

    @abc.abstractmethod
    def age_s(self) -> float:
        """Return the longest time for which an evacuation may be unknown, in seconds.

        Each request that was acknowledged longer ago is contained in :meth:`current`. It is
        infinite before the first read.
        """


class NoEvacuations(EvacuationSource):
    """Source for a fleet whose operators can't request evacuations."""

    def current(self) -> Evacuations:
        """Return no evacuations."""
        return Evacuations()

    def age_s(self) -> float:
        """Return 0."""
        return 0.0
