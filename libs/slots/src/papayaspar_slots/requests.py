"""Request slots of one worker: the limit of concurrent requests."""

import contextlib
from collections import abc

from papayaspar_model import errors, signals
from papayaspar_slots import refusals


class RequestSlots:
    """Slots that limit how many requests the target serves concurrently.

    :param slots: number of slots.
    :param changes: signal that is set when a slot is acquired or released.
    """

    def __init__(self, slots: int, changes: signals.ChangeSignal) -> None:
        self._slots = slots
        self._changes = changes
        self._holders: set[str] = set()
        self._draining = False

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return len(self._holders)

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self._draining

    def drain(self) -> None:
        """Refuse new requests from now on; requests in progress continue."""
        self._draining = True
        self._changes.notify()

    def acquire(self, request_id: str) -> None:
        """Acquire a slot.

        :param request_id: identifier of the request.
        :raises DrainingError: the worker is draining.
        :raises SlotInUseError: the request already holds a slot.
        :raises BusyError: no slot is free.
        """
        if self._draining:
            raise errors.DrainingError
        if request_id in self._holders:
            raise refusals.SlotInUseError(
                f"request {request_id} already holds a slot", ran=errors.Ran.UNKNOWN
            )
        if len(self._holders) >= self._slots:
            raise errors.BusyError
        self._holders.add(request_id)
        self._changes.notify()

    def release(self, request_id: str) -> bool:
        """Release a slot.

        :param request_id: identifier of the request.
        :return: whether the request held a slot.
        """
        if request_id not in self._holders:
            return False
        self._holders.remove(request_id)
        self._changes.notify()
        return True

    @contextlib.contextmanager
    def hold(self, request_id: str) -> abc.Iterator[None]:
        """Hold a slot while a block runs; raises as :meth:`acquire`."""
        self.acquire(request_id)
        try:
            yield
        finally:
            self.release(request_id)
