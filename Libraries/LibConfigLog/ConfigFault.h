#pragma once

#include <LibConfig/RowReference.h>
#include <LibConfigLog/ConfigRule.h>

#include <string>

namespace lycheeseam {

/// A rule that a proposal breaks, and the row that breaks it.
struct config_fault
{
  config_rule mRule = config_rule::DistinctChanges;
  /// The row at fault; its name is empty when the fault is in the proposal
  /// itself.
  row_reference mRow;
  /// What is wrong, for an operator.
  std::string mReason;

  bool operator==(config_fault const&) const = default;
};

}
