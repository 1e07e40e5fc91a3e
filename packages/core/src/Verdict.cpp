#include "kumquatbank/core/Verdict.h"

namespace kumquatbank {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Answered:
        return "answered";
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    }
    return "may_have_run";
}

Verdict parseVerdict(std::string_view name)
{
    if (name == "answered")
        return Verdict::Answered;
    if (name == "not_run")
        return Verdict::NotRun;
    return Verdict::MayHaveRun;
}

} // namespace kumquatbank
