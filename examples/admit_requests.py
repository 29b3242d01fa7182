"""Admission with two slots: a guaranteed team gets one while another team sends a burst."""

import anyio

from papayaspar_admission import queues
from papayaspar_model import clock, rulesets, work

RULES = rulesets.RuleSet(
    revision=1,
    teams=(rulesets.Team("booths"), rulesets.Team("nights")),
    slot_guarantees=(rulesets.SlotGuarantee("booths-slots", "booths", 1),),
)


def request(team: str, number: int) -> work.Request:
    """Return a request of a team."""
    deadline_s = clock.BootClock().now_s() + 5.0
    request_id = f"{team}-{number}"
    return work.Request(request_id, team, "", "check", work.Urgency.NORMAL, True, deadline_s, b"{}")


async def main() -> None:
    """Run ten requests of one team and one request of the other team with two slots."""
    queue = queues.AdmissionQueue(clock.BootClock(), capacity=2)
    queue.apply(RULES)

    async def serve(queued: work.Request) -> None:
        async with queue.slot(queued):
            await anyio.sleep(0.01)
            print(f"served {queued.request_id}")

    async with anyio.create_task_group() as group:
        for number in range(10):
            group.start_soon(serve, request("nights", number))
        group.start_soon(serve, request("booths", 0))


anyio.run(main)
