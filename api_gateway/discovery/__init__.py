"""Client of the list service: polling and watches, failover between replicas, and endpoint subsets."""
