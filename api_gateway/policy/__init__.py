"""The gateway's decision engine. Its settings, events and actions are defined in api_gateway/interface/.

`DecisionEngine(settings, seed, now).handle(now, event)` returns the actions to execute. The engine reads no
clock and does no I/O. A limit that holds for all gateways together is divided among them. Where one gateway's
part is less than one, it is saved up as credit or used as the probability of a random draw.
"""

from api_gateway.policy.engine import DecisionEngine

__all__ = ["DecisionEngine"]
