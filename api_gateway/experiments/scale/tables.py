"""The tables of the capacity page: what stands in each row, and which mechanism carries it."""

from __future__ import annotations

from dataclasses import dataclass

from api_gateway.experiments.scale.arithmetic import BEFORE, MODULE, NOW, PROCESS, WHOLE, view, way
from api_gateway.experiments.scale.cells import Book, Figure, most

MISSING = "missing"
# What breaks, the worst first.
GATEWAY, PART, COST = "a gateway cannot run", "a part cannot hold the fleet", "costs too much"
BREAKS = (GATEWAY, PART, COST)
NOTHING = "nothing"  # a bound that may be passed


@dataclass(frozen=True, slots=True)
class Slope:
    figure: str
    role: str
    axis: str
    unit: str
    variant: str = ""
    build: str = ""
    name: str = ""


@dataclass(frozen=True, slots=True)
class Row:
    """`rest` and `worst`: at the target; `event`: which is the worst; `carried`: names in the code, or
    missing; `breaks`: what is the matter where the limit is passed; `past`: what the code does then."""

    what: str
    slope: Slope | str
    rest: Figure | None
    worst: Figure | None
    event: str
    limit: Figure | None
    carried: str
    breaks: str = COST
    past: str = ""

    @property
    def ratio(self) -> Figure | None:
        if self.limit is None:
            return None
        return most(*(figure for figure in (self.worst, self.rest) if figure is not None)) / self.limit


def slope(book: Book, told: Slope | str) -> str:
    if isinstance(told, str):
        return told
    return book.slope(told.figure, told.role, told.axis, told.unit, told.variant, told.build, told.name)


def rows(book: Book) -> dict[str, list[Row]]:
    return {
        "gateway-path": gateway_path(book),
        "gateway-control": gateway_control(book),
        "gateway-before": gateway_before(book),
        "list-service": list_service(book),
        "distribution": distribution(book),
        "counter": counter(book),
        "membership": membership(book),
        "grantor": grantor(book),
        "voters": voters(),
        "hosts": hosts(book),
    }


def gateway_path(book: Book) -> list[Row]:
    core = book.of("loop_cores", "cores")
    return [
        Row(
            "state: MB of the module, by customers that ask here",
            Slope("kept_mb", "gateway", "customers", "MB"),
            book["kept_mb_by_own_customers"],
            book["kept_mb_by_customers"],
            "each tenant asks here",
            None,
            "`policy.customer_accounts.Account`",
        ),
        Row(
            "state: MB of plans, by plans",
            Slope("kept_mb", "gateway", "plans", "MB"),
            book["kept_mb_by_plans"],
            book["kept_mb_by_plans_of_tenants"],
            "a plan for each tenant",
            None,
            "`policy.customer_accounts.PlanGrants`",
        ),
        Row(
            "messages in: requests",
            "`requests_a_gateway`, `requests_in_a_burst`",
            book["requests_a_gateway"],
            book["requests_in_a_burst"],
            "a burst",
            None,
            "`downstream.client_connection.ClientConnection`",
        ),
        Row(
            "messages out: attempts",
            "`sends`",
            book["sends"],
            book["sends_in_a_burst"],
            "a burst",
            None,
            "`policy.endpoints.EndpointPool.choose`, `upstream.pool.Pool`",
        ),
        Row(
            "messages out: calls to the counter",
            "`counts`",
            book["counts"],
            book["counts_in_a_burst"],
            "a burst",
            None,
            "`policy.quota_leases.QuotaLeases.renew_lease`, `counter_client.CounterClient`",
        ),
        Row(
            "state: sources that are remembered, a tenant each",
            "`customers_a_gateway`",
            book["customers_a_gateway"].named("customers_a_gateway", "sources"),
            book.of("tenants", "sources"),
            "each tenant asks here",
            book.code("downstream.rate_limits", "MAX_SOURCES", "sources"),
            "`downstream.rate_limits.MAX_SOURCES`",
            past="those that rest longest are forgotten; their limits by rate begin anew",
        ),
        Row(
            "processor: the module",
            Slope("cpu_ms_a_request", "gateway", "hosts", "ms", view(book), NOW),
            book["module_cores_view"],
            book["module_cores_view_in_a_burst"],
            "a burst",
            core,
            "`policy.endpoints.EndpointPool`, `base.subsets.SubsetSpec`",
            GATEWAY,
        ),
        Row(
            "processor: with sockets",
            Slope("gateway_cpu_ms_a_request", "gateway", "requests", "ms", way(book)),
            book["process_cores_usual"],
            book["process_cores_burst"],
            "a burst",
            core,
            "`gateway.node.GatewayNode`",
            GATEWAY,
        ),
        Row(
            "time added to a request",
            Slope("added_p99_ms", "gateway", "requests", "ms", way(book)),
            book["added_p99_ms_usual"],
            book["added_p99_ms_burst"],
            "a burst",
            book.of("added_ms", "ms"),
            "`gateway.node.GatewayNode`",
        ),
        Row(
            "memory",
            Slope("rss_mb", "gateway", "requests", "MB", way(book)),
            book["rss_mb_usual"],
            book["rss_mb_burst"],
            "a burst",
            None,
            "`downstream.body_budget.BodyBudget`",
        ),
    ]


EVENT_NAMES = {
    "rack": "a rack goes",
    "zone": "a zone goes",
    "rollout": "a rollout",
    "everything": "all gateways start",
    "apart": "regions lose each other",
    "healed": "regions meet again",
    "lost": "a list service goes",
    "back": "the only list service is back",
}


def second(book: Book, name: str) -> tuple[str, None, Figure, str]:
    """Slope, figures and name of the event in which most is told in a second."""
    found = book.formulas[name][0]
    return f"`{found}`", None, book[name], EVENT_NAMES.get(found.split("_")[0], "an event")


def at_rest(book: Book, label: str, variant: str, build: str, carried: str) -> list[Row]:
    """Control of a gateway that has a list: bytes, processor, memory."""

    def by(figure: str, unit: str, name: str = PROCESS) -> Slope:
        return Slope(figure, "gateway", "hosts", unit, variant, build, name)

    kb, cores = book.of("control_kb_s", "KB/s"), book.of("control_cores", "cores")
    told = "view" if label == "view" else "whole"
    each = (
        by
        if label != "view"
        else lambda figure, unit: Slope(figure, "gateway", "hosts", unit, WHOLE, NOW, PROCESS)
    )
    return [
        Row(
            "bytes in and out: the list",
            each("bytes_in_a_change", "bytes a change that it is told"),
            book[f"kb_s_{label}_in_a_day"],
            book[f"kb_s_{label}_in_a_rollout"],
            "a rollout",
            kb,
            carried,
        ),
        Row("bytes in: the list, in the worst second", *second(book, f"{told}_second_kb"), kb, carried),
        Row(
            "processor: process and list",
            each("cpu_ms_a_change", "ms a change that it is told"),
            book[f"cpu_share_{label}_in_a_day"],
            book[f"cpu_share_{label}_in_a_rollout"],
            "a rollout",
            cores,
            carried,
        ),
        Row(
            "processor: of it the module, by changes",
            by("cpu_ms_after_change", "ms after a change", MODULE),
            None,
            book[f"module_cores_{label}_of_changes"],
            "a rollout",
            cores,
            "`policy.endpoints.EndpointPool.on_list`",
        ),
        Row(
            "memory: process and list",
            by("rss_mb", "MB"),
            book[f"rss_mb_{label}"],
            book[f"rss_after_mb_{label}"],
            "after changes of the list",
            book.of("control_mb", "MB"),
            carried,
        ),
    ]


def gateway_control(book: Book) -> list[Row]:
    cores, kb = book.of("control_cores", "cores"), book.of("control_kb_s", "KB/s")
    return [
        Row(
            "state: hosts, by the view",
            "`part_hosts`",
            book.of("view_hosts", "hosts"),
            book.of("view_hosts", "hosts"),
            "none",
            None,
            "`base.subsets.SubsetSpec`",
        ),
        Row(
            "messages in: entries of the list",
            "`changes_in_a_day_in_view`, `changes_in_a_rollout_in_view`",
            book["changes_in_a_day_in_view"],
            book["changes_in_a_rollout_in_view"],
            "a rollout",
            None,
            "`registry.live_view.LiveView`, `discovery.client.Discovery`",
        ),
        Row(
            "messages out: calls at rest, of discovery and the counter",
            Slope("messages_s", "gateway", "hosts", "messages/s", view(book), NOW, PROCESS),
            book["messages_s_view"],
            None,
            "none",
            None,
            "`discovery.client.Discovery`, `counter_client.CounterClient`",
        ),
        *at_rest(
            book, "view", view(book), NOW, "`base.subsets.SubsetSpec`, `discovery.subsets.EndpointSubset`"
        ),
        Row(
            "bytes in and out: membership",
            Slope("bytes_out_s", "membership", "gateways", "bytes/s"),
            book["membership_kb_s"],
            book["membership_start_kb_s"],
            "a start of all, worst second",
            kb,
            "`membership.swim.Swim`",
        ),
        Row(
            "bytes in: configuration, all of it with each change",
            "`configuration_kb_s`",
            book["configuration_kb_s"],
            None,
            "none",
            kb,
            "`control.config_changes.ConfigChanges.change`",
        ),
        Row(
            "processor: membership",
            Slope("cpu_share", "membership", "gateways", "cores"),
            book["membership_cpu_share"],
            None,
            "a start of all",
            cores,
            "`membership.swim.Swim`",
        ),
        *of_all_kinds(book),
        *of_whole_lists(book),
    ]


def of_all_kinds(book: Book) -> list[Row]:
    """A gateway that uses every service, by a view that names all kinds."""
    return [
        Row(
            "state: kinds that a view names, where it names all",
            "`services`",
            book.of("services", "kinds"),
            None,
            "none",
            book.code("base.subsets", "MAX_KINDS", "kinds"),
            "`base.subsets.SubsetSpec`",
            PART,
            "the view is refused",
        ),
        Row(
            "state: hosts of such a view",
            "`hosts_of_all_kinds`",
            book["hosts_of_all_kinds"],
            None,
            "none",
            book.code("base.subsets", "MAX_SUBSET_SIZE", "hosts"),
            "`base.subsets.SubsetSpec.group_size`",
            PART,
            "the view is refused",
        ),
        Row(
            "bytes out: the question for such a view",
            "`query_bytes`",
            book["query_bytes"],
            None,
            "none",
            book.code("registry.service", "MAX_REQUEST_LINE_BYTES", "bytes"),
            "`base.subsets.SubsetSpec.query`",
            PART,
            "the call is refused; the gateway takes its part of whole lists",
        ),
        Row(
            "memory: with such a view, as of a whole list of its hosts",
            Slope("rss_mb", "gateway", "hosts", "MB", WHOLE, NOW, PROCESS),
            book["rss_mb_of_all_kinds"],
            None,
            "none",
            book.of("control_mb", "MB"),
            "`base.subsets.SubsetSpec.group_size`",
        ),
    ]


def of_whole_lists(book: Book) -> list[Row]:
    return [
        Row(
            "bytes in: a whole list, in one answer",
            "`start_bytes_in_whole`",
            book["start_bytes_in_whole"],
            None,
            "none",
            book.code("discovery.fetcher", "MAX_BODY_BYTES", "bytes"),
            "`discovery.fetcher.MAX_BODY_BYTES`",
            GATEWAY,
            "the answer is not taken",
        ),
        Row(
            "state: hosts told to leave that are remembered",
            "`zone_in_view`, `hosts_of_a_zone`",
            book["zone_in_view"],
            book["hosts_of_a_zone"],
            "a zone goes, with whole lists",
            book.code("discovery.drain_memory", "MAX_REMEMBERED_DRAINS", "hosts"),
            "`discovery.drain_memory.MAX_REMEMBERED_DRAINS`",
            past="an older list from another address may bring back one that left",
        ),
    ]


def gateway_before(book: Book) -> list[Row]:
    """The same where a gateway holds all hosts, on the build that could no other."""
    return [
        Row(
            "path: processor, the module alone",
            Slope("cpu_ms_a_request", "gateway", "hosts", "ms", WHOLE, BEFORE, MODULE),
            book["module_cores_before"],
            book["module_cores_before_in_a_burst"],
            "a burst",
            book.of("loop_cores", "cores"),
            "`policy.endpoints.EndpointPool`, `base.subsets.SubsetSpec`",
            GATEWAY,
        ),
        *at_rest(
            book, "before", WHOLE, BEFORE, "`base.subsets.SubsetSpec`, `discovery.subsets.EndpointSubset`"
        ),
    ]


def list_service(book: Book) -> list[Row]:
    def by(figure: str, unit: str, axis: str = "gateways") -> Slope:
        return Slope(figure, "list-service", axis, unit, view(book), NOW)

    return [
        Row(
            "state: MB, by hosts",
            by("rss_mb", "MB", "hosts"),
            book["registry_rss_mb_by_hosts"],
            None,
            "a zone",
            book.of("machine_mb", "MB"),
            "`registry.core.Registry.entries`",
        ),
        Row(
            "state: watches that wait at once, where the file does not say",
            "`gateways`",
            book.of("gateways", "watches"),
            None,
            "none",
            book.code("registry.config", "DEFAULT_MAX_WATCHES", "watches"),
            "`registry.config.DEFAULT_MAX_WATCHES`",
            PART,
            "others are told to come again later; the key `watchers` sets another number",
        ),
        Row(
            "state: views that are live",
            "`gateways`, `views_while_all_change`",
            book.of("gateways", "views"),
            book["views_while_all_change"],
            "all gateways ask for another view at once",
            book.code("registry.subsets", "MAX_VIEWS", "views"),
            "`registry.subsets.MAX_VIEWS`",
            past="the one that rests longest goes, others are told to come again; the key `views` sets "
            "another number",
        ),
        Row(
            "state: hosts that went and are remembered, for whole lists",
            "`gone_remembered`, `hosts_of_a_zone`",
            book["gone_remembered"],
            book["hosts_of_a_zone"],
            "a zone",
            book.code("registry.core", "MAX_TOMBSTONES", "hosts"),
            "`registry.core.Registry.drop_tombstone`",
            past="a watch from before what is remembered gets the whole list",
        ),
        Row(
            "state: hosts that left views, told to all of them as one object",
            "`hosts_of_a_zone`",
            None,
            book["hosts_of_a_zone"],
            "a zone",
            book.code("registry.subsets", "MAX_REMOVED_HOSTS", "hosts"),
            "`registry.subsets.LiveViews`",
            NOTHING,
            "the table begins anew, and views that come later are told the same by another object",
        ),
        Row(
            "messages in: calls of gateways at rest",
            by("messages_s_rest", "messages/s a gateway"),
            book["registry_calls_s"],
            None,
            "none",
            None,
            "`registry.core.Registry.watch_view`",
        ),
        Row(
            "messages in: renewals of hosts",
            "`renewals_s`",
            book["renewals_s"],
            None,
            "none",
            None,
            "`registry.core.Registry.renew`",
        ),
        Row(
            "processor: renewals of hosts",
            Slope("cpu_ms_a_renewal", "list-service", "hosts", "ms a renewal", "", NOW),
            book["renewal_cores"],
            None,
            "none",
            book.of("loop_cores", "cores"),
            "`registry.core.Registry.renew`",
            PART,
        ),
        Row(
            "messages out: gateways told of changes",
            "`tellings_in_a_day`, `tellings_in_a_rollout`",
            book["tellings_in_a_day"],
            book["tellings_in_a_rollout"],
            "a rollout",
            None,
            "`registry.core.Registry.wake`",
        ),
        Row(
            "bytes out",
            "`registry_kb_s_in_a_day`, `registry_kb_s_in_a_rollout`",
            book["registry_kb_s_in_a_day"],
            book["registry_kb_s_in_a_rollout"],
            "a rollout",
            book.of("machine_kb_s", "KB/s"),
            "`registry.answer_encoding.AnswerEncoder.encode`",
        ),
        Row(
            "bytes out, in the worst second",
            *second(book, "view_service_second_kb"),
            book.of("machine_kb_s", "KB/s"),
            "`registry.answer_encoding.AnswerEncoder.encode`",
        ),
        Row(
            "processor",
            by("cpu_ms_a_change", "ms a change"),
            book["registry_cores_in_a_day"],
            book["registry_cores_in_a_rollout"],
            "a rollout",
            book.of("loop_cores", "cores"),
            "`registry.core.Registry.wake`",
            PART,
        ),
        Row(
            "processor, were all gateways told whole lists",
            Slope("cpu_ms_a_change", "list-service", "gateways", "ms a change", WHOLE, NOW),
            None,
            book["registry_cores_whole_in_a_rollout"],
            "a rollout",
            book.of("loop_cores", "cores"),
            "`base.subsets.SubsetSpec`",
            PART,
        ),
        Row(
            "state: bytes of answers of one version that are kept",
            "`registry_start_bytes_view`",
            None,
            book["registry_start_bytes_view"],
            "a start of all",
            book.code("registry.answer_encoding", "MAX_ENCODED_BYTES", "bytes"),
            "`registry.answer_encoding.AnswerEncoder.encode`",
            NOTHING,
            "what is asked for again is encoded anew; views are each asked for once",
        ),
        Row(
            "ms until the last gateway is told of a change",
            by("last_ms", "ms"),
            book["registry_last_ms_by_gateways"],
            None,
            "a rollout",
            None,
            "`registry.core.BATCH_DELAY_S`",
        ),
        Row(
            "s until all gateways that start together have their lists",
            by("ready_s", "s"),
            None,
            book["registry_ready_s_by_gateways"],
            "a start of all",
            None,
            "`discovery.polling.Backoff.first_delay`",
        ),
        Row(
            "memory",
            by("rss_mb", "MB"),
            book["registry_mb"],
            None,
            "a start of all",
            book.of("machine_mb", "MB"),
            "`registry.service.Service`",
        ),
    ]


def distribution(book: Book) -> list[Row]:
    return [
        Row(
            "state: bytes of a configuration, by plans",
            Slope("config_bytes", "distribution", "plans", "bytes"),
            book["config_bytes"],
            book["config_bytes_of_tenants"],
            "a plan for each tenant",
            book.code("control.config_schema", "MAX_BODY_BYTES", "bytes"),
            "`control.config_schema.MAX_BODY_BYTES`",
            PART,
            "a change by a call is refused; at SIGHUP the file is read, which has no bound",
        ),
        Row(
            "state: bytes of a configuration, by classes",
            Slope("config_bytes", "distribution", "classes", "bytes"),
            book["config_bytes_by_classes"],
            None,
            "none",
            book.code("control.config_schema", "MAX_BODY_BYTES", "bytes"),
            "`control.config_schema.MAX_BODY_BYTES`",
            PART,
            "a change by a call is refused; at SIGHUP the file is read, which has no bound",
        ),
        Row(
            "state: bytes of the history of changes at a gateway",
            "`config_bytes`",
            book["config_bytes"],
            None,
            "none",
            book.code("control.config_history", "MAX_BYTES", "bytes"),
            "`control.config_history.MAX_BYTES`",
            past="only the version in force and the one before it stay",
        ),
        Row(
            "state: s that the history reaches back",
            "`history_s`",
            book["history_s"],
            None,
            "none",
            None,
            "`control.config_history.MAX_VERSIONS`",
        ),
        Row(
            "s until a change is in force everywhere, by an operator's calls",
            "`everywhere_s`",
            book["everywhere_s"],
            None,
            "a zone cut off",
            book.of("change_s", "s"),
            "`control.config_changes.ConfigChanges.change`",
            PART,
        ),
        Row("messages out: deliveries", "`deliveries_s`", book["deliveries_s"], None, "none", None, MISSING),
        Row("bytes out", "not measured", book["distribution_bytes_out_s"], None, "none", None, MISSING),
        Row(
            "processor: of a gateway that takes a change",
            Slope("cpu_ms_a_change", "distribution", "plans", "ms"),
            book["configuration_cores"],
            None,
            "none",
            book.of("control_cores", "cores"),
            "`control.config_changes.ConfigChanges.change`",
        ),
        Row(
            "memory of a gateway with so many plans",
            Slope("rss_mb", "distribution", "plans", "MB"),
            book["distribution_rss_mb"],
            None,
            "none",
            book.of("control_mb", "MB"),
            "`control.config_changes.ConfigChanges`",
        ),
        Row("memory of what distributes", "not measured", None, None, "none", None, MISSING),
    ]


def counter(book: Book) -> list[Row]:
    return [
        Row(
            "state: names that are held, one a customer and window",
            "`tenants`",
            book.of("tenants", "names"),
            None,
            "none",
            book.code("emulators.counter", "MAX_NAMES", "names"),
            "the operators' own",
            past="the stand-in forgets the one that came first; the operators' own may not",
        ),
        Row(
            "messages in: calls",
            "`counts_of_all`",
            book["counts_of_all"],
            book["counts_of_all_in_a_burst"],
            "a burst",
            None,
            "`policy.customer_accounts.Account.lease_size`, `counter_client.CounterClient`",
        ),
        Row(
            "messages in: calls in a rush of tenants",
            Slope("calls_s_most", "counter", "customers", "calls/s of a gateway in the worst second"),
            None,
            book["rush_calls_of_all_s"],
            "each tenant is new at its gateways",
            None,
            "`policy.customer_accounts.Account.lease_size`",
        ),
        Row(
            "connections",
            "`counter_connections`",
            book["counter_connections"],
            None,
            "none",
            None,
            "`counter_client.CONNECTION_COUNT`",
        ),
        Row(
            "processor of the stand-in",
            Slope("cpu_share", "counter", "requests", "cores"),
            book["counter_cpu_share"],
            None,
            "a burst",
            None,
            "`emulators.counter`",
        ),
        Row(
            "memory of the stand-in",
            Slope("rss_mb", "counter", "requests", "MB"),
            book["counter_rss_mb"],
            None,
            "a burst",
            None,
            "`emulators.counter`",
        ),
    ]


def membership(book: Book) -> list[Row]:
    return [
        Row(
            "state: members that a cluster may have",
            "`gateways`",
            book.of("gateways", "members"),
            None,
            "none",
            book.code("membership.member_table", "MAX_MEMBERS", "members"),
            "`membership.member_table.MAX_MEMBERS`",
            PART,
            "a member that joins is not taken",
        ),
        Row(
            "state: members that were lost and whose addresses are remembered",
            "`gateways_of_a_region`",
            None,
            book["gateways_of_a_region"],
            "regions lose each other",
            book.code("membership.member_table", "MAX_LOST_ADDRESSES", "members"),
            "`membership.member_table.MAX_LOST_ADDRESSES`",
            NOTHING,
            "those that were lost last are tried again, and the rest is met through them",
        ),
        Row(
            "messages in and out a member",
            Slope("messages_s", "membership", "gateways", "messages/s"),
            book["membership_messages_s"],
            None,
            "a start of all",
            None,
            "`membership.swim.Swim.tick`",
        ),
        Row(
            "bytes in and out a member",
            Slope("bytes_out_s", "membership", "gateways", "bytes/s"),
            book["membership_kb_s"],
            None,
            "none",
            book.of("control_kb_s", "KB/s"),
            "`membership.anti_entropy.EXCHANGE_INTERVAL_PER_MEMBER_S`",
        ),
        Row(
            "bytes out a member in the worst second of a start",
            Slope("start_bytes_out_s_most", "membership", "gateways", "bytes/s"),
            None,
            book["membership_start_kb_s"],
            "a start of all",
            book.of("control_kb_s", "KB/s"),
            "`membership.anti_entropy.BUSY_EXCHANGE_INTERVAL_S`",
        ),
        Row(
            "s until all that start together know each other",
            Slope("start_known_s", "membership", "gateways", "s"),
            None,
            book["membership_start_known_s"],
            "a start of all",
            None,
            "`membership.anti_entropy.BUSY_EXCHANGE_INTERVAL_S`",
        ),
        Row(
            "s until nothing is news after that",
            Slope("start_rest_s", "membership", "gateways", "s"),
            None,
            book["membership_start_rest_s"],
            "a start of all",
            None,
            "`membership.gossip.MAX_UPDATES_PER_DATAGRAM`",
        ),
        Row(
            "processor of a member",
            Slope("cpu_share", "membership", "gateways", "cores"),
            book["membership_cpu_share"],
            None,
            "a start of all",
            book.of("control_cores", "cores"),
            "`membership.swim.Swim.tick`",
        ),
        Row(
            "memory of a member",
            Slope("rss_mb", "membership", "gateways", "MB"),
            book["membership_rss_mb"],
            None,
            "a start of all",
            book.of("control_mb", "MB"),
            "`membership.member_table.Member`",
        ),
    ]


def grantor(book: Book) -> list[Row]:
    return [
        Row(
            "state: gateways that are remembered",
            "`gateways`",
            book.of("gateways", "gateways"),
            None,
            "none",
            book.code("budgets.grantor", "MAX_GATEWAY_NAMES", "gateways"),
            "`budgets.grantor.MAX_GATEWAY_NAMES`",
            PART,
            "a gateway more is not taken",
        ),
        Row(
            "state: budgets",
            "`budgets`",
            book.of("budgets", "budgets"),
            None,
            "none",
            book.code("budgets.settings", "MAX_BUDGETS", "budgets"),
            "`budgets.settings.MAX_BUDGETS`",
            PART,
            "the terms are refused",
        ),
        Row(
            "bytes in: an exchange that names the hosts of a view",
            "`exchange_bytes`",
            book["exchange_bytes"],
            None,
            "none",
            book.code("budgets.service", "MAX_BODY_BYTES", "bytes"),
            "`budgets.service.MAX_BODY_BYTES`",
            PART,
            "the exchange is refused",
        ),
        Row(
            "messages in: exchanges",
            Slope("messages_s", "grantor", "gateways", "exchanges/s"),
            most(book["grantor_messages_s"], book["exchanges_s"]),
            None,
            "none",
            None,
            "`budgets.grantor.Grantor.handle_exchange`",
        ),
        Row(
            "processor",
            Slope("cpu_share", "grantor", "gateways", "cores"),
            book["grantor_cpu_share"],
            None,
            "a start of all",
            book.of("loop_cores", "cores"),
            "`budgets.grantor.Grantor.handle_exchange`",
            PART,
        ),
        Row(
            "memory",
            Slope("rss_mb", "grantor", "gateways", "MB"),
            book["grantor_rss_mb"],
            None,
            "a start of all",
            book.of("machine_mb", "MB"),
            "`budgets.grantor.Grantor`",
        ),
    ]


def voters() -> list[Row]:
    return [
        Row(what, "not measured", None, None, "none", None, MISSING)
        for what in ("state", "messages in and out", "processor", "memory")
    ]


def hosts(book: Book) -> list[Row]:
    def by(figure: str, unit: str) -> Slope:
        return Slope(figure, "gateway", "requests", unit, "", NOW)

    every = "each gateway uses all of its view"
    return [
        Row(
            "gateways that send to a host",
            by("hosts_used", "hosts of a gateway"),
            book["gateways_of_a_host"],
            book["gateways_told_of_a_host"],
            every,
            None,
            "`policy.endpoints.EndpointPool.choose_subset`",
        ),
        Row(
            "connections",
            by("connections", "connections of a gateway"),
            book["connections_at_a_host"],
            book["connections_at_a_host_at_most"],
            every,
            book.of("host_connections", "connections"),
            "`upstream.pool.Pool`",
        ),
        Row(
            "connections of one gateway, at most",
            by("connections_a_host_most", "connections"),
            book["connections_of_a_pair"],
            None,
            "none",
            None,
            "`upstream.pool.Pool`",
        ),
        Row(
            "requests",
            "`requests_a_host`",
            book["requests_a_host"],
            book["requests_a_host_in_a_burst"],
            "a burst",
            None,
            "`policy.endpoints.EndpointPool.choose`",
        ),
        Row(
            "attempts out",
            "`attempts_out_a_host`",
            book["attempts_out_a_host"],
            book["attempts_out_a_host_in_a_burst"],
            "a burst",
            book.code("policy.endpoints", "MAX_IN_FLIGHT_PER_ENDPOINT", "attempts"),
            "`policy.endpoints.EndpointPool.is_at_limit`",
            past="a request waits, or goes to another host",
        ),
        Row(
            "connects",
            by("connects_s", "connects/s of a gateway"),
            book["connects_a_host"],
            book["connects_a_host_at_a_start"],
            "a start of all, worst second",
            None,
            "`upstream.connect_limits.ConnectLimits`",
        ),
        Row(
            "probes",
            Slope("probes_s", "gateway", "hosts", "probes/s", view(book)),
            book["probes_a_host"],
            book["probes_most_a_host"],
            "a start of all, worst second",
            None,
            "`gateway.node.GatewayNode.probe`",
        ),
    ]
