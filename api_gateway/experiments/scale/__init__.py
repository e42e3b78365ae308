"""What the gateway and the services beside it cost by the size of the fleet, measured on this machine."""
