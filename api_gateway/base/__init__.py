"""Code shared by the gateway and its companion processes. It imports none of them."""
