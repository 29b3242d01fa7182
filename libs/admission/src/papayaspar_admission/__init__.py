"""Queues, fair shares, limits and retry budgets.

The decision classes of an entry: plain objects whose methods await, with no transport::

    from papayaspar_admission import queues

    queue = queues.AdmissionQueue(clock.BootClock(), capacity=88)
    queue.apply(rules)
    async with queue.slot(request):
        ...
"""

from papayaspar_admission import budgets, limits, queues

__all__ = ["budgets", "limits", "queues"]
