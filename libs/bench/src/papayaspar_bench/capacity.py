"""Experiment: capacity at the target size, computed from slopes measured on this machine."""

import attrs

from papayaspar_agent import process
from papayaspar_bench import experiments, slopes
from papayaspar_entry import appends, job_manager
from papayaspar_platform import followers
from papayaspar_slots import timings
from papayaspar_wire import codecs, peers, transports

SECONDS_PER_DAY = 86_400
TCP_IP_HEADER_BYTES = 52  # IPv4 (20), TCP (20) and its timestamps option (12)
MEBIBYTE = 1024 * 1024
KILOBYTE = 1000
WORKERS_PER_RACK = 20
LOG_APPEND_DELAY_S = 0.1
JOB_RUN_TIME_MEAN_DAYS = 4 / 24


@attrs.frozen
class Target:
    """The target size and the budget of each node, as stated by the users.

    :param workers: number of workers in all data centres.
    :param data_centres: number of data centres.
    :param regions: number of regions.
    :param jobs_per_day: jobs accepted per day.
    :param tasks: number of running tasks.
    :param teams: number of teams.
    :param rule_changes_per_day: revisions of the rules per day.
    :param workers_replaced_per_day: workers replaced per day.
    :param core_ratio: share of a core that a node may use for control.
    :param memory_bytes: memory that a node may use for control.
    :param network_bytes_per_s: traffic that a node may use for control.
    """

    workers: int = 21_000
    data_centres: int = 10
    regions: int = 4
    jobs_per_day: int = 47_000
    tasks: int = 290_000
    teams: int = 750
    rule_changes_per_day: int = 52_000
    workers_replaced_per_day: int = 3_300
    core_ratio: float = 0.019
    memory_bytes: int = 64 * MEBIBYTE
    network_bytes_per_s: int = 17 * KILOBYTE


@attrs.frozen
class Layout:
    """The assumed deployment at the target size.

    A part is the set of tasks of one gang on one worker.

    :param entries_per_data_centre: entries that share the racks of a data centre.
    :param streams_per_agent: number of entries to which an agent keeps a stream.
    :param agents_per_stream: agents whose reports and rules share one stream to an entry.
    :param tasks_per_part: mean number of tasks in a part.
    :param renew_interval_s: interval of run lease renewals, in seconds.
    :param reports_per_part_change: reports that a worker sends for the start or the completion
        of a part.
    """

    entries_per_data_centre: int = 8
    streams_per_agent: int = 2
    agents_per_stream: int = 1
    tasks_per_part: int = 4
    renew_interval_s: float = 1.25
    reports_per_part_change: int = 3


class Capacity(experiments.Experiment):
    """Measures slopes of state, messages and processor time and scales them to the target size."""

    name = "capacity"
    summary = "measured slopes, and each role's share of the budget at the target size (real time)"

    def run(self, seed: int) -> experiments.Outcome:
        """Measure the slopes and compute the figures; the seed has no effect on them."""
        target = Target()
        layout = Layout()
        figures = _measure_slopes()
        figures |= _entry_figures("entry", target, layout, figures)
        layout_by_rack = attrs.evolve(layout, agents_per_stream=WORKERS_PER_RACK)
        figures |= _entry_figures("entry_by_rack", target, layout_by_rack, figures)
        figures |= _agent_figures(target, layout, figures)
        figures |= _log_figures(target, figures)
        figures |= _delay_figures()
        return experiments.Outcome(self.name, seed, figures)


def _measure_slopes() -> dict[str, float]:
    idle_stream = slopes.idle_stream_core_ratio()
    worker_state = slopes.worker_state_bytes()
    schedule = slopes.schedule_core_s()
    rules_change = slopes.rules_change_core_s()
    rules_state = slopes.rules_state_bytes()
    pack_homes = slopes.pack_core_s()
    target = Target()
    workers_per_data_centre = target.workers / target.data_centres
    return {
        # Both ends of each measured stream run in this process; a node runs one of them.
        "slope_idle_stream_core_ratio": idle_stream.per_unit / 2,
        "slope_worker_state_bytes": worker_state.per_unit,
        "slope_report_core_s": slopes.report_core_s(),
        "slope_report_bytes": slopes.report_frame_bytes(),
        "slope_ping_bytes": len(codecs.PING_BYTES),
        "slope_renew_bytes": slopes.renew_frame_bytes(),
        "slope_place_core_s": schedule.at(workers_per_data_centre),
        "slope_rules_change_core_s": rules_change.at(target.teams),
        "slope_rules_change_bytes": slopes.rules_change_bytes(),
        "slope_rules_state_bytes": rules_state.at(target.teams),
        "slope_pack_core_s": pack_homes.at(target.teams),
        "slope_job_record_bytes": slopes.job_record_bytes(),
    }


def _part_changes_per_s(target: Target, layout: Layout) -> float:
    """Return starts and completions of parts per second in the whole fleet, in steady state.

    The number of running jobs is the arrival rate times the mean run time (Little's law).
    """
    tasks_per_job = target.tasks / (target.jobs_per_day * JOB_RUN_TIME_MEAN_DAYS)
    parts_per_job = tasks_per_job / layout.tasks_per_part
    return 2 * target.jobs_per_day * parts_per_job / SECONDS_PER_DAY


def _ping_bytes_per_s(slope_figures: dict[str, float]) -> float:
    """Return the traffic of an idle stream: a ping and its TCP acknowledgement per direction."""
    ping_packet_bytes = slope_figures["slope_ping_bytes"] + TCP_IP_HEADER_BYTES
    return 2 * (ping_packet_bytes + TCP_IP_HEADER_BYTES) / peers.PeerLimits().ping_interval_s


def _entry_figures(
    prefix: str, target: Target, layout: Layout, slope_figures: dict[str, float]
) -> dict[str, float]:
    """Return the figures of one entry, with the prefix in each name."""
    entries = target.data_centres * layout.entries_per_data_centre
    streams = target.workers * layout.streams_per_agent / entries / layout.agents_per_stream
    reports_per_s = _part_changes_per_s(target, layout) * layout.reports_per_part_change
    reports_per_s *= layout.streams_per_agent / entries
    jobs_per_s = target.jobs_per_day / SECONDS_PER_DAY / entries
    rule_changes_per_s = target.rule_changes_per_day / SECONDS_PER_DAY
    ping_bytes_per_s = _ping_bytes_per_s(slope_figures)
    sent_bytes_per_rule_change = streams * (
        slope_figures["slope_rules_change_bytes"] + TCP_IP_HEADER_BYTES
    )
    report_packet_bytes = slope_figures["slope_report_bytes"] + TCP_IP_HEADER_BYTES
    core_ratios = {
        f"{prefix}_streams_core_ratio": streams * slope_figures["slope_idle_stream_core_ratio"],
        f"{prefix}_reports_core_ratio": reports_per_s * slope_figures["slope_report_core_s"],
        f"{prefix}_jobs_core_ratio": jobs_per_s * slope_figures["slope_place_core_s"],
        f"{prefix}_rules_core_ratio": rule_changes_per_s
        * slope_figures["slope_rules_change_core_s"],
    }
    traffic_bytes_per_s = {
        f"{prefix}_streams_bytes_per_s": streams * ping_bytes_per_s,
        f"{prefix}_reports_bytes_per_s": reports_per_s * report_packet_bytes,
        f"{prefix}_rules_bytes_per_s": rule_changes_per_s * sent_bytes_per_rule_change,
    }
    state_bytes = {
        f"{prefix}_workers_state_bytes": slope_figures["slope_worker_state_bytes"]
        * target.workers
        / target.data_centres,
        f"{prefix}_rules_state_bytes": slope_figures["slope_rules_state_bytes"],
    }
    return {
        f"{prefix}_streams": streams,
        f"{prefix}_reports_per_s": reports_per_s,
        **core_ratios,
        **traffic_bytes_per_s,
        **state_bytes,
        f"{prefix}_core_ratio": sum(core_ratios.values()),
        f"{prefix}_core_of_budget_ratio": sum(core_ratios.values()) / target.core_ratio,
        f"{prefix}_network_of_budget_ratio": sum(traffic_bytes_per_s.values())
        / target.network_bytes_per_s,
        f"{prefix}_state_of_budget_ratio": sum(state_bytes.values()) / target.memory_bytes,
    }


def _agent_figures(
    target: Target, layout: Layout, slope_figures: dict[str, float]
) -> dict[str, float]:
    parts = target.tasks / target.workers / layout.tasks_per_part
    renewals_per_s = parts / layout.renew_interval_s
    rule_changes_per_s = target.rule_changes_per_day / SECONDS_PER_DAY
    reports_per_s = (
        _part_changes_per_s(target, layout) * layout.reports_per_part_change / target.workers
    )
    ping_bytes_per_s = _ping_bytes_per_s(slope_figures)
    rule_change_packet_bytes = slope_figures["slope_rules_change_bytes"] + TCP_IP_HEADER_BYTES
    traffic_bytes_per_s = {
        "agent_streams_bytes_per_s": layout.streams_per_agent * ping_bytes_per_s,
        "agent_renewals_bytes_per_s": 2
        * renewals_per_s
        * (slope_figures["slope_renew_bytes"] + 2 * TCP_IP_HEADER_BYTES),
        "agent_rules_bytes_per_s": rule_changes_per_s
        * layout.streams_per_agent
        * rule_change_packet_bytes,
        "agent_reports_bytes_per_s": reports_per_s
        * layout.streams_per_agent
        * (slope_figures["slope_report_bytes"] + TCP_IP_HEADER_BYTES),
    }
    return {
        "agent_parts": parts,
        "agent_renewals_per_s": renewals_per_s,
        **traffic_bytes_per_s,
        "agent_network_of_budget_ratio": sum(traffic_bytes_per_s.values())
        / target.network_bytes_per_s,
    }


def _log_figures(target: Target, slope_figures: dict[str, float]) -> dict[str, float]:
    jobs_per_s = target.jobs_per_day / SECONDS_PER_DAY
    return {
        "log_rules_appends_per_s": target.rule_changes_per_day / SECONDS_PER_DAY,
        "log_jobs_records_per_s": 2 * jobs_per_s,
        "log_jobs_bytes_per_s": jobs_per_s * slope_figures["slope_job_record_bytes"],
        "log_shards_appends_per_s": target.workers_replaced_per_day / SECONDS_PER_DAY,
        "log_homes_appends_per_s": 2 * target.workers_replaced_per_day / SECONDS_PER_DAY,
    }


def _delay_figures() -> dict[str, float]:
    """Return the maximum delays of an urgent start and of a rules change, step by step."""
    slot_timings = timings.Timings()
    urgent_s = {
        "urgent_accept_s": appends.BATCH_WINDOW_S + LOG_APPEND_DELAY_S,
        "urgent_schedule_s": job_manager.SCHEDULE_INTERVAL_S + job_manager.SCHEDULE_SPACING_S,
        "urgent_reserve_s": slot_timings.answer_timeout_s,
        "urgent_reclaim_s": slot_timings.force_stop_timeout_s,
        "urgent_arm_and_start_s": 2 * slot_timings.poll_interval_s,
    }
    rules_s = {
        "rules_append_s": LOG_APPEND_DELAY_S,
        "rules_log_back_s": followers.BACKOFF_MAX_S,
        "rules_silent_stream_s": peers.PeerLimits().silence_timeout_s
        + peers.PeerLimits().ping_interval_s,
        "rules_reconnect_s": process.RECONNECT_BACKOFF_MAX_S + transports.CONNECT_TIMEOUT_S,
    }
    return {
        **urgent_s,
        "urgent_start_s": sum(urgent_s.values()),
        **rules_s,
        "rules_in_force_s": sum(rules_s.values()),
    }
