"""Admission control: queues, fair sharing, concurrency limits and retry budgets.

These classes make the admission decisions of an entry and use no transport::

    from papayaspar_admission import queues

    queue = queues.AdmissionQueue(clock.BootClock(), capacity=88)
    queue.apply(rules)
    async with queue.slot(request):
        ...
"""

from papayaspar_admission import budgets, limits, queues

__all__ = ["budgets", "limits", "queues"]
