#include <LibCore/InvalidInput.h>
#include <LibPeer/DecodeFleetMessage.h>
#include <LibPeer/HelloCodec.h>
#include <LibPeer/RolloutCodec.h>

#include <chrono>
#include <cmath>
#include <utility>

namespace lycheeseam {

namespace {

store_topic
DecodeTopic(std::uint8_t aValue)
{
  if (aValue > static_cast<std::uint8_t>(store_topic::Software))
    throw invalid_input("topic relay: topic is not a known store topic");
  return static_cast<store_topic>(aValue);
}

report_scope
DecodeScope(wire::ReportScope aValue)
{
  if (aValue > wire::ReportScope::MAX)
    throw invalid_input("fleet report: scope is not a known report scope");
  return static_cast<report_scope>(aValue);
}

std::vector<workspace_usage>
DecodeUnits(
  flatbuffers::Vector<flatbuffers::Offset<wire::SpentUnits>> const& aTables)
{
  std::vector<workspace_usage> units;
  for (wire::SpentUnits const* const table : aTables)
    units.push_back({ .mWorkspace = workspace_id{ table->workspace()->str() },
                      .mUnits = table->units(),
                      .mDemand = table->asked() });
  return units;
}

limit_notice
DecodeLimit(wire::ServerLimit const& aTable)
{
  limit_notice notice{
    .mServer = { .mServer = backend_server_id{ aTable.server()->str() },
                 .mIncarnation = incarnation{ aTable.incarnation() } },
    .mAge = std::chrono::milliseconds{ aTable.age_ms() }
  };
  if (std::isfinite(aTable.requests_per_s()) && aTable.requests_per_s() >= 0)
    notice.mRequestsPerSecond = aTable.requests_per_s();
  return notice;
}

// Instances with an older schema don't send these.
void
DecodeSoftware(wire::FleetReport const& aTable, fleet_report& aReport)
{
  aReport.mIsSoftwareComplete = aTable.software_complete();
  aReport.mSpreadsRelays = aTable.spreads_relays();
  aReport.mServersEnd = store_position::FromNumber(aTable.servers_end());
  if (aTable.origins() != nullptr) {
    for (wire::StreamOrigins const* const table : *aTable.origins()) {
      software_version const software{ table->software()->str() };
      for (std::uint64_t const stream : *table->streams())
        aReport.mOrigins.push_back(
          { .mStream = stream, .mSoftware = software });
    }
  }
  if (aTable.software() != nullptr) {
    for (wire::PoolSoftware const* const table : *aTable.software())
      aReport.mSoftware.push_back(
        { .mSoftware = { .mPool = pool_name{ table->pool()->str() },
                         .mSoftware =
                           software_version{ table->software()->str() } },
          .mAge = std::chrono::milliseconds{ table->age_ms() } });
  }
}

// Instances with an older schema don't send these.
std::vector<load_notice>
DecodeLoads(flatbuffers::Vector<wire::ServerLoad const*> const* aStructs)
{
  std::vector<load_notice> notices;
  if (aStructs == nullptr)
    return notices;
  for (wire::ServerLoad const* const load : *aStructs) {
    if (load->slowdown_percent() == 0)
      continue;
    notices.push_back({ .mServer = load->server(),
                        .mRunning = load->running(),
                        .mWaiting = load->waiting(),
                        .mSlowdownPercent = load->slowdown_percent(),
                        .mAgeMs = load->age_ms() });
  }
  return notices;
}

part_crashes
DecodePartCrashes(wire::PartCrashes const& aTable)
{
  part_crashes evidence{ .mPart = aTable.part(),
                         .mClearances = aTable.clearances(),
                         .mCrashes = aTable.crashes() };
  if (aTable.common_parts() != nullptr)
    evidence.mCommonParts.assign(aTable.common_parts()->begin(),
                                 aTable.common_parts()->end());
  return evidence;
}

}

fleet_message
DecodeFleetMessage(wire::FleetReport const& aTable)
{
  fleet_report report{ .mScope = DecodeScope(aTable.scope()),
                       .mLease = aTable.lease(),
                       .mReader = instance_id{ aTable.reader()->str() },
                       .mOperatorsEnd =
                         store_position::FromNumber(aTable.operators_end()),
                       .mHasParent = aTable.has_parent() };
  report.mSpent = DecodeUnits(*aTable.spent());
  report.mUsed = DecodeUnits(*aTable.used());
  for (wire::CrashCount const* const crash : *aTable.crashes())
    report.mCrashes.push_back(
      { .mFingerprint = crash->fingerprint(), .mCount = crash->count() });
  for (wire::SeenWeights const* const observed : *aTable.weights())
    report.mWeights.push_back(
      { .mServer = backend_server_id{ observed->server()->str() },
        .mIncarnation = incarnation{ observed->incarnation() },
        .mModel = model_name{ observed->model()->str() },
        .mVersion = observed->version() });
  for (flatbuffers::String const* const server : *aTable.turning())
    report.mUpdating.emplace_back(server->str());
  for (wire::PrefixHolder const* const holder : *aTable.holders())
    report.mHolders.push_back(
      { .mKey = holder->key(),
        .mServer = backend_server_id{ holder->server()->str() },
        .mIsStored = holder->stored() });
  // Instances with an older schema don't send these.
  if (aTable.part_crashes() != nullptr) {
    for (wire::PartCrashes const* const evidence : *aTable.part_crashes())
      report.mPartCrashes.push_back(DecodePartCrashes(*evidence));
  }
  if (aTable.limits() != nullptr) {
    for (wire::ServerLimit const* const limit : *aTable.limits())
      report.mLimits.push_back(DecodeLimit(*limit));
  }
  DecodeSoftware(aTable, report);
  report.mLoads = DecodeLoads(aTable.loads());
  DecodeRollouts(aTable, report);
  return report;
}

fleet_message
DecodeFleetMessage(wire::TopicRelay const& aTable)
{
  topic_relay relay{ .mTopic = DecodeTopic(aTable.topic()),
                     .mIsSnapshot = aTable.whole(),
                     .mFrom = store_position::FromNumber(aTable.from()),
                     .mEnd = store_position::FromNumber(aTable.end()) };
  if (aTable.complete_from())
    relay.mCompleteFrom = store_position::FromNumber(*aTable.complete_from());
  for (wire::KeyedRecord const* const record : *aTable.records()) {
    keyed_record decoded{ .mPosition =
                            store_position::FromNumber(record->offset()),
                          .mKey = record->key()->str() };
    if (record->value() != nullptr)
      decoded.mValue.emplace(record->value()->begin(), record->value()->end());
    relay.mRecords.push_back(std::move(decoded));
  }
  return relay;
}

fleet_message
DecodeFleetMessage(wire::FleetRoster const& aTable)
{
  fleet_roster roster;
  roster.mEntries.reserve(aTable.entries()->size());
  for (wire::RosterEntry const* const entry : *aTable.entries())
    roster.mEntries.push_back({ .mHello = DecodeHello(*entry->hello()),
                                .mIsReady = entry->ready(),
                                .mIsLeaving = entry->leaving() });
  return roster;
}

}
