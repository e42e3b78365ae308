"""The decisions of api_gateway. Settings, events and actions: interface/ in the folder above.

DecisionEngine(settings, seed, now).handle(now, event) -> actions. No clock, no I/O. What one gateway may do
by itself is its part of an amount for all; what is less than one is saved up as credit or drawn as a chance.
"""

from api_gateway.policy.engine import DecisionEngine

__all__ = ["DecisionEngine"]
