#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibLimits/SlotHolder.h>
#include <LibMembership/FreshnessVerdict.h>
#include <LibMembership/Member.h>
#include <LibRecords/SlotId.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lycheeseam {

/// An instance's status report for operators: its own state and the members and
/// slot holders that it knows.
struct instance_report
{
  instance_identity mSelf;
  /// The offset of the last log entry that this instance has applied.
  log_offset mApplied;
  /// The log's tail at the last read.
  log_offset mTail;
  freshness_verdict mFreshness = freshness_verdict::Partitioned;
  std::size_t mOpenCalls = 0;
  std::vector<member> mMembers;
  std::map<slot_id, slot_holder> mSlots;
};

/// Formats the report as JSON.
std::string
FormatReport(instance_report const& aReport);

}
