"""Request slots of one worker."""

import contextlib
from collections import abc

from papayaspar_model import errors, signals
from papayaspar_slots import refusals


class RequestSlots:
    """Slots in which the target serves requests.

    :param slots: requests served at once.
    :param changes: told when a slot is taken or freed.
    """

    def __init__(self, slots: int, changes: signals.ChangeSignal) -> None:
        self._slots = slots
        self._changes = changes
        self._taken: set[str] = set()
        self._draining = False

    @property
    def busy(self) -> int:
        """Number of slots taken."""
        return len(self._taken)

    @property
    def draining(self) -> bool:
        """Whether new work is refused."""
        return self._draining

    def drain(self) -> None:
        """Refuse new work from now on; requests in progress go on."""
        self._draining = True
        self._changes.changed()

    def take(self, request_id: str) -> None:
        """Take a slot.

        :param request_id: the request that takes it.
        :raises DrainingError: the worker is leaving.
        :raises SlotInUseError: the request already holds a slot.
        :raises BusyError: no slot is free.
        """
        if self._draining:
            raise errors.DrainingError
        if request_id in self._taken:
            raise refusals.SlotInUseError(request_id, ran=errors.Ran.UNKNOWN)
        if len(self._taken) >= self._slots:
            raise errors.BusyError
        self._taken.add(request_id)
        self._changes.changed()

    def release(self, request_id: str) -> bool:
        """Give a slot back.

        :param request_id: the request that held it.
        :return: whether it held one.
        """
        if request_id not in self._taken:
            return False
        self._taken.remove(request_id)
        self._changes.changed()
        return True

    @contextlib.contextmanager
    def hold(self, request_id: str) -> abc.Iterator[None]:
        """Hold a slot for the length of a block; raises as :meth:`take`."""
        self.take(request_id)
        try:
            yield
        finally:
            self.release(request_id)
