"""Embed the whole system in a program: start it, send one request and stop it."""

import anyio
import loguru

from papayaspar_local import callers, layouts, systems

LAYOUT = layouts.Layout(
    "region-1",
    ("entry-1",),
    (layouts.WorkerPlace("w1", "rack-1", "dc-1"),),
    "team booths weight=1 # asked by this example\n",
)


async def main() -> None:
    """Start the system and send one request."""
    loguru.logger.remove()
    async with (
        systems.running(LAYOUT) as system,
        callers.Caller(system.entries[0].callers) as caller,
    ):
        reply = await caller.request("booths", "check", "urgent")
        print(f"{reply.status} from {reply.worker}")


anyio.run(main)
