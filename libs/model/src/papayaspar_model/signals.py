"""Waking tasks when something changed, without losing a change and without spinning."""

import anyio


class ChangeSignal:
    """A counter that tasks wait on.

    Each waiter remembers the number it saw last, so no change is missed and changes that come
    together wake it once.
    """

    def __init__(self) -> None:
        self._sequence = 1
        self._changed = anyio.Event()

    @property
    def sequence(self) -> int:
        """Number of the newest change."""
        return self._sequence

    def changed(self) -> None:
        """Note a change."""
        self._sequence += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_beyond(self, sequence: int) -> int:
        """Wait until there is a newer change than one that was seen.

        :param sequence: number of the change that was seen.
        :return: number of the newest change.
        """
        while self._sequence <= sequence:
            await self._changed.wait()
        return self._sequence
