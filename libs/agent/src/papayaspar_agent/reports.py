"""What the agent reports of its worker, and when."""

import anyio


class ReportSignal:
    """Wakes the tasks that send reports when something changed.

    Each waiter remembers the sequence number it sent last, so no change is missed and changes
    that come together go out as one report.
    """

    def __init__(self) -> None:
        self._sequence = 1
        self._changed = anyio.Event()

    @property
    def sequence(self) -> int:
        """Number of the newest state."""
        return self._sequence

    def changed(self) -> None:
        """Note that the worker's state changed."""
        self._sequence += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_beyond(self, sequence: int) -> int:
        """Wait until the state is newer than one that was sent.

        :param sequence: number of the state that was sent.
        :return: number of the newest state.
        """
        while self._sequence <= sequence:
            await self._changed.wait()
        return self._sequence
