"""What a soak does to the system: faults drawn from a seed, in series and overlapping."""

import abc
import signal

import anyio
import attrs
import httpx
import proxies

FAULT_MIN_S, FAULT_MAX_S = 0.5, 7.0
GAP_MAX_S = 2.5
STATES = (
    proxies.LinkState.RESET,
    proxies.LinkState.SILENT,
    proxies.LinkState.ONE_WAY,
    proxies.LinkState.SLOW,
)


class Fault(abc.ABC):
    """Something that goes wrong for a while."""

    @abc.abstractmethod
    async def play(self, system):
        """Let it happen and end."""


@attrs.frozen
class Signalled(Fault):
    """Programs get one signal, and another after a while.

    :param machines: places of the machines in the system's list.
    :param first: the signal.
    :param for_s: time until the second.
    :param second: another signal, or ``None``.
    """

    machines: tuple
    first: signal.Signals
    for_s: float = 0.0
    second: signal.Signals | None = None

    async def play(self, system):
        """Send the signals."""
        chosen = [system.machines[place] for place in self.machines]
        for machine in chosen:
            machine.send(self.first)
        await anyio.sleep(self.for_s)
        if self.second is not None:
            for machine in chosen:
                machine.send(self.second)


@attrs.frozen
class LinksBroken(Fault):
    """Links of machines are in a bad state for a while.

    :param machines: places of the machines in the system's list.
    :param link: which of their links.
    """

    machines: tuple
    link: str
    state: proxies.LinkState
    for_s: float

    async def play(self, system):
        """Break the links and mend them."""
        chosen = [system.machines[place].links.get(self.link) for place in self.machines]
        links = [link for link in chosen if link is not None]
        for link in links:
            await link.switch(self.state)
        await anyio.sleep(self.for_s)
        for link in links:
            await link.switch(proxies.LinkState.OPEN)


@attrs.frozen
class WorkerCrash(Fault):
    """A worker dies and another life begins.

    :param agent: place of its agent in the system's list of agents.
    """

    agent: int
    for_s: float

    async def play(self, system):
        """Kill the worker and start it again."""
        machine = system.agents[self.agent]
        machine.crash_worker()
        await anyio.sleep(self.for_s)
        if machine.worker.poll() is not None:
            machine.start_worker()


@attrs.frozen
class ConfigurationChange(Fault):
    """Operators publish versions one after the other.

    :param count: how many.
    """

    count: int

    async def play(self, system):
        """Publish them."""
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            for _ in range(self.count):
                await system.publish(client)
                await anyio.sleep(0.2)


def draw(chance, entry_count, agent_count, length_s):
    """Return faults with the time at which each begins, in seconds.

    :param chance: source of chance, seeded.
    :param length_s: time within which faults begin.
    """
    drawn = []
    at_s = 0.0
    while at_s < length_s:
        at_s += chance.uniform(0.0, GAP_MAX_S)
        drawn.append((at_s, _draw_one(chance, entry_count, agent_count)))
    return drawn


def _draw_one(chance, entry_count, agent_count):
    count = entry_count + agent_count
    some = tuple(chance.sample(range(count), chance.randint(1, 2)))
    every = tuple(range(count))
    for_s = chance.uniform(FAULT_MIN_S, FAULT_MAX_S)
    state = chance.choice(STATES)
    kinds = (
        Signalled(some, signal.SIGKILL),
        Signalled(some, signal.SIGTERM),
        Signalled(some, signal.SIGHUP),
        Signalled(some, signal.SIGSTOP, for_s, signal.SIGCONT),
        Signalled(every, signal.SIGKILL),
        LinksBroken(some, "store", state, for_s),
        LinksBroken(every, "store", state, min(for_s, 5.0)),
        LinksBroken(some, "front", state, for_s),
        LinksBroken(some, "worker", state, for_s),
        WorkerCrash(chance.randrange(agent_count), min(for_s, 2.0)),
        ConfigurationChange(chance.randint(1, 4)),
    )
    return chance.choices(kinds, weights=(4, 4, 1, 4, 1, 3, 2, 3, 4, 3, 1))[0]
