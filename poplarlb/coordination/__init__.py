"""The state machines that make all decisions; they perform no input or output."""
