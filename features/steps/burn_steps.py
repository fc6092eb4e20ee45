"""Steps for counters, history and calculator of the burn report."""

from __future__ import annotations

import collections
import math

import behave
import msgspec

from verbenastream import ids
from verbenastream.process import reports
from verbenastream.process.reports import burn
from verbenastream.process.reports import history
from verbenastream.process.state import fleet_log
from verbenastream.version import fleet
from verbenastream.version import planning
from verbenastream import wire

_SERVICE = ids.ServiceId('tariff-coding')
_START = 1_764_800_000.0
_DAY_S = 86_400.0


def _totals(entry, incarnation, good, bad=(), service=_SERVICE):
    totals = reports.ServiceTotals(service, good, tuple(bad))
    return reports.EntryTotals(entry, incarnation, (totals,))


def _unplanned(count, instance=None):
    return reports.BadCount(reports.Cause.UNPLANNED, count, instance)


def _count_by_service(burn_history):
    """Return the good and bad requests in all hours of the history."""
    counts = {}
    for service in burn_history.services():
        buckets = burn_history.buckets(service, 0.0, hours=True)
        good = sum(bucket.good for bucket in buckets)
        counts[service] = (
            good,
            sum(sum(bucket.bad.values()) for bucket in buckets),
        )
    return counts


def _record(context, minutes, bad_of):
    """Record 100 requests a minute, ``bad_of(minute)`` of them bad."""
    context.history = reports.BurnHistory()
    good = bad = 0
    for minute in range(minutes):
        new_bad = bad_of(minute)
        good += 100 - new_bad
        bad += new_bad
        totals = _totals('entry-1', 1, good, [_unplanned(bad)])
        context.history.merge([totals], _START + 60.0 * minute)
    context.now = _START + 60.0 * minutes


@behave.given(
    '{entries:d} entries that count requests of 2 services over '
    '{minutes:d} minutes'
)
def step_entries(context, entries, minutes):
    context.expected = collections.Counter()
    context.messages = []
    context.final = []
    for number in range(entries):
        counters = reports.BurnCounters(f'entry-{number}', 1)
        for minute in range(minutes):
            now = minute * 60.0
            for service in ('a', 'b'):
                for _ in range(context.random.randrange(4)):
                    counters.count_good(service, now)
                    context.expected[service, 'good'] += 1
                if context.random.random() < 0.3:
                    counters.count_bad(service, reports.Cause.OVERLOAD, now)
                    context.expected[service, 'bad'] += 1
            totals = counters.totals_to_send(now)
            if totals is not None:
                context.messages.append((now, totals))
        for service in ('a', 'b'):
            counters.count_good(service, now + 60.0)
            context.expected[service, 'good'] += 1
        context.final.append(counters.totals_to_send(now + 60.0))


@behave.when('their totals reach control lost, repeated and in wrong order')
def step_unreliable_delivery(context):
    arrivals = []
    for sent_at, message in context.messages:
        for _ in range(context.random.choice([0, 1, 1, 2])):
            delay_s = context.random.uniform(0.0, 300.0)
            arrivals.append((sent_at + delay_s, message))
    context.history = reports.BurnHistory()
    for at, message in sorted(arrivals, key=lambda arrival: arrival[0]):
        context.history.merge([message], _START + at)


@behave.when('each entry reports once more at the end')
def step_last_report(context):
    context.history.merge(context.final, _START + 13_000.0)


@behave.then(
    'the burn history holds exactly the requests that the entries counted'
)
def step_counts_match(context):
    for service, (good, bad) in _count_by_service(context.history).items():
        assert good == context.expected[service, 'good'], service
        assert bad == context.expected[service, 'bad'], service


@behave.given(
    'an entry reported {good:d} good and {bad:d} bad requests to the leader'
)
def step_reported(context, good, bad):
    context.history = reports.BurnHistory()
    context.counters = reports.BurnCounters('entry-1', 1)
    for _ in range(good):
        context.counters.count_good(_SERVICE, 0.0)
    for _ in range(bad):
        context.counters.count_bad(_SERVICE, reports.Cause.UNPLANNED, 0.0)
    context.collector = reports.BurnCollector()
    context.collector.take_uncommitted(0.0)
    context.collector.store_totals(context.counters.totals_to_send(0.0))


@behave.when('the leader is lost before it commits and a follower takes over')
def step_new_leader(context):
    # Only committed commands reach the history; the collector is gone.
    context.collector = reports.BurnCollector()
    context.collector.take_uncommitted(1.0)


@behave.when('the entry renews with the new leader and is lost as well')
def step_entry_lost(context):
    context.collector.store_totals(context.counters.totals_to_send(6.0))


@behave.when(
    'the entry starts again and reports {good:d} good and {bad:d} bad requests'
)
def step_restarted(context, good, bad):
    context.collector.store_totals(
        _totals('entry-1', 2, good, [_unplanned(bad)])
    )
    context.history.merge(context.collector.take_uncommitted(70.0), _START)


@behave.then('the burn history holds {good:d} good and {bad:d} bad requests')
def step_holds(context, good, bad):
    assert _count_by_service(context.history) == {_SERVICE: (good, bad)}


@behave.given(
    'a service committed to 99% with 100 requests a minute for 2 days'
)
def step_two_days(context):
    context.availability = 0.99
    context.events = []


@behave.given('2 of 100 requests are bad in the last hour')
def step_last_hour(context):
    minutes = 2 * 24 * 60
    _record(context, minutes, lambda minute: 2 * (minute >= minutes - 60))


@behave.given('a service committed to 100% with one bad request')
def step_no_budget(context):
    context.availability = 1.0
    context.events = []
    _record(context, 30, lambda minute: int(minute == 10))


@behave.when('the burn report is made')
def step_report(context):
    calculator = reports.BurnCalculator(context.history, context.events)
    context.report = calculator.report(
        [reports.Commitment(_SERVICE, context.availability)],
        reports.FleetFigures(instances=30, buffer_instances=4),
        context.now,
    )
    context.service = context.report.services[0]


def _burn_rate(context, name):
    windows_by_name = {
        window.name: window for window in context.service.windows
    }
    return windows_by_name[name].burn_rate


@behave.then('its burn rate over 1 h is 2 and over 5 min is 2')
def step_rates(context):
    assert math.isclose(_burn_rate(context, '1 h'), 2.0)
    assert math.isclose(_burn_rate(context, '5 min'), 2.0)


@behave.then('its burn rate over 6 h is one third')
def step_rate_6h(context):
    assert math.isclose(_burn_rate(context, '6 h'), 1 / 3)


@behave.then(
    'the forecast divides the budget left by the rate of the last 6 h'
)
def step_forecast(context):
    # 28 days of 144,000 requests a day at 1%, less 120 bad ones.
    budget_left = 28 * 144_000 * 0.01 - 120
    burnt_per_s = 120 / (6 * 3_600)
    assert math.isclose(
        context.service.exhausted_in_s, budget_left / burnt_per_s
    )


@behave.given('bad requests of a drained, a moved and a lost instance')
def step_causes(context):
    context.availability = 0.999
    events = fleet_log.FleetLog()
    context.history = reports.BurnHistory()
    states = fleet.InstanceState
    plan = (
        ('worker-1', states.DRAINING, planning.Reason.MAINTENANCE.value),
        ('worker-2', states.DRAINING, 'demand'),
        ('worker-3', states.LOST, 'lost'),
    )
    bad = []
    for number, (name, after_state, reason) in enumerate(plan):
        at = _START + 3_600.0 * number
        before = fleet.InstanceRecord(
            id=name,
            data_centre='mx-1',
            rack=f'mx-1-rack-{number}',
            address='127.0.0.1',
            port=1,
            resources=fleet.Resources(1, 1),
            state=states.SERVING,
            pool=_SERVICE,
        )
        after = msgspec.structs.replace(
            before, state=after_state, reason=reason
        )
        events.record(before, after, at)
        bad.append(_unplanned(number + 1, name))
        totals = _totals('entry-1', 1, 1_000 * (number + 1), bad)
        context.history.merge([totals], at)
    context.events = events.events()
    context.now = _START + 4 * 3_600.0


@behave.given('bad requests that were refused for overload')
def step_overload(context):
    refused = reports.BadCount(reports.Cause.OVERLOAD, 9)
    totals = _totals('entry-2', 1, 10, [refused])
    context.history.merge([totals], _START + 3 * 3_600.0)


@behave.then('each cause has its own bad requests and names its events')
def step_each_cause(context):
    bad_and_events_by_cause = {
        cause.cause: (cause.bad, cause.events)
        for cause in context.service.causes
    }
    assert bad_and_events_by_cause == {
        'maintenance': (1, ('maintenance (worker-1)',)),
        'move': (2, ('move (worker-2)',)),
        'unplanned': (3, ('instance lost (worker-3)',)),
        'overload': (9, ()),
    }, bad_and_events_by_cause


@behave.then('the report says that there is no budget')
def step_says_no_budget(context):
    assert context.service.spent is None
    assert 'no budget' in burn.render_text(context.report)


@behave.then('the JSON of the report is read back unchanged')
def step_json(context):
    text = burn.render_json(context.report)
    assert wire.decode(text, reports.BurnReport) == context.report


@behave.then('the HTML page has charts and refers to no other file')
def step_html(context):
    page = burn.render_html(context.report)
    assert page.count('<svg') == 1
    for reference in ('src=', 'href="http', '@import', 'url(http', '<script'):
        assert reference not in page, reference


@behave.then('a name with markup is escaped in the page')
def step_escaped(context):
    context.events = [
        reports.FleetEvent(
            reports.EventKind.LOSS,
            '<b>rack</b>',
            _START,
            None,
            (_SERVICE,),
            ('worker-1',),
        )
    ]
    step_report(context)
    page = burn.render_html(context.report)
    assert '&lt;b&gt;rack' in page and '<b>rack' not in page


@behave.given('30 days of one report per minute')
def step_thirty_days(context):
    context.availability = 0.999
    context.events = []
    context.history = reports.BurnHistory()
    for number in range(30 * 24 * 60):
        at = _START + 60.0 * number
        context.history.merge([_totals('entry-1', 1, number + 1)], at)
    context.now = _START + 30 * _DAY_S


@behave.then('at most {minutes:d} minutes and {hours:d} hours are kept')
def step_bounded(context, minutes, hours):
    buckets = context.history.buckets(_SERVICE, 0.0, hours=False)
    assert len(buckets) <= minutes, len(buckets)
    buckets = context.history.buckets(_SERVICE, 0.0, hours=True)
    assert len(buckets) <= hours, len(buckets)


@behave.then('a restored snapshot of the burn history gives the same report')
def step_restored(context):
    step_report(context)
    before = context.report
    context.history = history.BurnHistory.decode(context.history.encode())
    step_report(context)
    assert context.report == before
