"""State: the data classes of the system, and the tables that hold them."""
