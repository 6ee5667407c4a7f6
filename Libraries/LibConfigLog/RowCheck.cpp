#include <LibConfigLog/RowCheck.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

namespace lycheeseam {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
/// Keeps sums of balances far from overflow, in tokens.
constexpr token_count kMaxTokens = 1'000'000'000'000'000;
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxCount = 1'000'000;

/// Collects the faults of one row.
class row_faults
{
public:
  row_faults(row_reference const& aRow, std::vector<config_fault>& aFaults)
    : mRow(aRow)
    , mFaults(aFaults)
  {
  }

  void Require(bool aIsKept, config_rule aRule, std::string aReason)
  {
    if (!aIsKept)
      mFaults.push_back({ aRule, mRow, std::move(aReason) });
  }

  void RequireFrom1To(std::int64_t aMax,
                      std::string_view aField,
                      std::int64_t aValue)
  {
    Require(aValue >= 1 && aValue <= aMax,
            config_rule::Bounds,
            std::string{ aField } + " is " + std::to_string(aValue) +
              "; allowed is 1 to " + std::to_string(aMax));
  }

private:
  row_reference const& mRow;
  std::vector<config_fault>& mFaults;
};

bool
IsNameCharacter(char aCharacter)
{
  static constexpr std::string_view kMarks = ".:-_";
  bool const isLetter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                        (aCharacter >= 'A' && aCharacter <= 'Z');
  bool const isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit || kMarks.find(aCharacter) != kMarks.npos;
}

void
CheckServers(std::span<backend_server const> aServers, row_faults& aFaults)
{
  std::set<backend_server_id> ids;
  std::set<endpoint> addresses;
  for (backend_server const& server : aServers) {
    std::string const name = "server \"" + server.mId.Text() + "\" ";
    aFaults.Require(IsRowName(server.mId.Text()),
                    config_rule::Servers,
                    name + "has a malformed id");
    aFaults.Require(!server.mFailureDomain.IsEmpty(),
                    config_rule::Servers,
                    name + "has no failure domain");
    aFaults.Require(ids.insert(server.mId).second,
                    config_rule::Servers,
                    name + "is listed twice");
    aFaults.Require(addresses.insert(server.mAddress).second,
                    config_rule::Servers,
                    name + "shares its address with another");
  }
}

}

bool
IsRowName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::ranges::all_of(aName, IsNameCharacter);
}

void
CheckRow(row_reference const& aReference,
         route_row const& aRow,
         std::vector<config_fault>& aFaults)
{
  row_faults faults{ aReference, aFaults };
  faults.Require(aRow.mPathPrefix.starts_with('/'),
                 config_rule::PathPrefix,
                 "path_prefix must start with '/'");
  faults.RequireFrom1To(
    kMaxTimeoutMs, "queue_deadline_ms", aRow.mQueueDeadline.count());
  faults.RequireFrom1To(
    kMaxTimeoutMs, "first_byte_timeout_ms", aRow.mFirstByteTimeout.count());
  faults.RequireFrom1To(kMaxTokens, "max_answer_tokens", aRow.mMaxAnswerTokens);
}

void
CheckRow(row_reference const& aReference,
         pool_row const& aRow,
         std::vector<config_fault>& aFaults)
{
  row_faults faults{ aReference, aFaults };
  bool const hasModel = !aRow.mModel.IsEmpty();
  faults.Require(hasModel == (aRow.mKind == pool_kind::Model),
                 config_rule::Bounds,
                 "a model pool names its model, a service pool names none");
  faults.RequireFrom1To(kMaxCount, "max_outstanding", aRow.mMaxOutstanding);
  faults.RequireFrom1To(kMaxCount, "max_weight_loads", aRow.mMaxWeightLoads);
  CheckServers(aRow.mServers, faults);
}

void
CheckRow(row_reference const& aReference,
         key_row const& aRow,
         std::vector<config_fault>& aFaults)
{
  row_faults faults{ aReference, aFaults };
  faults.Require(aRow.mLabel.size() <= kMaxNameBytes,
                 config_rule::Bounds,
                 "label is longer than 128 bytes");
}

void
CheckRow(row_reference const& aReference,
         workspace_row const& aRow,
         std::vector<config_fault>& aFaults)
{
  row_faults faults{ aReference, aFaults };
  faults.RequireFrom1To(kMaxTokens, "rate_tokens_per_s", aRow.mRate);
  faults.RequireFrom1To(kMaxTokens, "burst_tokens", aRow.mBurst);
  faults.RequireFrom1To(kMaxCount, "weight", aRow.mWeight);
}

}
