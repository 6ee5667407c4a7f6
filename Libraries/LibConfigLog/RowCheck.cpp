#include <LibConfigLog/RowCheck.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

namespace lycheeseam {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
/// In tokens; keeps sums of balances far below overflow.
constexpr token_count kMaxTokens = 1'000'000'000'000'000;
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxCount = 1'000'000;

/// Collects the faults of one row.
class row_fault_collector
{
public:
  row_fault_collector(row_reference const& aRow,
                      std::vector<config_fault>& aFaults)
    : mRow(aRow)
    , mFaults(aFaults)
  {
  }

  void CheckThat(bool aHolds, config_rule aRule, std::string aReason)
  {
    if (!aHolds)
      mFaults.push_back({ aRule, mRow, std::move(aReason) });
  }

  void CheckFrom1To(std::int64_t aMax,
                    std::string_view aField,
                    std::int64_t aValue)
  {
    CheckThat(aValue >= 1 && aValue <= aMax,
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
  static constexpr std::string_view kPunctuation = ".:-_";
  bool const isLetter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                        (aCharacter >= 'A' && aCharacter <= 'Z');
  bool const isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit ||
         kPunctuation.find(aCharacter) != kPunctuation.npos;
}

void
CheckServers(std::span<backend_server const> aServers,
             row_fault_collector& aFaults)
{
  std::set<backend_server_id> ids;
  std::set<endpoint> addresses;
  for (backend_server const& server : aServers) {
    std::string const name = "server \"" + server.mId.Text() + "\" ";
    aFaults.CheckThat(IsRowName(server.mId.Text()),
                      config_rule::Servers,
                      name + "has a malformed id");
    aFaults.CheckThat(!server.mFailureDomain.IsEmpty(),
                      config_rule::Servers,
                      name + "has no failure domain");
    aFaults.CheckThat(ids.insert(server.mId).second,
                      config_rule::Servers,
                      name + "is listed twice");
    aFaults.CheckThat(addresses.insert(server.mAddress).second,
                      config_rule::Servers,
                      name + "has the same address as another server");
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
  row_fault_collector faults{ aReference, aFaults };
  faults.CheckThat(aRow.mPathPrefix.starts_with('/'),
                   config_rule::PathPrefix,
                   "path_prefix must start with '/'");
  faults.CheckFrom1To(
    kMaxTimeoutMs, "queue_deadline_ms", aRow.mQueueDeadline.count());
  faults.CheckFrom1To(
    kMaxTimeoutMs, "first_byte_timeout_ms", aRow.mFirstByteTimeout.count());
  faults.CheckFrom1To(kMaxTokens, "max_answer_tokens", aRow.mMaxAnswerTokens);
}

void
CheckRow(row_reference const& aReference,
         pool_row const& aRow,
         std::vector<config_fault>& aFaults)
{
  row_fault_collector faults{ aReference, aFaults };
  bool const hasModel = !aRow.mModel.IsEmpty();
  faults.CheckThat(
    hasModel == (aRow.mKind == pool_kind::Model),
    config_rule::Bounds,
    "model must be set in a model pool and empty in a service pool");
  faults.CheckFrom1To(kMaxCount, "max_outstanding", aRow.mMaxOutstanding);
  faults.CheckFrom1To(kMaxCount, "max_weight_loads", aRow.mMaxWeightLoads);
  CheckServers(aRow.mServers, faults);
}

void
CheckRow(row_reference const& aReference,
         key_row const& aRow,
         std::vector<config_fault>& aFaults)
{
  row_fault_collector faults{ aReference, aFaults };
  faults.CheckThat(aRow.mLabel.size() <= kMaxNameBytes,
                   config_rule::Bounds,
                   "label is longer than 128 bytes");
}

void
CheckRow(row_reference const& aReference,
         workspace_row const& aRow,
         std::vector<config_fault>& aFaults)
{
  row_fault_collector faults{ aReference, aFaults };
  faults.CheckFrom1To(kMaxTokens, "rate_tokens_per_s", aRow.mRate);
  faults.CheckFrom1To(kMaxTokens, "burst_tokens", aRow.mBurst);
  faults.CheckFrom1To(kMaxCount, "weight", aRow.mWeight);
}

}
