"""Place a gang of two tasks on four workers in two racks."""

from papayaspar_model import work, workers
from papayaspar_placement import fleet, policies

view = fleet.FleetView()
for number in range(4):
    identity = workers.WorkerIdentity(f"w{number}", 1, f"rack-{number // 2}", "dc-1", "region-1")
    view.observe(workers.WorkerReport(identity, workers.Capacity(), 1, 0, False), 0.0)

shape = work.Shape(2, 8, work.Adjacency.RACK)
job = work.Job("job-1", "models", "yield", work.Urgency.BATCH, shape, 3600.0, True, True)
placement = policies.BestFit().place(job, view)
if placement is not None:
    for task in placement.tasks:
        print(task.worker, task.accelerators)
