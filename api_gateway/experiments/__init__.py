"""What the product measures itself with, on loopback. The gateway imports none of it."""
