"""``poplarlb``: the command-line tool for operators and callers.

Every command takes ``--daemons host:port,...`` (or ``POPLARLB_DAEMONS``) and
``--json``. The operators' secret is read from ``POPLARLB_OPERATOR_SECRET``.

Exit codes: 0 done, 1 internal error, 2 wrong usage, 3 bad input, 4 unauthorized,
5 not found, 6 conflict, 7 certainly not run, 8 outcome unknown, 9 the change
was accepted but is not in force at every daemon in time.
"""

import contextlib
import getpass
import json as json_module
import os
import sys

import fire

from poplarlb import rendering
from poplarlb.client import ATTEMPT_HEADER, Client, quote, to_error
from poplarlb.commands import JobCommands, Session, TemplateCommands, ZoneCommands
from poplarlb.exceptions import BadRequestError, PoplarlbError
from poplarlb.log_losses import losses_text, sum_losses
from poplarlb.log_trace import read_lines, trace_job

EXIT_CODES = {
    "internal": 1,
    "bad_request": 3,
    "too_large": 3,
    "unauthorized": 4,
    "not_found": 5,
    "conflict": 6,
    "not_run": 7,
    "rate_limited": 7,
    "outcome_unknown": 8,
    "store_unavailable": 8,
    "not_in_force": 9,
}
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


HELP = """\
poplarlb manages services and batch jobs on the same workers.

  template apply FILE...  check templates, apply them, wait until in force everywhere
  template diff FILE...   show the effective changes that an apply would make
  template show TEAM      show a team's template in force
  template list           list teams and the latest changes
  zone out|in ZONE        take an availability zone out, or bring it back
  zone list               list zones with their states, and who set them
  job submit TEAM ID      submit a batch job; repeating it changes nothing
  job show|cancel TEAM ID show or cancel a job
  job list TEAM           list a team's jobs
  request TEAM SERVICE [PATH]       send one request to a service
  explain job TEAM ID | worker ID | request ID
                          show what was decided, when and why
  trace ID FILE...        show a job's timeline and causes from saved logs
  losses FILE...          show what late jobs lost their time to, from saved logs
  status                  members, zones, shards, queues, and what waits and why

Flags for every command, after it:
  --daemons HOST:PORT,... daemons to try; the first that answers is used (or set
                          POPLARLB_DAEMONS)
  --json                  print JSON
  --operator NAME         your name in the record of changes

"poplarlb COMMAND --help" shows a command's own flags. The operators' secret is read
from POPLARLB_OPERATOR_SECRET, a private TLS authority from POPLARLB_TLS_AUTHORITY.

Exit codes: 0 done, 1 internal error, 2 wrong usage, 3 bad input, 4 unauthorized,
5 not found, 6 conflict, 7 certainly not run, 8 outcome unknown, 9 the change
was accepted but is not in force at every daemon in time."""


def read_log_files(files: tuple[str, ...]) -> list[dict]:
    """Return the events of log files in order of time.

    :raises BadRequestError: a file can't be read.
    """
    try:
        with contextlib.ExitStack() as stack:
            opened = [stack.enter_context(open(str(name))) for name in files]
            return read_lines(opened)
    except (OSError, UnicodeDecodeError) as error:
        raise BadRequestError(str(error)) from error


class Commands:
    """Manage templates, zones and jobs; send requests; show explanations and status.

    Give flags after the command. Exit codes: 0 done, 1 internal error, 2 wrong
    usage, 3 bad input, 4 unauthorized, 5 not found, 6 conflict, 7 certainly not
    run, 8 outcome unknown, 9 the change was accepted but is not in force at every
    daemon in time.

    Args:
        daemons: addresses of daemons, separated by commas; the first that answers
            is used. The default is POPLARLB_DAEMONS.
        json: print JSON.
        operator: your name in the record of changes; the default is the login.
    """

    def __init__(
        self, *, daemons: str = "", json: bool = False, operator: str = ""
    ) -> None:
        """Create a client and the groups of commands that use it."""
        if isinstance(daemons, list | tuple):
            daemons = ",".join(str(item) for item in daemons)
        name = operator or os.environ.get("POPLARLB_OPERATOR") or getpass.getuser()
        client = Client.from_environment(str(daemons))
        self._session = Session(client, bool(json), str(name))
        self.template = TemplateCommands(self._session)
        self.zone = ZoneCommands(self._session)
        self.job = JobCommands(self._session)

    def trace(self, job_id: str, *files: str) -> str:
        """Show a job's timeline, and the causes of its outcome, from saved logs.

        Args:
            job_id: the job's id.
            files: logs of one or more daemons, in any order.
        """
        return trace_job(read_log_files(files), str(job_id)).text()

    def losses(self, *files: str) -> str:
        """Show from saved logs what late jobs lost their time to, by queue.

        Args:
            files: logs of all daemons, in any order.
        """
        return losses_text(*sum_losses(read_log_files(files)))

    def request(
        self,
        team: str,
        service: str,
        path: str = "",
        method: str = "GET",
        body: str = "",
        key: str = "",
        first: bool = False,
        timeout_ms: int = 0,
    ) -> str:
        """Send one request to a service and print the response.

        A request without a key whose method is not safe (as GET is) is sent at most
        once: if its outcome is unknown, it is not retried and the exit code is 8.

        Args:
            team: the team that owns the service.
            service: the service's name.
            path: the path at the service.
            method: the HTTP method.
            body: the body.
            key: an idempotency key; a request with a known key returns the response
                to the first.
            first: the key was never sent before, by this or any other command; the
                request is then dispatched even if daemons no longer know which keys
                were used.
            timeout_ms: how long the response may take.
        """
        headers = {"Content-Type": "application/json"} if body else {}
        if key:
            headers["Idempotency-Key"] = str(key)
        if key and first:
            headers[ATTEMPT_HEADER] = "1"
        if timeout_ms:
            headers["Poplarlb-Timeout-Ms"] = str(int(timeout_ms))
        method = method.upper()
        data = body if isinstance(body, str) else json_module.dumps(body)
        url = f"{quote('services', team, service)}/{str(path).lstrip('/')}"
        repeatable = bool(key) or method in SAFE_METHODS
        answer = self._session.client.send(
            method, url, data.encode() if data else None, headers, repeatable
        )
        table = answer.table()
        if answer.status >= 400:
            raise to_error(answer.status, table)
        text = answer.body.decode(errors="replace").rstrip("\n")
        result = {"status": answer.status, "daemon": answer.daemon, "body": text}
        return self._session.format(result, text)

    def explain(self, subject: str, *names: str) -> str:
        """Explain ``job TEAM ID``, ``worker ID`` or ``request ID``.

        Prints every kept decision with its time, reason and alternatives, and the
        configuration version under which it was made.
        """
        parts = "/".join([str(subject), *(str(name) for name in names)])
        table = self._session.client.call("GET", quote("explain", *parts.split("/")))
        return self._session.format(table, rendering.explanation(table))

    def status(self) -> str:
        """Show members, zones, shards and queues, and which tasks wait and why."""
        client = self._session.client
        first = client.call("GET", quote("status"))
        addresses = {item["member_id"]: item["address"] for item in first["members"]}
        statuses, unreachable = [first], []
        for name, address in sorted(addresses.items()):
            try:
                url = client.with_scheme(address)
                answer = client.send_once(url, "GET", quote("status"))
                statuses.append(answer.table())
            except PoplarlbError:
                unreachable.append(f"{name} ({address})")
        known = [item for item in statuses if "member_id" in item]
        text = rendering.status_text(known, unreachable)
        return self._session.format({"daemons": known, "silent": unreachable}, text)


def main(arguments: list[str] | None = None) -> None:
    """Run one command; exit with its code unless it is 0."""
    given = sys.argv[1:] if arguments is None else arguments
    if not given or given[0] in ("--help", "-h", "help"):
        print(HELP)
        return
    # Fire would parse the word after a bare --json as its value.
    given = ["--json=True" if item == "--json" else item for item in given]
    as_json = "--json=True" in given
    try:
        fire.Fire(Commands, command=given, name="poplarlb")
    except PoplarlbError as error:
        table = {"code": error.code, "detail": error.detail}
        text = f"{error.code}: {error.detail}"
        print(json_module.dumps(table) if as_json else text, file=sys.stderr)
        sys.exit(EXIT_CODES.get(error.code, 1))


if __name__ == "__main__":
    main()
