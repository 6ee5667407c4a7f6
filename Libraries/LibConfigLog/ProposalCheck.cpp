#include <LibConfig/ConfigTable.h>
#include <LibConfigLog/ConfigFold.h>
#include <LibConfigLog/ProposalCheck.h>
#include <LibConfigLog/ReferenceCheck.h>
#include <LibConfigLog/RowChanges.h>
#include <LibConfigLog/RowCheck.h>

#include <set>

namespace lycheeseam {

namespace {

config_fault
LastOffsetFault()
{
  return { .mRule = config_rule::LastOffset,
           .mReason = "the last offset lies more than " +
                      std::to_string(config_fold::kMaxLastOffsetLead) +
                      " beyond the proposal's own offset" };
}

void
CheckDistinct(std::span<any_row_change const> aChanges,
              std::vector<config_fault>& aFaults)
{
  std::set<row_reference> seen;
  for (any_row_change const& change : aChanges) {
    row_reference row = RowOf(change);
    if (!seen.insert(row).second)
      aFaults.push_back({ .mRule = config_rule::DistinctChanges,
                          .mRow = std::move(row),
                          .mReason = "the row is changed twice" });
  }
}

}

std::vector<config_fault>
CheckProposal(config_proposal const& aProposal, log_offset aOffset)
{
  std::vector<config_fault> faults;
  log_offset const last = aProposal.mOrigin.mLastOffset;
  if (last.Value() > aOffset.Value() + config_fold::kMaxLastOffsetLead)
    faults.push_back(LastOffsetFault());
  if (aProposal.mChanges.empty())
    faults.push_back({ .mRule = config_rule::DistinctChanges,
                       .mReason = "the proposal changes nothing" });
  CheckDistinct(aProposal.mChanges, faults);
  return faults;
}

std::vector<config_fault>
CheckChangedTables(config_tables const& aChanged,
                   std::span<any_row_change const> aChanges)
{
  std::vector<config_fault> faults;
  for (any_row_change const& change : aChanges) {
    row_reference const row = RowOf(change);
    auto const check = [&](auto const& aTyped) {
      CheckRowName(row, aTyped, faults);
      if (aTyped.mRow)
        CheckRow(row, *aTyped.mRow, faults);
    };
    std::visit(check, change);
  }
  CheckReferences(aChanged, aChanges, faults);
  return faults;
}

}
