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

/// What an instance says of itself and of those that it knows.
struct instance_report
{
  instance_identity mSelf;
  /// The last entry of the log that is in force here.
  log_offset mApplied;
  /// The log's tail as last read.
  log_offset mTail;
  freshness_verdict mFreshness = freshness_verdict::Partitioned;
  std::size_t mOpenCalls = 0;
  std::vector<member> mMembers;
  std::map<slot_id, slot_holder> mSlots;
};

/// The report as JSON.
std::string
FormatReport(instance_report const& aReport);

}
