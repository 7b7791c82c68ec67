"""``poplarlb``: the command line of operators and callers."""

import fire
import urllib3


class Commands:
    """Talks to any daemon over HTTP."""

    def status(self, daemon: str) -> str:
        """Show what a daemon knows at a glance."""
        return urllib3.request("GET", f"http://{daemon}/v1/status").data.decode()


def main() -> None:
    """Run one command."""
    fire.Fire(Commands, name="poplarlb")


if __name__ == "__main__":
    main()
