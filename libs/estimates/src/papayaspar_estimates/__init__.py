"""Expected run times: learned from finished runs, by kind of work and by worker.

``run_times`` serves the lead, ``quantiles`` and ``averages`` the entries; they use no transport::

    from papayaspar_estimates import run_times

    estimates = run_times.RunTimes()
    estimates.observe(finished_run)
    estimates.expected(kind, step_name, declared_s).middle_s
"""
