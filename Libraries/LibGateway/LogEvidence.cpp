#include <LibEvents/EventLog.h>
#include <LibGateway/LogEvidence.h>

#include <array>
#include <cstdio>

namespace lycheeseam {

void
LogEvidence(part_crashes const& aEvidence, evidence_source aSource)
{
  bool const isOwn = aSource == evidence_source::Own;
  LogEvent("part_evidence",
           { { "part_key", PartKeyText(aEvidence.mPart) },
             { "crashes", std::int64_t{ aEvidence.mCrashes } },
             { "clearances", std::int64_t{ aEvidence.mClearances } },
             { "told_by", std::string{ isOwn ? "self" : "peer" } } });
}

std::string
PartKeyText(std::uint64_t aKey)
{
  constexpr std::size_t kHexDigits = 16;
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(
    text.data(), text.size(), "%016llx", static_cast<unsigned long long>(aKey));
  return text.data();
}

}
