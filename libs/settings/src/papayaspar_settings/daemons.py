"""Running a daemon until a signal, with graceful shutdown."""

import abc
import signal

import anyio
import anyio.abc


class Daemon(abc.ABC):
    """A long-running process that can be stopped gracefully."""

    @abc.abstractmethod
    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until :meth:`stop` is called and the work in progress is done."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Accept no new work; :meth:`run` returns when the work in progress is done."""


async def run_until_signal(daemon: Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT; a second signal cancels it immediately.

    :param daemon: the daemon.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_signals, daemon, group.cancel_scope)
        await daemon.run()
        group.cancel_scope.cancel()


async def _watch_signals(daemon: Daemon, scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        is_stopping = False
        async for _ in signals:
            if is_stopping:
                scope.cancel()
                return
            is_stopping = True
            daemon.stop()
