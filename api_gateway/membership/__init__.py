"""Membership: which processes of a cluster are present (SWIM), on a UDP socket."""
