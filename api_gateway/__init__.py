"""An API gateway whose quotas hold over all gateways of a deployment."""
