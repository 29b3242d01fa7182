"""Layouts of local systems: entries, workers with their racks, and initial rules."""

import attrs


@attrs.frozen
class WorkerPlace:
    """The location of one worker.

    :param worker: name of the worker.
    :param rack: rack of the worker.
    :param data_centre: data centre of the rack.
    """

    worker: str
    rack: str
    data_centre: str


@attrs.frozen
class Layout:
    """The layout of a local system.

    :param region: region of all data centres.
    :param entries: names of the entries.
    :param workers: location of each worker.
    :param rules: text of the rules that are published at start.
    """

    region: str
    entries: tuple[str, ...]
    workers: tuple[WorkerPlace, ...]
    rules: str


PHOTO_RULES = """\
team booths weight=8 # asked by the shop managers
team portraits weight=4 # asked by the studio desk
team retouch weight=2 # asked by retouching
team archive weight=1 # asked by the records office
slots booths-checks team=booths slots=40 # asked by the shop managers
slots portraits-checks team=portraits slots=8 # asked by the studio desk
guarantee models team=retouch tasks=3 accelerators=8 adjacency=rack count=1 # asked by retouching
quota archive-limit team=archive accelerators=88 # asked by the records office
queue batch-depth urgency=batch depth=500 # asked by operations
retry default share=10% floor=1/s # asked by operations
"""

RACKS = (
    ("rack-a", "bengal-1", 3),
    ("rack-b", "bengal-1", 3),
    ("rack-c", "bengal-2", 3),
    ("rack-d", "bengal-3", 2),
)


def _photo_workers() -> tuple[WorkerPlace, ...]:
    places = []
    for rack, data_centre, count in RACKS:
        for number in range(1, count + 1):
            places.append(WorkerPlace(f"{rack}-w{number}", rack, data_centre))
    return tuple(places)


PHOTO_SERVICE = Layout("bengal", ("entry-1", "entry-2"), _photo_workers(), PHOTO_RULES)
