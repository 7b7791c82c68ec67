"""The tests of poplarlb; they mirror the package."""
