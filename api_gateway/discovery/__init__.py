"""Where the endpoint list comes from: the client of discovery, its replicas and its subsets."""
