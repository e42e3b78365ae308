"""What the gateway and the processes beside it share. It imports none of them."""
