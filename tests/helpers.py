"""Drives a decision engine with scripted events; nothing but the counter answers by itself."""

from api_gateway import interface as api
from api_gateway.policy import DecisionEngine

READ = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 1.0, 0.0, False, 0.0)
WRITE = api.ServiceClass("write", 1.0, 3.0, "keyed", "zone", 1.0, 3.0, 0.0, False, 0.0)
CELL = api.ServiceClass("cellwrite", 1.0, 3.0, "keyed", "cell", 5.0, 3.0, 0.0, False, 0.0)
NOTE = api.ServiceClass("note", 1.0, 3.0, "unsafe", "all", 5.0, 2.0, 0.0, False, 0.0)


def plan(name="p", **overrides):
    """Return a plan with the defaults of these tests."""
    defaults = dict(
        rate=2.0,
        burst=8.0,
        max_concurrent=0,
        priority_factor=1.0,
        over_quota_weight=0.0,
        over_quota_cost=1.0,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )
    return api.Plan(name, **{**defaults, **overrides})


def settings(plans=None, limits=None, rules=None, **overrides):
    """Return engine settings; `limits` and `rules` override single fields of those tables."""
    default_limits = dict(
        can_cancel=True,
        can_hedge=True,
        can_check_health=False,
        can_message_peers=False,
        sends_retry_after=True,
        max_attempts=4,
        max_retry_after=1.0,
    )
    default_rules = dict(
        answer_slack=0.01,
        drain_grace=1.0,
        slow_start_min_capacity=0.2,
        slow_start_duration=10.0,
        overload_multiple=2.0,
        overload_window=2.0,
        poll_deadline=10.0,
    )
    defaults = dict(
        gateway_index=0,
        gateway_count=2,
        zone="z1",
        classes={c.name: c for c in (READ, WRITE, CELL, NOTE)},
        plans={p.name: p for p in (plans or [plan()])},
        limits=api.Limits(**{**default_limits, **(limits or {})}),
        rules=api.Rules(**{**default_rules, **(rules or {})}),
        prices={"cross_zone": 0.02},
        has_counter=True,
        counter_price=0.01,
        counter_timeout=0.05,
        meter_period=0.0,
        reports_actual_units=False,
        max_request_units=4.0,
        discovery_mode="push",
        load_report_fields=("queue",),
        weight_kind="none",
    )
    return api.Settings(**{**defaults, **overrides})


def host(name, zone="z1", cell=0, state="up", started=0.0):
    """Return an endpoint of weight 1."""
    return api.Endpoint(name, zone, cell, 1.0, "k", state, started)


class EngineHarness:
    """A decision engine with a simulated clock, a counter and a log of its actions."""

    def __init__(self, engine_settings=None, hosts=None, seed=1, start=1000.0):
        self.now, self.settings = start, engine_settings or settings()
        self.engine = DecisionEngine(self.settings, seed, start)
        self.action_log, self.request_count = [], 0
        self.counts = {}
        self.counter_mode = "answer"  # or "silent", "lose" (counted without a reply), "refuse", "hold"
        listed = tuple(hosts if hosts is not None else [host("h1"), host("h2")])
        self.handle(api.EndpointList("cached", 1, listed))

    def handle(self, event):
        """Pass one event to the engine, answer counter calls by `counter_mode`, return all actions."""
        actions = self.engine.handle(self.now, event)
        self.action_log += [(self.now, action) for action in actions]
        for call in [action for action in actions if isinstance(action, api.AddToCounter)]:
            if self.counter_mode == "answer":
                total = self.counts[call.name] = self.counts.get(call.name, 0) + call.amount
                actions = actions + self.handle(api.CounterReply(call.name, "ok", total, 0.002))
            elif self.counter_mode in ("silent", "lose"):
                if self.counter_mode == "lose":
                    self.counts[call.name] = self.counts.get(call.name, 0) + call.amount
                self.now += 0.05
                actions = actions + self.handle(api.CounterReply(call.name, "timeout", 0, 0.05))
            elif self.counter_mode == "refuse":
                actions = actions + self.handle(api.CounterReply(call.name, "full", 0, 0.001))
        return actions

    def request(self, customer="c", plan="p", service_class="read", units=1, spread=2, remaining_s=3.0):
        """Send one request; return its id and the resulting actions."""
        self.request_count += 1
        name = f"r{self.request_count}"
        return name, self.handle(
            api.Request(name, remaining_s, customer, plan, service_class, units, 0, spread)
        )

    def advance(self, seconds, step=0.02):
        """Advance the clock in steps, with a timer event at each; return all actions."""
        actions, end = [], self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            actions += self.handle(api.TimerFired(0))
        return actions

    def end_attempt(self, send, result="ok", attempt=0, final=None, elapsed=0.05, **fields):
        """Report the result of the attempt that `send` started; `final` defaults to success."""
        return self.handle(
            api.AttemptEnded(
                send.request_id,
                attempt,
                send.endpoint_id,
                result,
                elapsed,
                result == "ok" if final is None else final,
                **fields,
            )
        )


def actions_of(actions, kind):
    """Return the actions of one type, or of a tuple of types."""
    return [action for action in actions if isinstance(action, kind)]
