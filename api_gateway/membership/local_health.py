"""Local health: how reliable a member's own observations are (Lifeguard, Dadgar et al., DSN 2018)."""

from __future__ import annotations

MAX_HEALTH_SCORE = 8  # multiplies ack timeouts by at most 9
HEALTHY_SCORE_LIMIT = 2  # reached by detecting one dead member, which must not prolong suspicion
ISOLATED_AFTER_S = 3.0  # without a datagram, after which the member considers itself isolated
ISOLATED_UNTIL_S = 30.0  # without a datagram, after which it considers the other members dead
LOSS_WINDOW_PROBES = 20  # time constant of the moving average of the direct probe loss
LOSS_SUSPICION_FACTOR = 4.0  # times the probe loss, by which suspicion is prolonged
MAX_SUSPICION_FACTOR = 6.0  # low enough that a few members that are partitioned together detect it


class LocalHealth:
    """The health of this process as a member.

    Attributes:
        score: Health score; 0 is healthy, larger is worse. It grows when probes fail and when others suspect
            the local member, and shrinks with each ack.
        probe_loss: Moving average of the fraction of direct probes of present members without an ack.
        last_datagram_at: When the last datagram from another member was received, in seconds.
    """

    def __init__(self, now: float) -> None:
        """Start healthy at `now`."""
        self.score = 0
        self.probe_loss = 0.0
        self.last_datagram_at = now

    def is_isolated(self, now: float, member_count: int) -> bool:
        """Return whether no datagrams arrive, so that this member is more likely cut off than left alone."""
        return member_count > 1 and ISOLATED_AFTER_S < now - self.last_datagram_at < ISOLATED_UNTIL_S

    def check_isolation(self, now: float, member_count: int) -> None:
        """Set the worst score while the member is isolated, and reset it when the others must be dead."""
        if self.is_isolated(now, member_count):
            self.score = MAX_HEALTH_SCORE
        elif now - self.last_datagram_at >= ISOLATED_UNTIL_S and self.probe_loss:
            self.score = 0
            self.probe_loss = 0.0

    def is_healthy(self) -> bool:
        """Return whether the observations of this member are reliable."""
        return self.score <= HEALTHY_SCORE_LIMIT

    def record_failure(self) -> None:
        """Record a probe without any ack, or that another member suspects this one."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def record_success(self) -> None:
        """Record a probe that was acknowledged."""
        self.score = max(0, self.score - 1)

    def record_pause(self, now: float) -> None:
        """Record that this process was paused."""
        self.score = MAX_HEALTH_SCORE
        self.last_datagram_at = now

    def record_direct_probe(self, *, is_acked: bool) -> None:
        """Record whether a direct probe was acknowledged in time."""
        loss = 0.0 if is_acked else 1.0
        self.probe_loss += (loss - self.probe_loss) / LOSS_WINDOW_PROBES

    def ack_timeout_factor(self) -> int:
        """Return the factor by which ack timeouts are extended."""
        return 1 + self.score

    def suspicion_factor(self) -> float:
        """Return the factor by which suspicion timeouts are extended."""
        unhealthy = 1 + max(0, self.score - HEALTHY_SCORE_LIMIT)
        return min(MAX_SUSPICION_FACTOR, (1 + LOSS_SUSPICION_FACTOR * self.probe_loss) * unhealthy)
