"""Generating and checking a configuration from the command line."""

from __future__ import annotations

import pathlib

import pytest
import yaml
from typer.testing import CliRunner

from figpaddle.tool._main import app

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
RUNNER = CliRunner()


@pytest.mark.parametrize("member", ["hanbit", "cumbre"])
def test_same_answers_always_give_the_same_configuration(member: str) -> None:
    command = ["generate", "--answers", str(EXAMPLES / f"{member}.answers.yaml")]
    first = RUNNER.invoke(app, command)
    assert first.exit_code == 0
    assert first.output == RUNNER.invoke(app, command).output


def test_generated_configuration_passes_the_check(tmp_path: pathlib.Path) -> None:
    output = tmp_path / "configuration.yaml"
    answers = str(EXAMPLES / "hanbit.answers.yaml")
    RUNNER.invoke(app, ["generate", "--answers", answers, "--output", str(output)])
    checked = RUNNER.invoke(app, ["check", str(output)])
    assert checked.exit_code == 0
    assert "revision=1" in checked.output


def test_explanation_names_the_question_of_each_line() -> None:
    answers = str(EXAMPLES / "cumbre.answers.yaml")
    shown = RUNNER.invoke(app, ["generate", "--answers", answers, "--explain"]).output
    assert "weights.tail = 2  # importance.tail" in shown
    assert "services.bookings.repeatable = False  # services.2.repeatable" in shown


@pytest.mark.parametrize(
    ("change", "question"),
    [
        ({"share": 2}, "share"),
        ({"regions": []}, "regions"),
        ({"importance": {"cost": "most"}}, "importance.cost"),
        ({"color": "red"}, "color"),
    ],
)
def test_faulty_answer_is_named_by_its_question(
    tmp_path: pathlib.Path, change: dict[str, object], question: str
) -> None:
    plain = yaml.safe_load((EXAMPLES / "hanbit.answers.yaml").read_text(encoding="utf-8"))
    path = tmp_path / "answers.yaml"
    path.write_text(yaml.safe_dump({**plain, **change}), encoding="utf-8")
    ended = RUNNER.invoke(app, ["generate", "--answers", str(path)])
    assert ended.exit_code == 2
    assert f"{path}: {question}: " in ended.output


def test_asked_answers_are_written_once_consistent(tmp_path: pathlib.Path) -> None:
    output = tmp_path / "new.yaml"
    typed = ["newteam", "seoul, busan", "draft", "model", "y", "5", "0", "n"]
    typed += ["much", "some", "little", "0.25"]
    ended = RUNNER.invoke(app, ["questionnaire", "--output", str(output)], "\n".join(typed) + "\n")
    assert ended.exit_code == 0, ended.output
    written = yaml.safe_load(output.read_text(encoding="utf-8"))
    assert written["regions"] == ["seoul", "busan"]
    assert written["importance"] == {"cost": "much", "tail": "some", "sent_away": "little"}
