"""Protocol: typed messages between daemons, events, commands and codecs."""
