"""How far a member may trust its own findings (local health of Lifeguard, Dadgar and others, DSN 2018)."""

from __future__ import annotations

MAX_HEALTH_SCORE = 8  # times longer than usual, and one, that an unhealthy member waits for an ack
USUAL_HEALTH_SCORE = 2  # comes with finding one dead member: suspicion lasts no longer for it
ISOLATED_AFTER_S = 3.0  # without a datagram, after which a member takes itself for cut off
ISOLATED_UNTIL_S = 30.0  # without a datagram, after which it takes the others for gone
LOSS_WINDOW_PROBES = 20  # over which the loss of direct probes is averaged
LOSS_SUSPICION_FACTOR = 4.0  # by which suspicion lasts longer, times the loss
MAX_SUSPICION_FACTOR = 6.0  # times as long at the most: a few that are cut off together find out, too


class LocalHealth:
    """The health of this process as a member.

    Attributes:
        score: Health score; 0 is healthy, larger is worse. It grows when probes fail and when others suspect
            this member, and shrinks with each ack.
        probe_loss: Share of direct probes of present members that had no ack, lately.
        last_datagram_at: When the last datagram of another member came, in seconds.
    """

    def __init__(self, now: float) -> None:
        """Start healthy at `now`."""
        self.score = 0
        self.probe_loss = 0.0
        self.last_datagram_at = now

    def is_isolated(self, now: float, member_count: int) -> bool:
        """Tell whether it hears nobody and is therefore more likely cut off than left alone."""
        return member_count > 1 and ISOLATED_AFTER_S < now - self.last_datagram_at < ISOLATED_UNTIL_S

    def check_isolation(self, now: float, member_count: int) -> None:
        """Distrust this member while it is isolated; trust it again when the others must be gone."""
        if self.is_isolated(now, member_count):
            self.score = MAX_HEALTH_SCORE
        elif now - self.last_datagram_at >= ISOLATED_UNTIL_S and self.probe_loss:
            self.score = 0
            self.probe_loss = 0.0

    def is_good(self) -> bool:
        """Tell whether findings of this member are as good as usual."""
        return self.score <= USUAL_HEALTH_SCORE

    def record_failure(self) -> None:
        """Note a probe without any ack, or that another member suspects this one."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def record_success(self) -> None:
        """Note a probe that was acknowledged."""
        self.score = max(0, self.score - 1)

    def record_pause(self, now: float) -> None:
        """Note that this process did not run for a while."""
        self.score = MAX_HEALTH_SCORE
        self.last_datagram_at = now

    def record_direct_probe(self, *, is_acked: bool) -> None:
        """Note whether a direct probe had an ack in time."""
        loss = 0.0 if is_acked else 1.0
        self.probe_loss += (loss - self.probe_loss) / LOSS_WINDOW_PROBES

    def wait_factor(self) -> int:
        """Return how many times longer than usual to wait for an ack."""
        return 1 + self.score

    def suspicion_factor(self) -> float:
        """Return how many times longer than usual a suspect has to refute."""
        unhealthy = 1 + max(0, self.score - USUAL_HEALTH_SCORE)
        return min(MAX_SUSPICION_FACTOR, (1 + LOSS_SUSPICION_FACTOR * self.probe_loss) * unhealthy)
