"""Queues, fair shares, limits and retry budgets."""
