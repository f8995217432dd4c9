"""Data centres cut off from each other, the platform or both, then reconnected."""

import time

from .entry_requests import wait_final
from .operator_oracle import entry_in, running_load, start_operator_oracle
from .shared_deployment import make_unique_job
from .support import check, function_tests

load_tests = function_tests(__name__)

STOP_WHEN_ISOLATED = {"peers": {"isolated_start_policy": "stop"}}
SMALL = {"accelerators_count": 1, "cores_count": 1, "memory_bytes": 1000}


def test_isolated_data_centre_serves_and_obeys_once_it_hears():
    """Guards against false answers about a data centre that is cut off."""
    with start_operator_oracle() as oracle:
        _take_out_of_isolated(oracle, starts_meanwhile=True)
        for scenario in (
            _take_out_inside_isolation,
            _notice_passes_through_the_third,
            _one_way_cut,
        ):
            scenario(oracle)
            oracle.deployment.clear_faults()
            _bring_back(oracle)


def test_isolated_data_centre_stops_if_told_so():
    """Guards against starts under isolated_start_policy = stop."""
    with start_operator_oracle(
        settings=STOP_WHEN_ISOLATED, data_centres=("kumasi", "obuasi"), entries_count=1
    ) as oracle:
        _take_out_of_isolated(oracle, starts_meanwhile=False)


def _bring_back(oracle, name="obuasi"):
    deployment = oracle.deployment
    entry = entry_in(deployment, "kumasi")
    oracle.wait_recorded(name, True)

    def send_return():
        order = oracle.send_order("in", name, entry)
        return order if order.status == 200 else None

    order = deployment.wait(send_return, f"{name} is returned")
    with running_load(deployment):
        oracle.wait_starts(name, order.received_seconds)
    oracle.check_take_outs()


def _take_out_of_isolated(oracle, *, starts_meanwhile):
    """Both sides give true answers, and the take-out holds after reconnection."""
    deployment = oracle.deployment
    isolated, connected = (entry_in(deployment, name) for name in ("obuasi", "kumasi"))
    cut_seconds = time.monotonic()
    deployment.isolate("obuasi")
    # A heartbeat that was under way and the isolation timeout, then a start round.
    isolated_seconds = cut_seconds + 1.0 + 3.0 + 2.0
    deployment.wait(lambda: time.monotonic() > isolated_seconds, "obuasi is isolated")
    order = oracle.send_order("out", "obuasi", connected)
    check.assertEqual(order.answer["outcome"], "recorded", order)
    check.assertFalse(order.answer["is_in_force"])
    summary = order.answer["summary"]
    check.assertIn(f"recorded as version {order.answer['version']}", summary)
    check.assertIn("not in force in obuasi, unreachable since", summary)
    silent = {item["instance_id"]: item for item in order.answer["not_in_force"]}
    expected_ids = {entry.instance_id for entry in deployment.running_entries("obuasi")}
    check.assertEqual(set(silent), expected_ids)
    cut_for_seconds = time.monotonic() - cut_seconds
    for item in silent.values():
        # Silent since the cut, within two heartbeat intervals.
        age_seconds = item["unreachable_seconds"]
        check.assertAlmostEqual(age_seconds, cut_for_seconds, delta=2.0)
    urgent = _submit(isolated, run_seconds=0.1, urgency="urgent")
    status, answer = isolated.request(
        "POST",
        "/v1/jobs",
        make_unique_job("once", is_repeatable=False),
        timeout_seconds=10.0,
    )
    check.assertNotEqual(answer["outcome"], "done", answer)
    if starts_meanwhile:
        oracle.wait_starts("obuasi", order.received_seconds)
        check.assertEqual(wait_final(deployment, isolated, urgent)["outcome"], "done")
    else:
        deployment.wait(
            lambda: time.monotonic() > order.received_seconds + 2.0, "time to start"
        )
        check.assertEqual(oracle.start_times("obuasi", isolated_seconds), [])
    oracle.orders.remove(order)
    with running_load(deployment):
        deployment.isolate("obuasi", mode="pass")
        oracle.orders.append(order)
        order = oracle.record_reachable(order)
        oracle.wait_past_bound(order)
    oracle.check_take_outs()
    _bring_back(oracle)


def _submit(entry, **fields):
    body = make_unique_job("cut", tasks_count=1, shape=SMALL, **fields)
    status, answer = entry.request("POST", "/v1/jobs", body, timeout_seconds=10.0)
    check.assertEqual(status, 202, answer)
    return answer["job_id"]


def _take_out_inside_isolation(oracle):
    """The cut-off side can take its own data centre out; the table learns it later."""
    deployment = oracle.deployment
    deployment.isolate("obuasi")
    entry = entry_in(deployment, "obuasi", 1)
    order = oracle.send_order("out", "obuasi", entry)
    check.assertEqual(order.status, 202, order)
    check.assertEqual(order.answer["outcome"], "not_recorded")
    confirmed = {item.instance_id for item in deployment.running_entries("obuasi")}
    check.assertEqual(set(order.answer["confirmed_by"]), confirmed, order)
    with running_load(deployment):
        oracle.wait_past_bound(order)
        oracle.check_take_outs()
        check.assertEqual(
            [
                row
                for row in oracle.written_configurations()[-1:]
                if row["data_centres_out"]
            ],
            [],
        )
        deployment.isolate("obuasi", mode="pass")
        oracle.wait_recorded("obuasi", True)
    oracle.check_take_outs()


def _notice_passes_through_the_third(oracle):
    """Without the table, a data centre learns of a take-out through another one."""
    deployment = oracle.deployment
    deployment.set_platform_fault(service="table", mode="down")
    deployment.set_links("kumasi", "obuasi", mode="drop")
    with running_load(deployment):
        order = oracle.send_order("out", "obuasi", entry_in(deployment, "kumasi"))
        oracle.wait_past_bound(order)
        oracle.check_take_outs()


def _one_way_cut(oracle):
    """What obuasi sends is lost; it still receives the take-out and starts nothing."""
    deployment = oracle.deployment
    for name in deployment.links("kumasi", "obuasi") + deployment.links(
        "mampong", "obuasi"
    ):
        is_own = name.startswith("obuasi>")
        direction = "to_target" if is_own else "to_client"
        deployment.proxy.send("set", route=name, direction=direction, mode="drop")
    deployment.set_platform_fault(service="table", mode="down", data_centre="obuasi")
    with running_load(deployment):
        order = oracle.send_order("out", "obuasi", entry_in(deployment, "mampong"))
        check.assertEqual(order.answer["outcome"], "recorded", order)
        oracle.wait_past_bound(order)
        oracle.check_take_outs()
