"""Rows of measured figures: printed, and saved as JSON in ``bench/out``."""

import json
import pathlib

from attrs import asdict, frozen

FOLDER = pathlib.Path(__file__).parent / "out"


@frozen
class Row:
    """One measured figure."""

    name: str
    unit: str
    value: float


def save_rows(name: str, rows: list[Row]) -> None:
    """Print rows and save them in a file of the given name."""
    FOLDER.mkdir(exist_ok=True)
    for row in rows:
        print(f"{row.name}, {row.unit}, {row.value:.6g}", flush=True)
    text = json.dumps([asdict(row) for row in rows], indent=1)
    (FOLDER / f"{name}.json").write_text(text + "\n")


def load_rows(name: str) -> dict[str, float]:
    """Return the figures of a saved file by row name."""
    rows = json.loads((FOLDER / f"{name}.json").read_text())
    return {row["name"]: row["value"] for row in rows}
