"""Making an agent known in the store, so that leads can dial it, and that its worker has left."""

import anyio
import attrs

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors
from papayaspar_runs import keeper, service
from papayaspar_store import records, stores

# An agent that no lead has called for so long makes itself known again, in seconds: longer than a
# change of the lead takes, so that a calm system writes nothing.
FORGOTTEN_AFTER_S = 8.0
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0


async def keep_registered(
    store: stores.Store,
    record: records.AgentRecord,
    kept: keeper.Keeper,
    served: service.LeadService,
    source: clock.Clock,
    events: journal.Journal,
) -> None:
    """Write the agent's record at start, when its worker left, and when leads seem to forget it.

    :param store: the store.
    :param record: where the agent listens.
    :param kept: says whether the worker has left.
    :param served: says when a lead was last heard.
    :param source: clock of that time.
    :param events: where failures are recorded.
    """
    while True:
        departure = kept.departure
        await _register(store, attrs.evolve(record, departure=departure), events)
        registered_s = source.now_s()
        while kept.departure == departure:
            quiet_s = source.now_s() - max(served.heard_s, registered_s)
            if quiet_s >= FORGOTTEN_AFTER_S:
                break
            with anyio.move_on_after(FORGOTTEN_AFTER_S - quiet_s):
                await kept.departures.wait_beyond(kept.departures.sequence)


async def _register(
    store: stores.Store, record: records.AgentRecord, events: journal.Journal
) -> None:
    pause_s = RETRY_FIRST_S
    encoded = records.encode(records.AGENT + record.node, record)
    is_away = False
    while True:
        try:
            await store.append(records.SHARED, (encoded,))
        except errors.PapayasparError as error:
            if not is_away:
                events.record(lines.EventKind.LOG_LOST, code=error.code, detail=error.detail)
                is_away = True
            await anyio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)
            continue
        break
    events.record(lines.EventKind.LOG_REGAINED, detail=f"registered address={record.address}")
