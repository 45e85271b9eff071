"""Mutants of the gateway: each disables a mechanism, and its test must fail."""

from __future__ import annotations

import gc
import math
import sys

import pytest
from hypothesis import stateful

from sesamevale import calls
from sesamevale import http1
from sesamevale import messaging
from sesamevale.callers import gateway_connection
from sesamevale.callers import gateway_exchange
from sesamevale.entries import state_reader
from sesamevale.forwarding import attempt_runner
from sesamevale.forwarding import request_flow
from sesamevale.platform import header_fields
from sesamevale.platform import store_client
from sesamevale.policy.admission import drain_schedule
from sesamevale.policy.admission import pipelining
from sesamevale.policy.admission import rate_shares
from sesamevale.policy.admission import retry_budget
from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.balancing import route_durations
from sesamevale.policy.balancing import upstream_openings
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.calls import forwarding
from sesamevale.policy.configuration import active_configuration
from sesamevale.policy.membership import read_scheduling
from sesamevale.policy.membership import shared_state
from sesamevale.policy.signals import discovered_upstreams
from sesamevale.policy.signals import upstream_signals
from sesamevale.upstreams import http_link
from tests.builders import endless_answers
from tests.builders import hypothesis_settings
from tests.callers import test_pipelined_requests
from tests.entries import test_state_reader
from tests.forwarding import test_answer_channel
from tests.forwarding import test_endless_answers
from tests.forwarding import test_service_task
from tests.forwarding import (
    test_upstream_signals as test_upstream_signals_over_sockets,
)
from tests.platform import test_store_reader
from tests.policy import test_routes
from tests.policy.admission import test_drain_schedule
from tests.policy.admission import test_pipelining_machine
from tests.policy.admission import test_rate_shares
from tests.policy.admission import test_retry_budget_machine
from tests.policy.balancing import test_load_sampling
from tests.policy.balancing import test_overload_patterns
from tests.policy.calls import test_forwarding_machine
from tests.policy.membership import test_read_scheduling
from tests.policy.membership import test_shared_state_machine
from tests.policy.signals import test_discovered_upstreams
from tests.policy.signals import test_signals_machine
from tests.policy.signals import test_upstream_signals
from tests.upstreams import test_http_link
from tests.upstreams import test_odd_statuses


@pytest.fixture(autouse=True)
def _report_errors_of_abandoned_tasks():
    """Has the errors of a failed proof's tasks reported before other tests.

    The report formats tracebacks. If garbage collection starts it while a
    later test parses source code, CPython 3.11.7 raises a SystemError there
    ("AST constructor recursion depth mismatch").
    """
    yield
    gc.collect()


def run_machine(machine) -> None:
    settings = hypothesis_settings.machine_settings(200, 40)
    stateful.run_state_machine_as_test(machine, settings=settings)


def run_signals_machine() -> None:
    run_machine(test_signals_machine.SignalsMachine)


def report_unknown_outcomes_as_refusals(monkeypatch) -> None:
    def refuse(self):
        return forwarding.Refuse(self.reason)

    monkeypatch.setattr(forwarding.Progress, "give_up", refuse)


def retry_unrepeatable_requests(monkeypatch) -> None:
    def retry(self):
        return forwarding.Retry(uses_budget=True)

    monkeypatch.setattr(forwarding.Progress, "give_up", retry)


def ignore_the_retry_budget(monkeypatch) -> None:
    def spend(self, now, **_):
        self.record_retry(now)
        return True

    monkeypatch.setattr(retry_budget.RetryBudget, "try_spend", spend)


def ignore_fences(monkeypatch) -> None:
    monkeypatch.setattr(
        discovered_upstreams, "_is_older", lambda record, known: False
    )
    monkeypatch.setattr(
        discovered_upstreams, "_is_new_start", lambda record, known: True
    )


def drop_lapsed_upstreams_immediately(monkeypatch) -> None:
    original = discovered_upstreams.DiscoveredUpstreams.record_read

    def record_read(self, records, now, grace_until=0.0):
        return original(self, records, now)

    monkeypatch.setattr(
        discovered_upstreams.DiscoveredUpstreams, "record_read", record_read
    )


def accept_any_version(monkeypatch) -> None:
    def offer(self, found, now):
        self._current = found
        return True

    monkeypatch.setattr(
        active_configuration.ActiveConfiguration, "offer", offer
    )


def assume_unsampled_upstreams_unloaded(monkeypatch) -> None:
    monkeypatch.setattr(load_sampling, "INITIAL_AVERAGE_SLOWDOWN", 1.0)


def assume_unsampled_upstreams_idle(monkeypatch) -> None:
    original = upstream_state.Candidate._busy_slots

    def busy_slots(self, average, now):
        idle = upstream_state.AverageLoad(average.slowdown)
        return original(self, idle, now)

    monkeypatch.setattr(upstream_state.Candidate, "_busy_slots", busy_slots)


def send_whatever_time_is_left(monkeypatch) -> None:
    monkeypatch.setattr(route_durations, "SHORTEST_SHARE", 0.0)


def refuse_by_old_durations(monkeypatch) -> None:
    monkeypatch.setattr(route_durations, "DURATION_MEMORY_S", 1000.0)


def assume_full_upstreams_have_free_slots(monkeypatch) -> None:
    monkeypatch.setattr(
        upstream_state.Candidate, "has_free_slot", lambda *arguments: True
    )


class NewestFirst(messaging.Inbox):
    """Inbox that returns the newest of several messages first."""

    async def get(self):
        first = await super().get()
        if not len(self):
            return first
        self.put(first)
        return await super().get()


def swap_answers(monkeypatch) -> None:
    monkeypatch.setattr(gateway_connection.messaging, "Inbox", NewestFirst)


def start_unrepeatable_requests_beside_others(monkeypatch) -> None:
    monkeypatch.setattr(gateway_exchange.GatewayExchange, "is_repeatable", True)


def close_before_started_requests(monkeypatch) -> None:
    monkeypatch.setattr(
        pipelining.Pipeline, "close_behind_oldest", lambda self, **read: True
    )


def drop_requests_that_were_read(monkeypatch) -> None:
    monkeypatch.setattr(
        gateway_connection.GatewayConnection, "_has_read_more", False
    )


def close_before_read_requests(monkeypatch) -> None:
    original = pipelining.Pipeline.close_behind_oldest

    def close(self, *, has_read_more):
        return original(self, has_read_more=False)

    monkeypatch.setattr(pipelining.Pipeline, "close_behind_oldest", close)


def take_all_that_is_behind_others(monkeypatch) -> None:
    monkeypatch.setattr(
        pipelining.Pipeline, "must_refuse", lambda self, **state: False
    )


def accept_unverified_answers(monkeypatch) -> None:
    original = http1.get_header

    def get_header(headers, name):
        value = original(headers, name)
        if name == b"x-response-signature":
            return value or b"any"
        return None if name == b"content-encoding" else value

    monkeypatch.setattr(http_link.http1, "get_header", get_header)


def report_sent_requests_as_unsent(monkeypatch) -> None:
    monkeypatch.setattr(
        http_link.HttpLink, "has_sent", property(lambda self: False)
    )


def ignore_results_at_the_deadline(monkeypatch) -> None:
    monkeypatch.setattr(
        http_link.HttpLink, "has_result", property(lambda self: False)
    )


def admit_any_request_late_in_a_drain(monkeypatch) -> None:
    monkeypatch.setattr(
        drain_schedule.DrainSchedule, "admits", lambda self, now, deadline: True
    )


def start_attempts_that_outlast_the_drain(monkeypatch) -> None:
    monkeypatch.setattr(
        drain_schedule.DrainSchedule,
        "allows_attempt",
        lambda self, now, duration_s: True,
    )


def keep_abandoned_attempts_running(monkeypatch) -> None:
    monkeypatch.setattr(
        attempt_runner.AttemptRunner,
        "stop",
        lambda self, active_request: False,
    )


def never_replace_a_stale_reader(monkeypatch) -> None:
    monkeypatch.setattr(read_scheduling, "STALE_SHARE", 1000.0)


def ignore_removals(monkeypatch) -> None:
    original = shared_state.Mirror.apply

    def apply(self, update):
        before = dict(self._upstreams)
        contents = original(self, update)
        self._upstreams = before | self._upstreams
        if contents is None:
            return None
        return shared_state.StoreContents(
            contents.configuration,
            tuple(self._upstreams.values()),
            contents.peers,
        )

    monkeypatch.setattr(shared_state.Mirror, "apply", apply)


def assume_large_configurations_unchanged(monkeypatch) -> None:
    async def unchanged(self, known):
        return store_client.Unchanged()

    monkeypatch.setattr(store_client.StoreClient, "read_if_changed", unchanged)


def ask_no_seeds(monkeypatch) -> None:
    async def skip(self):
        pass

    monkeypatch.setattr(state_reader.StateReader, "_fetch_from_seeds", skip)


def leave_streams_open(monkeypatch) -> None:
    monkeypatch.setattr(
        request_flow.RequestFlow,
        "end_stream",
        lambda self, active_request, *, complete: None,
    )


def set_no_timer_for_streams(monkeypatch) -> None:
    original = request_flow.RequestFlow.set_deadline_timer

    def set_timer(self, active_request):
        if not active_request.is_streaming:
            original(self, active_request)

    monkeypatch.setattr(
        request_flow.RequestFlow, "set_deadline_timer", set_timer
    )


def keep_failures_from_the_second_channel(monkeypatch) -> None:
    def put(self, message):
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    monkeypatch.setattr(calls.AnswerChannel, "put", put)


def ignore_the_memory_of_parts(monkeypatch) -> None:
    monkeypatch.setattr(calls, "PART_OVERHEAD_BYTES", 0)


def parse_the_rest_of_a_long_body(monkeypatch) -> None:
    async def skip_body(self, response, method):
        return await self._read_body() is not None

    monkeypatch.setattr(http_link.HttpLink, "_skip_body", skip_body)


def wait_for_the_end_of_bytes_that_are_no_answer(monkeypatch) -> None:
    monkeypatch.setattr(
        http_link.HttpLink, "_check_status_line", lambda self: None
    )


def read_any_number_of_interim_answers(monkeypatch) -> None:
    monkeypatch.setattr(http1, "INTERIM_ANSWERS_MAX", 10**9)


def pass_any_status_on(monkeypatch) -> None:
    monkeypatch.setattr(http1, "STATUS_MAX", 10**9)


def parse_without_giving_turns(monkeypatch) -> None:
    monkeypatch.setattr(http_link, "EVENTS_PER_TURN", 10**9)


def report_no_failures_of_links(monkeypatch) -> None:
    monkeypatch.setattr(
        http_link, "_report_failure", lambda message, link: None
    )


def share_nothing(monkeypatch) -> None:
    monkeypatch.setattr(
        rate_shares,
        "_choose_holders",
        lambda record, limit, members: list(members)[:1],
    )
    monkeypatch.setattr(
        rate_shares.RateShares,
        "_share_of",
        lambda self, record, limit, is_stale: limit.per_second,
    )


def count_no_requests(monkeypatch) -> None:
    monkeypatch.setattr(
        rate_shares.RateShares, "record_request", lambda self, record, now: None
    )


def keep_the_shares_of_departed_entries(monkeypatch) -> None:
    original = rate_shares.RateShares.set_members

    def set_members(self, peers, read_at, now):
        known = {each.entry_id: each for each in peers}
        self.ever_known = getattr(self, "ever_known", {}) | known
        original(self, self.ever_known.values(), read_at, now)

    monkeypatch.setattr(rate_shares.RateShares, "set_members", set_members)


def take_shares_over_at_once(monkeypatch) -> None:
    monkeypatch.setattr(rate_shares, "HANDOVER_S", 0.0)
    monkeypatch.setattr(rate_shares, "STALE_FACTOR", 1.0)


def never_lift_limits(monkeypatch) -> None:
    monkeypatch.setattr(upstream_signals, "_end_limit", lambda state: [])


def forget_limits_with_the_record(monkeypatch) -> None:
    monkeypatch.setattr(upstream_signals, "RETENTION_S", 0.0)


def read_zero_as_no_limit(monkeypatch) -> None:
    original = header_fields._read_decimal

    def read(headers, name):
        return original(headers, name) or None

    monkeypatch.setattr(header_fields, "_read_decimal", read)


def recheck_all_at_once(monkeypatch) -> None:
    monkeypatch.setattr(
        rate_shares.RateShares, "_first_recheck_after_s", lambda self: 1.0
    )


def never_recheck_closed_services(monkeypatch) -> None:
    monkeypatch.setattr(
        upstream_openings.Openings, "find_recheck", lambda *_: None
    )


def send_all_after_a_limit_of_zero(monkeypatch) -> None:
    monkeypatch.setattr(
        upstream_signals.UpstreamSignals, "record_request", lambda *_: None
    )


def forget_who_leaves(monkeypatch) -> None:
    original = upstream_signals.UpstreamSignals.record_answer

    def record_answer(self, instance, signals, now):
        if not signals:
            self._states.pop(instance, None)
        return original(self, instance, signals, now)

    monkeypatch.setattr(
        upstream_signals.UpstreamSignals, "record_answer", record_answer
    )


def ignore_pauses(monkeypatch) -> None:
    def opens_at(self, instance, now):
        return math.inf if self.is_leaving(instance) else now

    monkeypatch.setattr(upstream_signals.UpstreamSignals, "opens_at", opens_at)


def use_upstreams_that_leave_as_long_as_others_fail(monkeypatch) -> None:
    monkeypatch.setattr(upstream_signals, "LEAVING_GRACE_S", 1000.0)


def send_all_after_a_pause(monkeypatch) -> None:
    monkeypatch.setattr(upstream_signals, "TRIAL_S", 0.0)


def let_repeats_pass(monkeypatch) -> None:
    original = upstream_openings.Openings.select_open

    def select_open(self, candidates, now):
        if sys._getframe(1).f_locals.get("excluded"):
            return candidates
        return original(self, candidates, now)

    monkeypatch.setattr(upstream_openings.Openings, "select_open", select_open)


def with_arguments(test, *arguments):
    return lambda: test(*arguments)


def with_monkeypatch(test):
    def prove():
        with pytest.MonkeyPatch.context() as monkeypatch:
            test(monkeypatch)

    return prove


def endless_answer(name):
    return next(each for each in endless_answers.ALL if each.name == name)


GUARANTEES = (
    test_forwarding_machine.test_guarantees_hold_for_every_sequence_of_results
)
INVALID_ANSWER = test_service_task.test_a_spoilt_answer_is_never_passed_on
ENDLESS_READ = (
    test_endless_answers.test_a_read_with_an_endless_answer_ends_in_time
)
UNSIGNED = test_service_task.ScriptedAnswer(signed=False)

MUTANTS = [
    (report_unknown_outcomes_as_refusals, GUARANTEES),
    (retry_unrepeatable_requests, GUARANTEES),
    (
        ignore_the_retry_budget,
        lambda: run_machine(test_retry_budget_machine.BudgetMachine),
    ),
    (
        ignore_fences,
        test_discovered_upstreams.test_a_late_heartbeat_does_not_bring_a_leaving_upstream_back,
    ),
    (
        drop_lapsed_upstreams_immediately,
        test_discovered_upstreams.test_lapsed_upstreams_are_kept_right_after_an_outage,
    ),
    (
        accept_any_version,
        test_routes.test_the_version_in_force_never_goes_down,
    ),
    (
        assume_unsampled_upstreams_unloaded,
        test_load_sampling.test_an_unsampled_upstream_is_not_assumed_to_be_fast,
    ),
    (
        assume_unsampled_upstreams_idle,
        with_arguments(
            test_overload_patterns.test_the_queue_of_a_burst_is_gone_two_seconds_after_it,
            45,
        ),
    ),
    (
        send_whatever_time_is_left,
        test_overload_patterns.test_a_request_that_no_upstream_can_end_in_time_is_refused_at_once,
    ),
    (
        refuse_by_old_durations,
        test_overload_patterns.test_a_service_that_has_become_fast_again_is_used_again,
    ),
    (
        assume_full_upstreams_have_free_slots,
        test_load_sampling.test_a_request_that_can_be_in_time_waits_for_a_slot,
    ),
    (
        swap_answers,
        test_pipelined_requests.answers_keep_the_order_of_requests,
    ),
    (
        start_unrepeatable_requests_beside_others,
        test_pipelined_requests.test_an_unrepeatable_request_is_started_alone,
    ),
    (
        close_before_started_requests,
        test_pipelined_requests.test_an_entry_that_stops_answers_what_it_has_read,
    ),
    (
        drop_requests_that_were_read,
        test_pipelined_requests.test_a_charge_that_was_read_before_a_stop_is_served_behind_a_read,
    ),
    (
        drop_requests_that_were_read,
        test_pipelined_requests.test_a_connection_that_times_out_answers_what_has_just_arrived,
    ),
    (
        close_before_read_requests,
        lambda: run_machine(test_pipelining_machine.PipelineMachine),
    ),
    (
        take_all_that_is_behind_others,
        test_pipelined_requests.test_an_entry_that_stops_answers_what_it_has_read,
    ),
    (share_nothing, lambda: run_machine(test_rate_shares.SharesMachine)),
    (count_no_requests, lambda: run_machine(test_rate_shares.SharesMachine)),
    (
        keep_the_shares_of_departed_entries,
        lambda: run_machine(test_rate_shares.SharesMachine),
    ),
    (
        take_shares_over_at_once,
        test_rate_shares.test_holders_that_the_store_turns_away_keep_the_limit,
    ),
    (
        never_lift_limits,
        test_rate_shares.test_the_end_of_a_limit_gives_room_at_once,
    ),
    (
        read_zero_as_no_limit,
        test_upstream_signals_over_sockets.test_an_upstream_that_names_a_limit_of_zero_gets_nothing_until_it_ends,
    ),
    (
        recheck_all_at_once,
        test_rate_shares.test_entries_look_again_one_after_the_other,
    ),
    (
        never_recheck_closed_services,
        test_load_sampling.test_upstreams_that_take_nothing_are_sampled_now_and_then,
    ),
    (
        send_all_after_a_limit_of_zero,
        test_upstream_signals.test_one_request_comes_first_after_a_limit_of_zero,
    ),
    (
        forget_who_leaves,
        test_upstream_signals.test_an_upstream_that_leaves_stays_closed_whatever_it_says_later,
    ),
    (
        ignore_pauses,
        test_signals_machine.test_requests_wait_for_the_end_of_a_pause_if_they_are_in_time,
    ),
    (use_upstreams_that_leave_as_long_as_others_fail, run_signals_machine),
    (let_repeats_pass, run_signals_machine),
    (
        send_all_after_a_pause,
        test_upstream_signals.test_one_request_comes_first_after_a_pause,
    ),
    (
        forget_limits_with_the_record,
        test_upstream_signals.test_a_limit_outlives_the_record_of_its_upstream,
    ),
    (accept_unverified_answers, with_arguments(INVALID_ANSWER, UNSIGNED)),
    (
        report_sent_requests_as_unsent,
        test_service_task.test_a_charge_that_times_out_may_have_run,
    ),
    (
        ignore_results_at_the_deadline,
        test_service_task.test_an_answer_that_is_there_at_the_deadline_is_delivered,
    ),
    (
        ignore_results_at_the_deadline,
        test_service_task.test_an_answer_that_is_there_when_the_task_ends_is_delivered,
    ),
    (
        start_attempts_that_outlast_the_drain,
        test_service_task.test_an_attempt_that_would_outlast_the_drain_is_not_started,
    ),
    (
        admit_any_request_late_in_a_drain,
        test_drain_schedule.test_what_is_taken_late_ends_before_the_grace,
    ),
    (
        keep_abandoned_attempts_running,
        test_service_task.test_an_abandoned_read_is_cancelled_at_the_upstream,
    ),
    (
        never_replace_a_stale_reader,
        test_read_scheduling.test_the_last_read_is_never_older_than_the_bound,
    ),
    (
        ignore_removals,
        lambda: run_machine(test_shared_state_machine.MirrorMachine),
    ),
    (
        assume_large_configurations_unchanged,
        test_store_reader.test_a_change_of_a_large_configuration_is_in_the_next_read,
    ),
    (
        ask_no_seeds,
        test_state_reader.test_an_entry_that_starts_without_the_store_asks_the_seeds,
    ),
    (
        leave_streams_open,
        test_endless_answers.test_a_streamed_answer_that_goes_silent_ends_at_the_deadline,
    ),
    (
        set_no_timer_for_streams,
        test_endless_answers.test_a_stream_that_begins_at_the_deadline_is_ended,
    ),
    (
        keep_failures_from_the_second_channel,
        test_answer_channel.test_a_failure_follows_the_parts_in_the_second_channel,
    ),
    (
        ignore_the_memory_of_parts,
        test_answer_channel.test_tiny_parts_fill_the_channel_by_the_memory_that_they_take,
    ),
    (
        parse_the_rest_of_a_long_body,
        test_endless_answers.test_bytes_inside_the_body_of_another_answer_are_not_an_answer,
    ),
    (
        wait_for_the_end_of_bytes_that_are_no_answer,
        with_arguments(ENDLESS_READ, endless_answer("noise"), True),
    ),
    (
        read_any_number_of_interim_answers,
        with_arguments(ENDLESS_READ, endless_answer("interim"), False),
    ),
    (
        read_any_number_of_interim_answers,
        with_arguments(
            test_odd_statuses.test_a_dispatcher_never_passes_it_on,
            "199 without end",
            "POST",
        ),
    ),
    (
        pass_any_status_on,
        with_arguments(
            test_odd_statuses.test_the_gateway_reports_a_charge_as_unknown,
            "600",
        ),
    ),
    (
        pass_any_status_on,
        with_arguments(
            test_odd_statuses.test_a_dispatcher_never_passes_it_on,
            "999",
            "POST",
        ),
    ),
    (
        parse_without_giving_turns,
        test_http_link.test_tiny_parts_of_an_answer_leave_turns_to_other_tasks,
    ),
    (
        report_no_failures_of_links,
        with_monkeypatch(
            test_http_link.test_a_link_whose_task_fails_reports_the_sample
        ),
    ),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup, TimeoutError)):
        proof()
