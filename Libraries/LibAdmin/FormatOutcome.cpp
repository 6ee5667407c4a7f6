#include <LibAdmin/FormatOutcome.h>
#include <LibCodec/JsonText.h>
#include <LibCodec/OutcomeSerializers.h>
#include <LibCodec/RowChangeSerializer.h>

#include <nlohmann/json.hpp>

#include <vector>

namespace lycheeseam {

namespace {

std::uint16_t
StatusOf(proposal_status aStatus)
{
  switch (aStatus) {
    case proposal_status::Accepted:
      return 200;
    case proposal_status::Conflict:
      return 409;
    case proposal_status::Refused:
      return 422;
  }
  return 500;
}

}

admin_answer
ErrorAnswer(std::uint16_t aStatus, std::string_view aReason)
{
  nlohmann::json const body{ { "error", aReason } };
  return admin_answer{ .mStatus = aStatus, .mBody = DumpJson(body) };
}

admin_answer
OutcomeAnswer(std::optional<proposal_outcome> const& aOutcome)
{
  if (!aOutcome) {
    return ErrorAnswer(503,
                       "the log did not accept the change in time; read the "
                       "rows before retrying");
  }
  return admin_answer{ .mStatus = StatusOf(aOutcome->mStatus),
                       .mBody = ToJsonText(*aOutcome) };
}

std::string
FormatChanges(std::span<any_row_change const> aChanges)
{
  return ToJsonText(
    std::vector<any_row_change>{ aChanges.begin(), aChanges.end() });
}

}
