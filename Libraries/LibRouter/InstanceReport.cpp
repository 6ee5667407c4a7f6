#include <LibRouter/InstanceReport.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

namespace {

using nlohmann::json;

char const*
NameOf(freshness_verdict aVerdict)
{
  switch (aVerdict) {
    case freshness_verdict::Confirmed:
      return "confirmed";
    case freshness_verdict::LogUnreachable:
      return "log_out";
    case freshness_verdict::Partitioned:
      return "cut_off";
  }
  return "cut_off";
}

json
FormatMember(member const& aMember)
{
  bool const isLive = aMember.mState == member_state::Live;
  return { { "id", aMember.mIdentity.mInstance.Text() },
           { "incarnation", aMember.mIdentity.mIncarnation.Value() },
           { "failure_domain", aMember.mFailureDomain.Text() },
           { "callers", aMember.mCallers.Text() },
           { "state", isLive ? "live" : "leaving" } };
}

}

std::string
FormatReport(instance_report const& aReport)
{
  json members = json::array();
  for (member const& one : aReport.mMembers)
    members.push_back(FormatMember(one));
  json slots = json::object();
  for (auto const& [slot, holder] : aReport.mSlots)
    slots[std::to_string(slot.Value())] = holder.mInstance.Text();
  json const body{
    { "id", aReport.mSelf.mInstance.Text() },
    { "incarnation", aReport.mSelf.mIncarnation.Value() },
    { "applied_offset", aReport.mApplied.Value() },
    { "tail_offset", aReport.mTail.Value() },
    { "freshness", NameOf(aReport.mFreshness) },
    { "open_calls", aReport.mOpenCalls },
    { "members", members },
    { "slots", slots },
  };
  return body.dump();
}

}
