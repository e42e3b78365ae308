"""What customers ask of a hollow gateway under whose lease calls the counter's stand-in is measured."""

RATE = 119  # requests a second of one gateway
CUSTOMERS = 143  # of one gateway, of all that the settings name
RUSH, ASKED_EACH = 10, 2  # s after new customers come; requests a second of each of them
