"""Registration of an agent in the store: its address for leads, and its worker's departure."""

import anyio
import attrs

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors
from papayaspar_runs import service, worker_control
from papayaspar_store import records, stores

# An agent registers again when no lead has confirmed its leadership for this long, in seconds:
# longer than an election takes, so that agents don't register again in a system without faults.
REREGISTER_AFTER_S = 8.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.0


async def keep_registered(
    store: stores.Store,
    record: records.AgentRecord,
    controller: worker_control.WorkerController,
    lead_service: service.LeadService,
    clock_source: clock.Clock,
    events: journal.Journal,
) -> None:
    """Store the agent's record at start, at its worker's departure, and while no lead is attached.

    :param store: store of the record.
    :param record: the agent's record with its address.
    :param controller: source of the worker's departure.
    :param lead_service: source of the time at which a lead last confirmed its leadership.
    :param clock_source: clock of that time.
    :param events: journal of failures.
    """
    while True:
        departure = controller.departure
        await _register(store, attrs.evolve(record, departure=departure), events)
        registered_s = clock_source.now_s()
        while controller.departure == departure:
            unconfirmed_s = clock_source.now_s() - max(lead_service.lead_confirmed_s, registered_s)
            if unconfirmed_s >= REREGISTER_AFTER_S:
                break
            with anyio.move_on_after(REREGISTER_AFTER_S - unconfirmed_s):
                await controller.departure_changes.wait_for_change(
                    controller.departure_changes.sequence
                )


async def _register(
    store: stores.Store, record: records.AgentRecord, events: journal.Journal
) -> None:
    backoff_s = BACKOFF_MIN_S
    encoded = records.encode(records.AGENT_PREFIX + record.node, record)
    is_store_unavailable = False
    while True:
        try:
            await store.append(records.SHARED_PARTITION, (encoded,))
        except errors.PapayasparError as error:
            if not is_store_unavailable:
                events.record(lines.EventKind.LOG_LOST, code=error.code, detail=error.detail)
                is_store_unavailable = True
            await anyio.sleep(backoff_s)
            backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
            continue
        break
    events.record(lines.EventKind.LOG_REGAINED, detail=f"registered address={record.address}")
