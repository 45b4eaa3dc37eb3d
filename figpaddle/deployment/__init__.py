"""Questionnaire, generated configuration, data rules and the directory of clients."""

from figpaddle.deployment._configuration import (
    Configuration,
    MemberConfiguration,
    PolicyWeights,
    ServiceConfiguration,
    ServiceKind,
    configuration_from_plain,
    configuration_to_plain,
    faults_of,
    member_from_plain,
    member_to_plain,
)
from figpaddle.deployment._directory import (
    Client,
    ClientDirectory,
    StaticClientDirectory,
    key_digest,
    read_directory,
)
from figpaddle.deployment._questionnaire import (
    Answers,
    Explanation,
    Generated,
    ServiceAnswers,
    generate,
    read_answers,
)

__all__ = [
    "Answers",
    "Client",
    "ClientDirectory",
    "Configuration",
    "Explanation",
    "Generated",
    "MemberConfiguration",
    "PolicyWeights",
    "ServiceAnswers",
    "ServiceConfiguration",
    "ServiceKind",
    "StaticClientDirectory",
    "configuration_from_plain",
    "configuration_to_plain",
    "faults_of",
    "generate",
    "key_digest",
    "member_from_plain",
    "member_to_plain",
    "read_answers",
    "read_directory",
]
