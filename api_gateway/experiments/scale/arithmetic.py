"""Named formulas of the capacity page: what the target asks of each part, alone and with what runs gave.

Names of figures that runs leave, roles and axes are those of stored runs. Where no run has a figure, all that
rests on it is not measured.
"""

from __future__ import annotations

from api_gateway.experiments.scale.cells import ARITHMETIC, Book, Figure, first, most

BEFORE, NOW = "e152add", "!e152add"  # builds: without views, and any other
WHOLE = "whole list"  # how variants of runs begin; see `view`
MODULE, PROCESS, SERVICE = "module-", "gateway-", "service-"  # how names of runs begin

# In the order in which the page shows them; of units that are a matter of definition.
UNITS_OF = {
    "cpu_share": "cores",
    "rss_mb": "MB",
    "bytes_in_s": "bytes/s",
    "bytes_out_s": "bytes/s",
    "messages_s": "messages/s",
    "ready_s": "s",
    "cpu_ms_a_change": "ms",
}  # of figures that runs leave
UNITS = {"day_s": 86400.0, "minute_s": 60.0, "ms_a_s": 1000.0, "bytes_a_kb": 1000.0, "kb_a_mb": 1000.0}


def unit(name: str) -> Figure:
    return Figure(UNITS[name], name, ARITHMETIC)


def view(book: Book) -> str:
    """The variant of runs with a view of the size that the page assumes."""
    return f"view of {book.of('view_hosts').value:.0f}"


def variants(book: Book) -> list[tuple[str, str, str]]:
    """Labels in names of figures, each with the variant and the build."""
    return [("before", WHOLE, BEFORE), ("whole", WHOLE, NOW), ("view", view(book), NOW)]


def add_formulas(book: Book) -> None:
    for part in (
        traffic,
        changes_of_the_list,
        changes_of_configuration,
        hosts,
        module,
        gateway,
        path,
        services,
        kinds,
        everywhere,
    ):
        part(book)


def traffic(book: Book) -> None:
    of, name = book.of, book.name
    name("requests_a_gateway", of("requests_s") / of("gateways"), "requests/s")
    name("requests_in_a_burst", book["requests_a_gateway"] * of("burst"), "requests/s")
    name("requests_a_host", of("requests_s") / of("hosts"), "requests/s")
    name("customers_a_gateway", of("tenants") * of("spread") / of("gateways"), "customers")
    name("accounts_let_go_s", of("tenants") / book["requests_a_gateway"], "s")  # one goes with each request
    name("hosts_a_service", of("hosts") / of("services"), "hosts")


def changes_of_the_list(book: Book) -> None:
    """Entries of the list that change, for a gateway that holds all hosts and for one that holds a view."""
    of, name = book.of, book.name
    share = name("share_in_view", of("view_hosts") / of("hosts"))
    name("changes_in_a_day", of("restarted_a_day") * of("entries_a_restart") / unit("day_s"), "entries/s")
    name(
        "changes_in_a_rollout", of("restarted_a_day") * of("entries_a_restart") / of("rollout_s"), "entries/s"
    )
    name("hosts_of_a_zone", of("hosts") / of("zones"), "hosts")
    name("hosts_of_a_region", of("hosts") / of("regions"), "hosts")
    name("gateways_of_a_region", of("gateways") / of("regions"), "gateways")
    name(
        "spans_until_a_region_lapsed",
        book["hosts_of_a_region"] / (of("hosts") * book.code("registry.core", "SELF_PRESERVATION_FRACTION")),
        "spans",
    )
    name("renewals_s", of("hosts") * of("renewals_a_ttl") / of("ttl_s"), "renewals/s")
    name("lapse_s", of("ttl_s") + book.code("registry.core", "DRAIN_DURATION_S", "s"), "s")
    name(
        "hosts_that_may_lapse",
        of("hosts") * book.code("registry.core", "SELF_PRESERVATION_FRACTION"),
        "hosts",
    )
    name(
        "gone_remembered",
        of("restarted_a_day") / of("rollout_s") * book.code("registry.core", "TOMBSTONE_LIFETIME_S", "s"),
        "hosts",
    )
    for event in ("changes_in_a_day", "changes_in_a_rollout"):
        name(f"{event}_in_view", book[event] * share, "entries/s")
    name("zone_in_view", book["hosts_of_a_zone"] * share, "hosts")
    name("region_in_view", book["hosts_of_a_region"] * share, "hosts")
    name("gateways_told_of_a_host", of("gateways") * share, "gateways")
    name("tellings_in_a_day", book["changes_in_a_day"] * book["gateways_told_of_a_host"], "tellings/s")
    name(
        "tellings_in_a_rollout", book["changes_in_a_rollout"] * book["gateways_told_of_a_host"], "tellings/s"
    )
    name("tellings_of_all_in_a_rollout", book["changes_in_a_rollout"] * of("gateways"), "tellings/s")


def changes_of_configuration(book: Book) -> None:
    of, name = book.of, book.name
    name("configurations_s", of("changes_a_day") / unit("day_s"), "changes/s")
    name("deliveries_s", book["configurations_s"] * of("gateways"), "deliveries/s")
    name("plans", of("tenants") * of("plans_a_tenant"), "plans")


def hosts(book: Book) -> None:
    """What the gateways are to a host."""
    of, name = book.of, book.name
    part = book.code("policy.endpoints", "SUBSET_SIZE_FACTOR") * book.code(
        "policy.endpoints", "MAX_IN_FLIGHT_PER_ENDPOINT"
    )
    name("part_hosts", part * of("hosts") / of("gateways"), "hosts")
    name("gateways_a_host", of("gateways") * book["part_hosts"] / of("hosts"), "gateways")
    name("connections_a_host", book["gateways_a_host"] * of("connections_a_pair"), "connections")
    name(
        "connections_a_host_in_view",
        book["gateways_told_of_a_host"] * of("connections_a_pair"),
        "connections",
    )
    name("attempts_out_a_host", book["requests_a_host"] * of("calls_in_work_s"), "attempts")
    name("requests_a_host_in_a_burst", book["requests_a_host"] * of("burst"), "requests/s")
    name("attempts_out_a_host_in_a_burst", book["attempts_out_a_host"] * of("burst"), "attempts")
    name("gap_of_a_pair", book["gateways_a_host"] / book["requests_a_host"], "s")


def module(book: Book) -> None:
    """CPU of the module alone, by whole lists on the build before and by views on the build of now."""
    of, name = book.of, book.name
    for label, variant, build in variants(book):

        def at(size: str, figure: str, variant: str = variant, build: str = build) -> Figure:
            return book.measured(figure, "gateway", "hosts", of(size), variant, build, name=MODULE)

        for kind, figure in (
            ("request", "cpu_ms_a_request"),
            ("change", "cpu_ms_a_change"),
            ("after", "cpu_ms_after_change"),
            ("list", "cpu_ms_whole_list"),
        ):
            name(f"{kind}_ms_{label}", at("hosts", figure), "ms")
        for kind, figure in (("request", "cpu_ms_a_request"), ("change", "cpu_ms_a_change")):
            name(
                f"{kind}_yardsticks_{label}",
                book.in_yardsticks(figure, "gateway", "hosts", of("hosts"), variant, build, name=MODULE),
            )
        name(f"list_mb_{label}", at("hosts", "kept_list_mb"), "MB")
        name(f"request_ms_{label}_at_few", at("few_hosts", "cpu_ms_a_request"), "ms")
        name(
            f"request_growth_{label}",
            book[f"request_ms_{label}"] / book[f"request_ms_{label}_at_few"],
            "times",
        )
        name(
            f"module_cores_{label}",
            book[f"request_ms_{label}"] * book["requests_a_gateway"] / unit("ms_a_s"),
            "cores",
        )
        name(f"module_cores_{label}_in_a_burst", book[f"module_cores_{label}"] * of("burst"), "cores")
        name(
            f"followed_ms_{label}",
            book[f"change_ms_{label}"] + book[f"after_ms_{label}"] - book[f"request_ms_{label}"],
            "ms",
        )
        rate = "changes_in_a_rollout_in_view" if label == "view" else "changes_in_a_rollout"
        name(
            f"module_cores_{label}_of_changes",
            book[f"followed_ms_{label}"] * book[rate] / unit("ms_a_s"),
            "cores",
        )
    for kind in ("sends", "counts"):
        each = book.measured(f"{kind}_a_request", "gateway", "hosts", of("hosts"), view(book), NOW)
        if kind == "counts":  # the fewer requests a customer has, the more calls each takes
            each = first(book.measured("calls_a_request", "counter", "requests", of("requests_s")), each)
        name(kind, each * book["requests_a_gateway"], f"{kind}/s")
        name(f"{kind}_in_a_burst", book[kind] * of("burst"), f"{kind}/s")
    name("counts_of_all", book["counts"] * of("gateways"), "calls/s")
    name("counts_of_all_in_a_burst", book["counts_of_all"] * of("burst"), "calls/s")
    for label, axis, held in (
        ("customers", "customers", of("tenants")),
        ("own_customers", "customers", book["customers_a_gateway"]),
        ("plans", "plans", of("routes")),
        ("plans_of_tenants", "plans", book["plans"]),
        ("classes", "classes", of("routes")),
        ("kinds", "kinds", of("services")),
        ("cells", "cells", of("services")),
    ):
        name(f"kept_mb_by_{label}", book.measured("kept_mb", "gateway", axis, held), "MB")
        name(f"idle_mb_by_{label}", book.measured("kept_idle_mb", "gateway", axis, held), "MB")
        name(f"request_ms_by_{label}", book.measured("cpu_ms_a_request", "gateway", axis, held), "ms")


def gateway(book: Book) -> None:
    """A real gateway with its sockets, without clients: at rest, and while hosts of the fleet change."""
    of, name = book.of, book.name
    for label, variant, build in variants(book):
        for figure, told in (
            ("rss_mb", "MB"),
            ("rss_after_mb", "MB"),
            ("cpu_share", "cores"),
            ("ready_s", "s"),
            ("messages_s", "messages/s"),
            ("bytes_in_s", "bytes/s"),
            ("bytes_out_s", "bytes/s"),
            ("start_bytes_in", "bytes"),
            ("cpu_ms_a_change", "ms"),
            ("bytes_in_a_change", "bytes"),
            ("bytes_out_a_change", "bytes"),
        ):
            name(
                f"{figure}_{label}",
                book.measured(figure, "gateway", "hosts", of("hosts"), variant, build, name=PROCESS),
                told,
            )
        name(
            f"kb_s_{label}",
            (book[f"bytes_in_s_{label}"] + book[f"bytes_out_s_{label}"]) / unit("bytes_a_kb"),
            "KB/s",
        )
        name(
            f"telling_bytes_{label}",
            book[f"bytes_in_a_change_{label}"] + book[f"bytes_out_a_change_{label}"],
            "bytes",
        )
        for event in ("day", "rollout"):
            # Few changes of the run lie in a view: one that does costs what it costs with the whole list.
            each, rate = (
                ("whole", f"changes_in_a_{event}_in_view")
                if label == "view"
                else (label, f"changes_in_a_{event}")
            )
            name(
                f"cpu_share_{label}_in_a_{event}",
                book[f"cpu_share_{label}"] + book[f"cpu_ms_a_change_{each}"] * book[rate] / unit("ms_a_s"),
                "cores",
            )
            name(
                f"kb_s_{label}_in_a_{event}",
                book[f"kb_s_{label}"] + book[f"telling_bytes_{each}"] * book[rate] / unit("bytes_a_kb"),
                "KB/s",
            )
        name(f"start_kb_{label}", book[f"start_bytes_in_{label}"] / unit("bytes_a_kb"), "KB")
        name(f"start_s_{label}", book[f"start_kb_{label}"] / of("control_kb_s"), "s")
    name("entry_bytes", book["start_bytes_in_whole"] / of("hosts"), "bytes")
    for label, entries in (
        ("restart", of("entries_a_restart")),
        ("loss", of("entries_a_loss")),
        ("region", book["region_in_view"] * of("entries_a_loss")),
    ):
        name(f"{label}_view_kb", entries * book["entry_bytes"] / unit("bytes_a_kb"), "KB")
        name(f"{label}_view_s", book[f"{label}_view_kb"] / of("control_kb_s"), "s")


EDGE = "edge"  # how variants of runs begin in which clients' commands are taken in turns
BY_PART = ("module", "sockets", "loop", "turn", "lease", "connection", "queue", "again")  # of a request's way


def way(book: Book) -> str:
    """The variant of runs of a request's way: with the view that the page assumes, where one is stored."""
    found = book.run("added_p99_ms", "gateway", "requests", view(book))
    return view(book) if found else ""


def path(book: Book) -> None:
    """A request through a real gateway, beside a bare relay to the same hosts."""
    of, name = book.of, book.name
    by_part = [f"part_{part}_p99_ms" for part in BY_PART] + [f"slow_{part}_ms" for part in ("all", *BY_PART)]
    for label, at in (("usual", "requests_a_gateway"), ("burst", "requests_in_a_burst")):
        for figure in (
            "added_p50_ms",
            "added_p99_ms",
            "relay_p99_ms",
            "gateway_p99_ms",
            "relay_outside_p99_ms",
            "gateway_outside_p99_ms",
            "stamped_added_p99_ms",
            "hosts_p99_ms",
            "pause_longest_ms",
            *by_part,
            "gateway_cpu_ms_a_request",
            "relay_cpu_ms_a_request",
            "rss_mb",
        ):
            variant = EDGE if "_turn_" in figure else way(book)
            name(
                f"{figure}_{label}",
                book.measured(figure, "gateway", "requests", book[at], variant),
                "MB" if figure == "rss_mb" else "ms",
            )
        name(
            f"process_cores_{label}",
            book[f"gateway_cpu_ms_a_request_{label}"] * book[at] / unit("ms_a_s"),
            "cores",
        )
        name(f"sockets_ms_{label}", book[f"gateway_cpu_ms_a_request_{label}"] - book["request_ms_view"], "ms")
        name(f"added_over_limit_{label}", book[f"added_p99_ms_{label}"] / of("added_ms"), "times")


# Those that are played in virtual time
EVENTS = ("rack", "zone", "rollout", "everything", "apart", "healed", "lost", "back")


def events(book: Book) -> None:
    """What events tell all gateways, counted over the list service's own core; and what others would."""
    of, name = book.of, book.name
    for event in EVENTS:
        for label, variant in (("view", view(book)), ("whole", WHOLE)):

            def told(figure: str, event: str = event, variant: str = variant) -> Figure:
                return book.measured(figure, "list-service", f"event:{event}", of("gateways"), variant, NOW)

            stem = f"{event}_{label}"
            name(f"{stem}_messages", told("messages_a_gateway"), "messages")
            for part, figure in (
                ("kb", "bytes_a_gateway"),
                ("kb_most", "bytes_a_gateway_most"),
                ("second_kb", "bytes_in_s_most"),
                ("service_second_kb", "service_bytes_out_s_most"),
            ):
                kb = told(figure) / unit("bytes_a_kb")
                if stem == "apart_view" and part in ("kb", "kb_most"):  # where it was not played
                    kb = first(kb, book["region_view_kb"])
                name(f"{stem}_{part}", kb, "KB")
            name(f"{stem}_s", book[f"{stem}_kb_most"] / of("control_kb_s"), "s")
            name(f"{stem}_minute_kb_s", book[f"{stem}_kb_most"] / unit("minute_s"), "KB/s")
            if event != "everything":  # it begins with the run, and gateways by its own pace
                name(f"{stem}_last_s", told("last_s"), "s")
            for figure, counted in (
                ("hosts_up", "hosts"),
                ("hosts_held", "hosts"),
                ("refused", "calls"),
                ("refused_s_most", "calls/s"),
            ):
                name(f"{stem}_{figure}", told(figure), counted)


def kinds(book: Book) -> None:
    """A gateway that uses all services and whose view names the kind of each."""
    of, name = book.of, book.name
    name("hosts_of_all_kinds", of("services") * book.code("base.subsets", "MIN_GROUP_SIZE"), "hosts")
    name(
        "rss_mb_of_all_kinds",
        book.measured("rss_mb", "gateway", "hosts", book["hosts_of_all_kinds"], WHOLE, NOW, name=PROCESS),
        "MB",
    )
    name("query_bytes", of("services") * of("kind_bytes"), "bytes")
    name("views_while_all_change", of("gateways") + of("gateways"), "views")


def everywhere(book: Book) -> None:
    """A change at all gateways by what there is: an operator's calls, each with all of the configuration."""
    of, name = book.of, book.name
    name("changes_apart_s", unit("day_s") / of("changes_a_day"), "s")
    name("history_s", book.code("control.config_history", "MAX_VERSIONS") / book["configurations_s"], "s")
    name("everywhere_s", book["apply_s"] * of("gateways") / of("calls_at_once"), "s")
    name("everywhere_over_limit", book["everywhere_s"] / of("change_s"), "times")
    name("configuration_mb", book["distribution_rss_mb"] - book["rss_mb_view"], "MB")
    name(
        "whole_configuration_kb_s",
        book["config_bytes"] * book["configurations_s"] / unit("bytes_a_kb"),
        "KB/s",
    )
    name(
        "configuration_kb_s",
        first(book["distribution_bytes_in_s"] / unit("bytes_a_kb"), book["whole_configuration_kb_s"]),
        "KB/s",
    )


def worst_seconds(book: Book) -> None:
    """Over all events that were played."""
    for label in ("view", "whole"):
        for part in ("second_kb", "service_second_kb"):
            of_all = [book[f"{event}_{label}_{part}"] for event in EVENTS]
            book.name(f"{label}_{part}", most(*of_all), "KB")


def services(book: Book) -> None:
    for part in (list_service, events, worst_seconds, beside, machines):
        part(book)


def list_service(book: Book) -> None:
    """Under gateways that watch it, with a view each. What hosts cost it is measured at few gateways, what
    gateways cost it at few hosts, where a change concerns a larger part of them: so it's taken by telling."""
    of, name = book.of, book.name
    for axis in ("gateways", "hosts"):
        for figure, told in (
            ("cpu_share_rest", "cores"),
            ("rss_mb", "MB"),
            ("cpu_ms_a_change", "ms"),
            ("last_ms", "ms"),
            ("ready_s", "s"),
            ("bytes_out_s_rest", "bytes/s"),
            ("messages_s_rest", "messages/s"),
            ("bytes_a_change_gateway", "bytes"),
        ):
            name(
                f"registry_{figure}_by_{axis}",
                book.measured(figure, "list-service", axis, of(axis), view(book), NOW),
                told,
            )
    name(
        "registry_hosts_held",
        book.held("hosts", "cpu_ms_a_change", "list-service", "gateways", view(book), NOW),
        "hosts",
    )
    name("registry_share_held", of("view_hosts") / book["registry_hosts_held"])
    name(
        "registry_tellings_held",
        of("gateways") * of("view_hosts") / book["registry_hosts_held"],
        "tellings a change",
    )
    name(
        "registry_telling_ms",
        book["registry_cpu_ms_a_change_by_gateways"] / book["registry_tellings_held"],
        "ms",
    )
    name(
        "registry_change_ms",
        book["registry_cpu_ms_a_change_by_hosts"]
        + book["registry_telling_ms"] * book["gateways_told_of_a_host"],
        "ms",
    )
    for event in ("day", "rollout"):
        rate = book[f"changes_in_a_{event}"]
        name(
            f"registry_cores_in_a_{event}",
            book["registry_cpu_share_rest_by_gateways"] + book["registry_change_ms"] * rate / unit("ms_a_s"),
            "cores",
        )
        each = book["registry_bytes_out_s_rest_by_gateways"] * of("gateways")
        name(
            f"registry_kb_s_in_a_{event}",
            (each + book["bytes_in_a_change_whole"] * book[f"tellings_in_a_{event}"]) / unit("bytes_a_kb"),
            "KB/s",
        )
    name("registry_calls_s", book["registry_messages_s_rest_by_gateways"] * of("gateways"), "calls/s")
    name("registry_mb", book["registry_rss_mb_by_gateways"], "MB")
    name("renewal_ms", book.measured("cpu_ms_a_renewal", "list-service", "hosts", of("hosts"), "", NOW), "ms")
    name("renewal_cores", book["renewal_ms"] * book["renewals_s"] / unit("ms_a_s"), "cores")
    for figure, told in (("cpu_ms_a_change", "ms"), ("cpu_share_rest", "cores")):
        name(
            f"registry_{figure}_whole",
            book.measured(figure, "list-service", "gateways", of("gateways"), WHOLE, NOW),
            told,
        )
    name(
        "registry_cores_whole_in_a_rollout",
        book["registry_cpu_share_rest_whole"]
        + book["registry_cpu_ms_a_change_whole"] * book["changes_in_a_rollout"] / unit("ms_a_s"),
        "cores",
    )
    for label in ("view", "whole"):
        name(f"registry_start_bytes_{label}", book[f"start_bytes_in_{label}"] * of("gateways"), "bytes")
        name(f"registry_start_mb_{label}", book[f"start_kb_{label}"] * of("gateways") / unit("kb_a_mb"), "MB")


def beside(book: Book) -> None:
    """The parts that gateways do without."""
    of, name = book.of, book.name
    usual = ("cpu_share", "rss_mb", "bytes_out_s")
    for role, label, axis, at, figures in (
        ("membership", "membership", "gateways", of("gateways"), (*usual, "bytes_in_s", "messages_s")),
        ("grantor", "grantor", "gateways", of("gateways"), usual),
        ("counter", "counter", "requests", of("requests_s"), ("cpu_share", "rss_mb")),
        (
            "distribution",
            "distribution",
            "plans",
            of("routes"),
            ("rss_mb", "bytes_in_s", "bytes_out_s", "cpu_ms_a_change"),
        ),
    ):
        for figure in figures:
            name(f"{label}_{figure}", book.measured(figure, role, axis, at), UNITS_OF[figure])
    name(
        "membership_kb_s",
        (book["membership_bytes_in_s"] + book["membership_bytes_out_s"]) / unit("bytes_a_kb"),
        "KB/s",
    )
    for figure, told in (
        ("start_bytes_out_s_most", "bytes/s"),
        ("start_known_s", "s"),
        ("start_rest_s", "s"),
    ):
        name(f"membership_{figure}", book.measured(figure, "membership", "gateways", of("gateways")), told)
    name("membership_start_kb_s", book["membership_start_bytes_out_s_most"] / unit("bytes_a_kb"), "KB/s")
    for figure, told in (
        ("holder_cpu_share", "cores"),
        ("holder_mb", "MB"),
        ("bytes_in_s", "bytes/s"),
        ("messages_s", "exchanges/s"),
    ):
        name(f"grantor_{figure}", book.measured(figure, "grantor", "gateways", of("gateways")), told)
    name(
        "holder_kb_s",
        (book["grantor_bytes_in_s"] + book["grantor_bytes_out_s"]) / of("gateways") / unit("bytes_a_kb"),
        "KB/s",
    )
    held = book.held("budgets", "bytes_in_s", "grantor", "gateways", unit="budgets")
    name(
        "exchange_bytes",
        book["grantor_bytes_in_s"] / book["grantor_messages_s"] / held * of("view_hosts"),
        "bytes",
    )
    name("grantor_kb_s", book["grantor_bytes_out_s"] / unit("bytes_a_kb"), "KB/s")
    name("exchanges_s", of("gateways") / of("exchange_s"), "exchanges/s")
    name("budgets_over_most", of("budgets") / book.code("budgets.settings", "MAX_BUDGETS"), "times")
    name(
        "configuration_cores",
        book["distribution_cpu_ms_a_change"] * book["configurations_s"] / unit("ms_a_s"),
        "cores",
    )
    name(
        "config_bytes_by_classes",
        book.measured("config_bytes", "distribution", "classes", of("routes")),
        "bytes",
    )
    for label, at in (("config_bytes", of("routes")), ("config_bytes_of_tenants", book["plans"])):
        name(label, book.measured("config_bytes", "distribution", "plans", at), "bytes")
    name("apply_s", book.measured("apply_ms", "distribution", "plans", of("routes")) / unit("ms_a_s"), "s")
    name(
        "counter_connections", of("gateways") * book.code("counter_client", "CONNECTION_COUNT"), "connections"
    )
    name(
        "rush_calls_s",
        book.measured("calls_s_most", "counter", "customers", book["customers_a_gateway"]),
        "calls/s",
    )
    name("rush_calls_of_all_s", book["rush_calls_s"] * of("gateways"), "calls/s")
    connected(book)


def connected(book: Book) -> None:
    """What gateways do at a host beside requests: of one gateway, then of all at one host."""
    of, name = book.of, book.name

    def a_host(figure: str, axis: str, at: Figure, variant: str = "") -> Figure:
        return book.measured(figure, "gateway", axis, at, variant, NOW) * of("gateways") / of("hosts")

    usual = book["requests_a_gateway"]
    name("connects_a_host", a_host("connects_s", "requests", usual), "connects/s")
    name("connects_a_host_at_most", book["gateways_a_host"] * of("connections_a_pair"), "connects/s")
    name(
        "connects_a_host_at_a_start",
        first(a_host("connects_s_most", "requests", usual), book["connects_a_host_at_most"]),
        "connects/s",
    )
    name(
        "gateways_of_a_host",
        first(a_host("hosts_used", "requests", usual), book["gateways_a_host"]),
        "gateways",
    )
    name(
        "connections_at_a_host",
        first(a_host("connections", "requests", usual), book["connections_a_host"]),
        "connections",
    )
    name(
        "connections_of_a_pair",
        book.measured("connections_a_host_most", "gateway", "requests", usual, "", NOW),
        "connections",
    )
    every = book["gateways_told_of_a_host"] * book["connections_of_a_pair"]
    name("connections_at_a_host_at_most", first(every, book["connections_a_host_in_view"]), "connections")
    name("connections_of_a_host", book["connections_a_host_in_view"] / of("host_connections"), "of them")
    for figure in ("probes", "probes_most"):
        stem, _, most_of = figure.partition("_")
        name(
            f"{figure}_a_host",
            a_host(f"{stem}_s{'_most' if most_of else ''}", "hosts", of("hosts"), view(book)),
            "probes/s",
        )


def machines(book: Book) -> None:
    """Those that are set aside, and what takes them."""
    of, name = book.of, book.name
    for label, told in (("cores", "cores"), ("mb", "MB"), ("kb_s", "KB/s")):
        name(f"{label}_of_all", of("machines") * of(f"machine_{label}"), told)
    name("module_of_a_loop", book["module_cores_view"] / of("loop_cores"), "of it")
    name("registry_cores_of_copies", book["registry_cores_in_a_rollout"] * of("copies"), "cores")
