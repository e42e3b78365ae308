"""The accounts of the customers that one gateway serves, and the limit on their number."""

from __future__ import annotations

import math
import random
from itertools import islice

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import Account

MAX_ACCOUNT_IDLE_S = 60.0  # an account without requests for this long is removed
# Accounts considered for removal when a new one finds no room; bounds the cost of a request.
REMOVAL_CANDIDATES = 8


class AccountTable:
    """The customers' accounts at this gateway, in order of their last request.

    Attributes:
        max_accounts: The most accounts that are kept at once. A customer without one is then rejected: an
            account that is forgotten too early would renew its customer's allowance.
    """

    def __init__(self, now: float, rng: random.Random) -> None:
        """Create an empty table; `now` is when the gateway started to decide."""
        self.started_at = now
        self.rng = rng
        self.accounts: dict[str, Account] = {}
        self.max_accounts = math.inf

    def make_room(self, now: float) -> bool:
        """Return whether another account may be created, after removing some that hold nothing.

        Among the least recently used ones, those that still count are examined again only after the others.
        """
        if len(self.accounts) < self.max_accounts:
            return True
        candidates = list(islice(self.accounts.values(), REMOVAL_CANDIDATES))
        for account in candidates:
            del self.accounts[account.name]
            if not account.is_disposable(now):
                self.accounts[account.name] = account
        return len(self.accounts) < self.max_accounts

    def account_for(
        self, now: float, request: api.Request, plan: api.Plan, clock_offset: float
    ) -> Account | None:
        """Return the account of a request's customer, and remove the least recently used one if it is idle.

        Args:
            now: The time, s.
            request: The request.
            plan: The customer's plan in the current settings.
            clock_offset: Seconds by which the cluster's time is ahead of `now`.

        Returns:
            The account; None if the customer has none and there is no room for another.
        """
        account = self.accounts.pop(request.customer, None)
        if account is None and not self.make_room(now):
            return None
        if account is None or account.plan != plan or account.clock_offset != clock_offset:
            account = self.migrate_account(
                now, account, Account(request, plan, self.started_at, now, self.rng, clock_offset)
            )
        self.accounts[request.customer] = account
        account.last_request_at = now
        oldest = next(iter(self.accounts.values()))
        is_idle = now - oldest.last_request_at > MAX_ACCOUNT_IDLE_S
        if is_idle and not (oldest.pending_call or oldest.local_open_attempts):
            del self.accounts[oldest.name]
        return account

    def migrate_account(self, now: float, old: Account | None, new: Account) -> Account:
        """Return the account to use after a change of plan or clock, with the units used so far.

        This is `new`, or an account whose windows continue unchanged under the new plan.

        Args:
            now: The time, s.
            old: The customer's current account, if there is one.
            new: An account without any use, for the current plan and clock offset.
        """
        if old is None:
            return new
        old.advance_window(now)
        if old.has_same_windows_as(new):
            old.set_plan(new.plan)
            return old
        previous = [
            account
            for account in (*old.previous_accounts, old)
            if account.local_open_attempts
            or account.pending_call
            or account.window_number_at(now) == account.window_number
        ]
        for account in previous:
            if account.has_same_windows_as(new) and account.window_number_at(now) == account.window_number:
                account.set_plan(new.plan)
                # Units admitted under other windows since, which this account's counter does not include
                missing = old.lifetime_used_units - account.lifetime_used_units
                account.admit_uncharged(now, missing)
                account.record_use(missing)
                new = account
                break
        else:
            new.carry_over_from(old, now)
        new.lifetime_used_units = old.lifetime_used_units
        new.previous_accounts = [account for account in previous if account is not new]
        return new
