"""Generating and validating a configuration on the command line."""

from __future__ import annotations

import pathlib

import pytest
import yaml
from typer.testing import CliRunner

from figpaddle.tool._main import app

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
RUNNER = CliRunner()


@pytest.mark.parametrize("member", ["hanbit", "cumbre"])
def test_same_answers_give_the_same_configuration(member: str) -> None:
    command = ["generate", "--answers", str(EXAMPLES / f"{member}.answers.yaml")]
    first = RUNNER.invoke(app, command)
    assert first.exit_code == 0
    assert first.output == RUNNER.invoke(app, command).output


def test_generated_configuration_is_valid(tmp_path: pathlib.Path) -> None:
    output = tmp_path / "configuration.yaml"
    answers = str(EXAMPLES / "hanbit.answers.yaml")
    RUNNER.invoke(app, ["generate", "--answers", answers, "--output", str(output)])
    check_result = RUNNER.invoke(app, ["check", str(output)])
    assert check_result.exit_code == 0
    assert "revision=1" in check_result.output


def test_explanation_shows_the_question_of_each_setting() -> None:
    answers = str(EXAMPLES / "cumbre.answers.yaml")
    output = RUNNER.invoke(app, ["generate", "--answers", answers, "--explain"]).output
    assert "weights.tail = 2  # importance.tail" in output
    assert "services.bookings.repeatable = False  # services.2.repeatable" in output


@pytest.mark.parametrize(
    ("change", "question"),
    [
        ({"share": 2}, "share"),
        ({"regions": []}, "regions"),
        ({"importance": {"cost": "most"}}, "importance.cost"),
        ({"color": "red"}, "color"),
    ],
)
def test_invalid_answer_is_reported_with_its_question(
    tmp_path: pathlib.Path, change: dict[str, object], question: str
) -> None:
    answers = yaml.safe_load((EXAMPLES / "hanbit.answers.yaml").read_text(encoding="utf-8"))
    path = tmp_path / "answers.yaml"
    path.write_text(yaml.safe_dump({**answers, **change}), encoding="utf-8")
    result = RUNNER.invoke(app, ["generate", "--answers", str(path)])
    assert result.exit_code == 2
    assert f"{path}: {question}: " in result.output


def test_valid_questionnaire_answers_are_written(tmp_path: pathlib.Path) -> None:
    output = tmp_path / "new.yaml"
    inputs = ["newteam", "seoul, busan", "draft", "model", "y", "5", "0", "n"]
    inputs += ["much", "some", "little", "0.25"]
    result = RUNNER.invoke(
        app, ["questionnaire", "--output", str(output)], "\n".join(inputs) + "\n"
    )
    assert result.exit_code == 0, result.output
    written = yaml.safe_load(output.read_text(encoding="utf-8"))
    assert written["regions"] == ["seoul", "busan"]
    assert written["importance"] == {"cost": "much", "tail": "some", "sent_away": "little"}
