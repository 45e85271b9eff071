"""The journal of bench runs: its files, validated and decoded.

The fields of the files have the names that the users' bench gives them.
"""

from __future__ import annotations

import dataclasses
import datetime
import pathlib

import pydantic

__all__ = ["Day", "JournalError", "BenchRun", "read_folder"]

WORTH_DECIMALS = 4


class JournalError(Exception):
    """A journal that cannot be read; the message names the file or folder."""


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Result of one day of a run.

    Attributes:
        name: Name of the day.
        seed: Seed that the day was generated from.
        worth: Weighted sum of the parts of the credit, minus the prices.
        credit: Share of the credit that was earned over the whole day.
        parts: Parts of the credit by name, from 0 to 1, unweighted.
        prices: Deductions from the credit by name.
        broken: Names of the broken rules; with ``fault`` if a fault ended the
            day.
    """

    name: str
    seed: int
    worth: float
    credit: float
    parts: dict[str, float]
    prices: dict[str, float]
    broken: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BenchRun:
    """One run of the bench.

    Attributes:
        identifier: Identifier of the entry in the journal.
        started: Time of the start.
        verb: Command of the bench, such as ``score`` or ``hunt``.
        site: Name of the deployment; ``several`` if the entry names none.
        commit: Commit of the sources, shortened to 7 digits.
        why: Purpose of the run.
        days: Results by day.
    """

    identifier: str
    started: datetime.datetime
    verb: str
    site: str
    commit: str
    why: str
    days: tuple[Day, ...]


_Part = tuple[str, float | None, float | None]


class _DayFile(pydantic.BaseModel):
    name: str
    seed: int | None = None
    parts: list[_Part] = []
    prices: list[_Part] = []
    rules: dict[str, object] = {}
    fault: object = None
    served: float | None = None

    def decoded(self) -> Day:
        weighted = sum(
            weight * value
            for _, weight, value in self.parts
            if weight is not None and value is not None
        )
        prices = {name: cost for name, _, cost in self.prices if cost}
        broken = tuple(sorted(self.rules))
        if self.fault:
            broken += ("fault",)
        return Day(
            self.name,
            self.seed or 0,
            round(weighted - sum(prices.values()), WORTH_DECIMALS),
            self.served or 0.0,
            {name: value for name, _, value in self.parts if value is not None},
            prices,
            broken,
        )


class _BenchRunFile(pydantic.BaseModel):
    identifier: str = pydantic.Field(alias="id")
    # Start and end; the end is empty if the run was interrupted.
    times: tuple[datetime.datetime, str] = pydantic.Field(alias="at")
    verb: str = pydantic.Field(alias="cmd")
    site: str | None = None
    commit: str | None = pydantic.Field(alias="head", default=None)
    why: str | None = ""
    days: list[_DayFile] = []

    def decoded(self) -> BenchRun:
        return BenchRun(
            self.identifier,
            self.times[0],
            self.verb,
            self.site or "several",
            (self.commit or "")[:7],
            self.why or "",
            tuple(day.decoded() for day in self.days),
        )


def read_folder(folder: pathlib.Path) -> list[BenchRun]:
    """Reads all entries of a journal, the oldest first.

    Args:
        folder: Folder of the journal.

    Raises:
        JournalError: An entry cannot be read, or the folder has none.
    """
    runs = [_read(path) for path in sorted(folder.glob("*.json"))]
    if not runs:
        raise JournalError(f"{folder}: no entries")
    return sorted(runs, key=lambda run: run.started)


def _read(path: pathlib.Path) -> BenchRun:
    try:
        return _BenchRunFile.model_validate_json(path.read_bytes()).decoded()
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(each) for each in first["loc"]) or "text"
        raise JournalError(f"{path}: {place}: {first['msg']}") from error
    except OSError as error:
        raise JournalError(f"{path}: {error.strerror}") from error
