"""Deployment configuration: questionnaire, changes, cluster state and the client directory."""

from typing import TYPE_CHECKING

from figpaddle._deferred_names import deferred_names
from figpaddle.deployment._cluster_state import (
    EMPTY_STATE,
    ClusterState,
    decode_state,
    decode_voters,
    encode_state,
)
from figpaddle.deployment._gateway_routes import (
    GatewayConfiguration,
    GatewayLimits,
    GatewayRoute,
    GatewayService,
    Repeat,
)
from figpaddle.deployment._workspaces import (
    DEFAULT_WORKSPACE_PRIORITY,
    QuotaUnit,
    Workspace,
    WorkspaceQuota,
    digest_key,
)

if TYPE_CHECKING:
    from figpaddle.deployment._changes import (
        MAX_ANSWERS_PER_MEMBER,
        Change,
        ChangeAnswer,
        ChangeMachine,
        Verdict,
        encode_change,
    )
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
        GeneratedConfiguration,
        ServiceAnswers,
        generate,
        read_answers,
    )
    from figpaddle.deployment._versions import (
        MemberPart,
        VersionedConfiguration,
    )
else:
    __getattr__ = deferred_names(
        __name__,
        {
            "_changes": "MAX_ANSWERS_PER_MEMBER Change ChangeAnswer ChangeMachine Verdict encode_change",
            "_configuration": (
                "Configuration MemberConfiguration PolicyWeights ServiceConfiguration "
                "ServiceKind configuration_from_plain configuration_to_plain faults_of "
                "member_from_plain member_to_plain"
            ),
            "_directory": "Client ClientDirectory StaticClientDirectory key_digest read_directory",
            "_questionnaire": (
                "Answers Explanation GeneratedConfiguration ServiceAnswers generate " "read_answers"
            ),
            "_versions": "MemberPart VersionedConfiguration",
        },
    )

__all__ = [
    "DEFAULT_WORKSPACE_PRIORITY",
    "EMPTY_STATE",
    "ClusterState",
    "GatewayConfiguration",
    "GatewayLimits",
    "GatewayRoute",
    "GatewayService",
    "Repeat",
    "decode_state",
    "decode_voters",
    "encode_state",
    "MAX_ANSWERS_PER_MEMBER",
    "Answers",
    "Change",
    "ChangeAnswer",
    "ChangeMachine",
    "Client",
    "ClientDirectory",
    "Configuration",
    "Explanation",
    "GeneratedConfiguration",
    "MemberConfiguration",
    "MemberPart",
    "PolicyWeights",
    "QuotaUnit",
    "ServiceAnswers",
    "ServiceConfiguration",
    "ServiceKind",
    "StaticClientDirectory",
    "Verdict",
    "VersionedConfiguration",
    "Workspace",
    "WorkspaceQuota",
    "configuration_from_plain",
    "configuration_to_plain",
    "digest_key",
    "encode_change",
    "faults_of",
    "generate",
    "key_digest",
    "member_from_plain",
    "member_to_plain",
    "read_answers",
    "read_directory",
]
