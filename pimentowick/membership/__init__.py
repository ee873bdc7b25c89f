"""Membership, health and leases of the agents that an entry uses."""
