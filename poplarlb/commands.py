"""The subcommands of ``template``, ``zone`` and ``job``, and the session they share."""

import json as json_module
import time
import uuid

from attrs import define

from poplarlb import rendering
from poplarlb.client import Client, quote
from poplarlb.exceptions import BadRequestError, NotFoundError, PoplarlbError
from poplarlb.protocol import codec
from poplarlb.state.templates import ConfigView, TeamTemplate
from poplarlb.template_files import load_team
from poplarlb.templates import EffectiveChange, diff_teams, to_table

IN_FORCE_TIMEOUT_S = 6.0
IN_FORCE_PERIOD_S = 0.2

_CONVERTER = codec.make_converter(())


class NotInForceError(PoplarlbError):
    """A change was accepted, but not reported in force by all daemons in time."""

    code = "not_in_force"


@define
class Session:
    """What all commands share: the client, the output format, the operator's name."""

    client: Client
    as_json: bool
    operator: str

    def format(self, table: object, text: str) -> str:
        """Return the table as JSON, or the text, depending on the output format."""
        if self.as_json:
            return json_module.dumps(table, indent=2)
        return text

    def view(self) -> ConfigView:
        """Return the configuration that a daemon has in force."""
        shown = self.client.call("GET", quote("config"))
        return _CONVERTER.structure(shown["view"], ConfigView)

    def zones(self) -> list[str]:
        """Return the availability zones of the deployment."""
        status = self.client.call("GET", quote("status"))
        return [zone for zone, _ in status["zones"]]

    def wait_in_force(self, version: int) -> None:
        """Wait until all live members report a version as in force.

        :raises NotInForceError: if some members have not reported it within
            ``IN_FORCE_TIMEOUT_S``; the message names them.
        """
        until_s = time.monotonic() + IN_FORCE_TIMEOUT_S
        while True:
            pending = self._find_pending(version)
            if not pending:
                return
            if time.monotonic() >= until_s:
                raise NotInForceError(
                    f"version {version} is accepted, but not yet reported by "
                    + ", ".join(pending)
                )
            time.sleep(IN_FORCE_PERIOD_S)

    def _find_pending(self, version: int) -> list[str]:
        """Return the live members that have not reported a version as in force."""
        status = self.client.call("GET", quote("status"))
        own = [(status["member_id"], status["view_version"])]
        others = [
            (item["member_id"], item["view_version"])
            for item in status["members"]
            if item["live"]
        ]
        return [name for name, seen in [*own, *others] if seen < version]


def effective_changes(
    view: ConfigView, teams: tuple[TeamTemplate, ...], removed: list[str]
) -> list[EffectiveChange]:
    """Return the effective changes of applying some templates and removing teams."""
    found = [diff_teams(view.team(team.team), team) for team in teams]
    found += [diff_teams(view.team(name), None) for name in removed]
    return [change for changes in found for change in changes]


class TemplateCommands:
    """Edit and apply the templates of teams."""

    def __init__(self, session: Session) -> None:
        """Set the session."""
        self._session = session

    def apply(self, *files: str, remove: str = "", wait: bool = True) -> str:
        """Check FILES, apply them, and wait until they are in force everywhere.

        Args:
            files: TOML templates, one team each.
            remove: teams to remove, separated by commas.
            wait: wait up to 6 s until every live daemon has reported the version as
                in force.
        """
        session = self._session
        teams = self._load(files)
        view = session.view()
        removed = [name for name in str(remove).split(",") if name]
        changes = effective_changes(view, teams, removed)
        if not changes:
            text = f"no effective change; version {view.version} stays in force"
            return session.format({"version": view.version, "changes": []}, text)
        body = {
            "change_id": uuid.uuid4().hex[:12],
            "operator": session.operator,
            "base_version": view.version,
            "teams": [_CONVERTER.unstructure(team) for team in teams],
            "removed": removed,
        }
        answer = session.client.call("POST", quote("config"), body)
        version = answer["version"]
        if wait:
            session.wait_in_force(version)
        lines = [str(change) for change in changes]
        state = "in force everywhere" if wait else "accepted"
        text = f"{rendering.changes_text(lines)}\nversion {version} is {state}"
        change_id = body["change_id"]
        return session.format(
            {"version": version, "change_id": change_id, "changes": lines}, text
        )

    def diff(self, *files: str, remove: str = "") -> str:
        """Show the effective changes that applying FILES would make."""
        teams = self._load(files)
        removed = [name for name in str(remove).split(",") if name]
        changes = effective_changes(self._session.view(), teams, removed)
        table = [{"path": c.path, "old": c.old, "new": c.new} for c in changes]
        return self._session.format(table, rendering.changes_text(changes))

    def show(self, team: str) -> str:
        """Show the template of a team that is in force, with every effective value."""
        found = self._session.view().team(str(team))
        if found is None:
            raise NotFoundError(f"no template for team {team}")
        rows = [(c.path, "=", c.new) for c in diff_teams(None, found)]
        return self._session.format(to_table(found), rendering.columns(rows))

    def list(self) -> str:
        """List the teams in force and the latest changes."""
        view = self._session.view()
        rows = [
            (team.team, len(team.services), len(team.batch), ",".join(team.zones))
            for team in view.teams
        ]
        teams = rendering.columns([("TEAM", "SERVICES", "BATCH", "ZONES"), *rows])
        notes = [
            (
                note.version,
                rendering.format_timestamp(note.at_ms),
                note.operator,
                note.change_id,
                note.summary,
            )
            for note in view.changes
        ]
        header = ("VERSION", "AT (UTC)", "OPERATOR", "CHANGE", "WHAT")
        text = f"{teams}\n\n{rendering.columns([header, *notes])}"
        return self._session.format(_CONVERTER.unstructure(view), text)

    def _load(self, files: tuple[str, ...]) -> tuple[TeamTemplate, ...]:
        zones = self._session.zones()
        teams, faults = [], []
        for file in files:
            try:
                teams.append(load_team(str(file), zones))
            except BadRequestError as error:
                faults.append(error.detail)
        if faults:
            raise BadRequestError("\n".join(faults))
        return tuple(teams)


class ZoneCommands:
    """Take availability zones out of service and bring them back."""

    def __init__(self, session: Session) -> None:
        """Set the session."""
        self._session = session

    def out(self, zone: str, wait: bool = True) -> str:
        """Take ZONE out: no task starts there once this is in force."""
        return self._set(str(zone), "out", wait)

    def back(self, zone: str, wait: bool = True) -> str:
        """Bring ZONE back; the same as ``zone in``."""
        return self._set(str(zone), "in", wait)

    def list(self) -> str:
        """List the zones with their states, and when and by whom they were set."""
        entries = {item.zone: item for item in self._session.view().zones}
        rows = [
            {
                "zone": zone,
                "state": entries[zone].state.value if zone in entries else "in",
                "changed_ms": entries[zone].changed_ms if zone in entries else 0,
                "changed_by": entries[zone].changed_by if zone in entries else "",
            }
            for zone in self._session.zones()
        ]
        return self._session.format(rows, rendering.zone_rows(rows))

    def _set(self, zone: str, state: str, wait: bool) -> str:
        session = self._session
        change_id = uuid.uuid4().hex[:12]
        body = {"state": state, "change_id": change_id, "operator": session.operator}
        answer = session.client.call("PUT", quote("zones", zone), body)
        if wait:
            session.wait_in_force(answer["version"])
        ending = "in force everywhere" if wait else "accepted"
        text = f"zone {zone} is {state}: version {answer['version']} is {ending}"
        return session.format({**answer, "zone": zone, "state": state}, text)


# ``in`` is a keyword, so no method of that name can be defined in the class body.
setattr(ZoneCommands, "in", ZoneCommands.back)


class JobCommands:
    """Submit, show, list and cancel batch jobs."""

    def __init__(self, session: Session) -> None:
        """Set the session."""
        self._session = session

    def submit(
        self,
        team: str,
        job_id: str,
        kind: str = "",
        work_class: str = "",
        cpu_millis: int = 0,
        memory_mb: int = 0,
        accelerators: int = 0,
        run_time_ms: int = 0,
    ) -> str:
        """Submit JOB_ID for TEAM; submitting the same id again changes nothing.

        Args:
            team: the team whose quota the job uses.
            job_id: the job's name, chosen by you and unique in the team.
            kind: a batch kind of the team's template, which provides the defaults.
            work_class: urgent, ordinary, patient or long-lived.
            cpu_millis: processors in thousandths.
            memory_mb: memory in megabytes.
            accelerators: number of accelerators.
            run_time_ms: expected run time in milliseconds.
        """
        body = self._defaults(str(team), str(kind)) if kind else {"size": {}}
        size = {
            "cpu_millis": cpu_millis,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
        }
        body["size"].update({key: value for key, value in size.items() if value})
        given = {"class": work_class, "run_time_ms": run_time_ms}
        body.update({key: value for key, value in given.items() if value})
        answer = self._session.client.call("PUT", quote("jobs", team, job_id), body)
        return self._session.format(answer, rendering.task_text(answer))

    def show(self, team: str, job_id: str) -> str:
        """Show a job's phase, attempts and outcome."""
        answer = self._session.client.call("GET", quote("jobs", team, job_id))
        return self._session.format(answer, rendering.task_text(answer))

    def cancel(self, team: str, job_id: str) -> str:
        """Cancel a job; a running one is stopped first."""
        answer = self._session.client.call("DELETE", quote("jobs", team, job_id))
        return self._session.format(answer, rendering.task_text(answer))

    def list(self, team: str, after: str = "", limit: int = 100) -> str:
        """List a team's jobs in order of their ids, beginning after the id AFTER."""
        path = f"{quote('jobs', team)}?limit={int(limit)}"
        path += f"&after={after}" if after else ""
        answer = self._session.client.call("GET", path)
        text = rendering.task_rows(answer["jobs"])
        if answer.get("more"):
            text += f"\nmore: --after {answer['after']}"
        return self._session.format(answer, text)

    def _defaults(self, team: str, kind: str) -> dict:
        """Return the body of a submission with the values of a batch kind."""
        template = self._session.view().team(team)
        batch = template.batch if template else ()
        found = next((item for item in batch if item.name == kind), None)
        if found is None:
            names = ", ".join(item.name for item in batch) or "none"
            raise BadRequestError(f"team {team} has no batch kind {kind}; has: {names}")
        return {
            "kind": kind,
            "class": found.work_class.value,
            "size": _CONVERTER.unstructure(found.size),
            "run_time_ms": found.run_time_ms,
            "checkpointable": found.checkpointable,
            "zones": list(template.zones),
        }
