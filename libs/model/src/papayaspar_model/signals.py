"""Change notification for tasks, without lost wake-ups and without polling."""

import anyio


class ChangeSignal:
    """A change counter that tasks can wait for.

    Each waiter passes the number of the last change it has seen, so no change is missed, and
    several changes in quick succession wake it only once.
    """

    def __init__(self) -> None:
        self._sequence = 1
        self._changed = anyio.Event()

    @property
    def sequence(self) -> int:
        """Number of the newest change."""
        return self._sequence

    def notify(self) -> None:
        """Count a change and wake all waiting tasks."""
        self._sequence += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, sequence: int) -> int:
        """Wait for a change with a number greater than the given one.

        :param sequence: number of the last change that the waiter has seen.
        :return: number of the newest change.
        """
        while self._sequence <= sequence:
            await self._changed.wait()
        return self._sequence
