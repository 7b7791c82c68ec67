"""Protocol: typed messages, events and commands, their codec, the store's interface."""
