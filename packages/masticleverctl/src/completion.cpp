#include "completion.h"

namespace masticlever::masticleverctl
{

std::string_view bashCompletion()
{
    return R"(_masticleverctl() {
    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}
    local names="apply get describe watch delete drain runs version completion"
    local options="--server --token --output --help"
    case "$before" in
        apply) options="-f --dry-run --prune" names="" ;;
        -f|--file) COMPREPLY=($(compgen -f -- "$word")); return ;;
        --output) COMPREPLY=($(compgen -W "text json" -- "$word")); return ;;
        get|describe|delete) COMPREPLY=($(compgen -W "pipeline team endpoint" -- "$word")); return ;;
        runs) COMPREPLY=($(compgen -W "settle" -- "$word")); return ;;
        completion) COMPREPLY=($(compgen -W "bash" -- "$word")); return ;;
    esac
    COMPREPLY=($(compgen -W "$names $options" -- "$word"))
}
complete -F _masticleverctl masticleverctl
)";
}

} // namespace masticlever::masticleverctl
