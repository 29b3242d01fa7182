"""Faults of the soak test, drawn from a seed; they may overlap."""

import abc
import signal

import anyio
import attrs
import httpx
import proxies

DURATION_MIN_S, DURATION_MAX_S = 0.5, 7.0
GAP_MAX_S = 2.5
FAULTY_STATES = (
    proxies.LinkState.RESET,
    proxies.LinkState.SILENT,
    proxies.LinkState.ONE_WAY,
    proxies.LinkState.SLOW,
)


class Fault(abc.ABC):
    """A temporary fault."""

    @abc.abstractmethod
    async def inject(self, system):
        """Start the fault, wait for its duration, and end it."""


@attrs.frozen
class SignalFault(Fault):
    """A signal to some programs, optionally followed by a second one.

    :param machines: indexes of the machines in the system's list.
    :param first_signal: first signal.
    :param duration_s: time between the signals, in seconds.
    :param second_signal: second signal, or ``None``.
    """

    machines: tuple
    first_signal: signal.Signals
    duration_s: float = 0.0
    second_signal: signal.Signals | None = None

    async def inject(self, system):
        """Send the signals to all chosen programs."""
        chosen = [system.machines[index] for index in self.machines]
        for machine in chosen:
            machine.send_signal(self.first_signal)
        await anyio.sleep(self.duration_s)
        if self.second_signal is not None:
            for machine in chosen:
                machine.send_signal(self.second_signal)


@attrs.frozen
class LinkFault(Fault):
    """Temporary trouble on the links of some machines.

    :param machines: indexes of the machines in the system's list.
    :param link: name of the affected link; machines without it are skipped.
    :param state: state of the links during the fault.
    :param duration_s: duration of the fault, in seconds.
    """

    machines: tuple
    link: str
    state: proxies.LinkState
    duration_s: float

    async def inject(self, system):
        """Switch the links to the faulty state, and back after the duration."""
        chosen = [system.machines[index].links.get(self.link) for index in self.machines]
        links = [link for link in chosen if link is not None]
        for link in links:
            await link.switch(self.state)
        await anyio.sleep(self.duration_s)
        for link in links:
            await link.switch(proxies.LinkState.OPEN)


@attrs.frozen
class WorkerCrash(Fault):
    """The crash of a worker, which then restarts as a new incarnation.

    :param agent: index of its agent in the system's list of agents.
    :param duration_s: time until the restart, in seconds.
    """

    agent: int
    duration_s: float

    async def inject(self, system):
        """Kill the worker and restart it after the duration."""
        machine = system.agents[self.agent]
        machine.crash_worker()
        await anyio.sleep(self.duration_s)
        if machine.worker.poll() is not None:
            machine.start_worker()


@attrs.frozen
class ConfigurationChange(Fault):
    """Several versions of the configuration, published in quick succession.

    :param count: number of versions.
    """

    count: int

    async def inject(self, system):
        """Publish the versions."""
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            for _ in range(self.count):
                await system.publish(client)
                await anyio.sleep(0.2)


@attrs.frozen
class Evacuation(Fault):
    """The evacuation of a data centre, which is taken back.

    :param data_centre: name of the data centre.
    :param duration_s: time until it is taken back, in seconds.
    """

    data_centre: str
    duration_s: float

    async def inject(self, system):
        """Request the evacuation, and take it back after the duration."""
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            await system.evacuate(client, self.data_centre, self.duration_s)


def draw_evacuations(rng, data_centres, length_s):
    """Return pairs of start time, in seconds, and evacuation: one of each data centre.

    :param rng: seeded random number generator.
    :param length_s: time within which they begin and end, in seconds.
    """
    return [
        (rng.uniform(0.0, 0.3) * length_s, Evacuation(name, rng.uniform(0.3, 0.6) * length_s))
        for name in data_centres
    ]


def draw(rng, entry_count, agent_count, length_s):
    """Return pairs of start time, in seconds, and fault.

    :param rng: seeded random number generator.
    :param length_s: time within which faults start, in seconds.
    """
    schedule = []
    at_s = 0.0
    while at_s < length_s:
        at_s += rng.uniform(0.0, GAP_MAX_S)
        schedule.append((at_s, _draw_fault(rng, entry_count, agent_count)))
    return schedule


def _draw_fault(rng, entry_count, agent_count):
    count = entry_count + agent_count
    selected = tuple(rng.sample(range(count), rng.randint(1, 2)))
    all_machines = tuple(range(count))
    duration_s = rng.uniform(DURATION_MIN_S, DURATION_MAX_S)
    state = rng.choice(FAULTY_STATES)
    kinds = (
        SignalFault(selected, signal.SIGKILL),
        SignalFault(selected, signal.SIGTERM),
        SignalFault(selected, signal.SIGHUP),
        SignalFault(selected, signal.SIGSTOP, duration_s, signal.SIGCONT),
        SignalFault(all_machines, signal.SIGKILL),
        LinkFault(selected, "store", state, duration_s),
        LinkFault(all_machines, "store", state, min(duration_s, 5.0)),
        LinkFault(selected, "front", state, duration_s),
        LinkFault(selected, "worker", state, duration_s),
        WorkerCrash(rng.randrange(agent_count), min(duration_s, 2.0)),
        ConfigurationChange(rng.randint(1, 4)),
    )
    return rng.choices(kinds, weights=(4, 4, 1, 4, 1, 3, 2, 3, 4, 3, 1))[0]
