#include <LibPeer/EncodeFleetMessage.h>
#include <LibPeer/HelloCodec.h>
#include <LibPeer/RolloutCodec.h>

#include <map>
#include <string>
#include <vector>

namespace lycheeseam {

namespace {

// A rate that means that a server names no limit.
constexpr double kNoLimit = -1;

// Builds the table of each kind of message.
class fleet_encoder
{
  using units_vector = flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<wire::SpentUnits>>>;

public:
  explicit fleet_encoder(flatbuffers::FlatBufferBuilder& aBuilder)
    : mBuilder(aBuilder)
  {
  }

  encoded_body operator()(fleet_report const& aReport)
  {
    flatbuffers::Offset<flatbuffers::String> const reader =
      Text(aReport.mReader.Text());
    units_vector const spent = Units(aReport.mSpent);
    units_vector const used = Units(aReport.mUsed);
    std::vector<wire::CrashCount> crashes;
    for (crash_count const& crash : aReport.mCrashes)
      crashes.emplace_back(crash.mFingerprint, crash.mCount);
    std::vector<flatbuffers::Offset<wire::SeenWeights>> weights;
    for (observed_weights const& observed : aReport.mWeights)
      weights.push_back(wire::CreateSeenWeights(mBuilder,
                                                Text(observed.mServer.Text()),
                                                observed.mIncarnation.Value(),
                                                Text(observed.mModel.Text()),
                                                observed.mVersion));
    std::vector<flatbuffers::Offset<wire::ServerLimit>> limits;
    for (limit_notice const& notice : aReport.mLimits)
      limits.push_back(wire::CreateServerLimit(
        mBuilder,
        Text(notice.mServer.mServer.Text()),
        notice.mServer.mIncarnation.Value(),
        notice.mRequestsPerSecond.value_or(kNoLimit),
        static_cast<std::uint32_t>(notice.mAge.count())));
    std::vector<flatbuffers::Offset<flatbuffers::String>> updating;
    updating.reserve(aReport.mUpdating.size());
    for (backend_server_id const& server : aReport.mUpdating)
      updating.push_back(Text(server.Text()));
    std::vector<flatbuffers::Offset<wire::PrefixHolder>> holders;
    for (prefix_holder const& holder : aReport.mHolders)
      holders.push_back(wire::CreatePrefixHolder(
        mBuilder, holder.mKey, Text(holder.mServer.Text()), holder.mIsStored));
    std::vector<flatbuffers::Offset<wire::PartCrashes>> partCrashes;
    for (part_crashes const& evidence : aReport.mPartCrashes)
      partCrashes.push_back(
        wire::CreatePartCrashes(mBuilder,
                                evidence.mPart,
                                evidence.mClearances,
                                evidence.mCrashes,
                                mBuilder.CreateVector(evidence.mCommonParts)));
    return MakeBody(
      wire::Body::FleetReport,
      wire::CreateFleetReport(mBuilder,
                              static_cast<wire::ReportScope>(aReport.mScope),
                              aReport.mLease,
                              reader,
                              spent,
                              mBuilder.CreateVectorOfStructs(crashes),
                              mBuilder.CreateVector(weights),
                              mBuilder.CreateVector(updating),
                              mBuilder.CreateVector(holders),
                              used,
                              aReport.mOperatorsEnd.Number(),
                              mBuilder.CreateVector(partCrashes),
                              mBuilder.CreateVector(limits),
                              aReport.mHasParent,
                              Origins(aReport.mOrigins),
                              Software(aReport.mSoftware),
                              aReport.mIsSoftwareComplete,
                              Loads(aReport.mLoads),
                              aReport.mSpreadsRelays,
                              aReport.mServersEnd.Number(),
                              EncodeRollouts(mBuilder, aReport.mRollouts),
                              EncodeSamples(mBuilder, aReport.mRolloutSamples),
                              EncodeDrained(mBuilder, aReport.mDrained)));
  }

  encoded_body operator()(topic_relay const& aRelay)
  {
    std::vector<flatbuffers::Offset<wire::KeyedRecord>> records;
    for (keyed_record const& record : aRelay.mRecords)
      records.push_back(Record(record));
    return MakeBody(
      wire::Body::TopicRelay,
      wire::CreateTopicRelay(mBuilder,
                             static_cast<std::uint8_t>(aRelay.mTopic),
                             aRelay.mIsSnapshot,
                             aRelay.mFrom.Number(),
                             aRelay.mEnd.Number(),
                             mBuilder.CreateVector(records),
                             Number(aRelay.mCompleteFrom)));
  }

  encoded_body operator()(fleet_roster const& aRoster)
  {
    std::vector<flatbuffers::Offset<wire::RosterEntry>> entries;
    entries.reserve(aRoster.mEntries.size());
    for (roster_entry const& entry : aRoster.mEntries)
      entries.push_back(
        wire::CreateRosterEntry(mBuilder,
                                EncodeHello(mBuilder, entry.mHello),
                                entry.mIsReady,
                                entry.mIsLeaving));
    return MakeBody(
      wire::Body::FleetRoster,
      wire::CreateFleetRoster(mBuilder, mBuilder.CreateVector(entries)));
  }

private:
  static flatbuffers::Optional<std::uint64_t> Number(
    std::optional<store_position> const& aPosition)
  {
    return aPosition
             ? flatbuffers::Optional<std::uint64_t>{ aPosition->Number() }
             : flatbuffers::nullopt;
  }

  flatbuffers::Offset<flatbuffers::String> Text(std::string const& aText)
  {
    return mBuilder.CreateString(aText);
  }

  units_vector Units(std::vector<workspace_usage> const& aUnits)
  {
    std::vector<flatbuffers::Offset<wire::SpentUnits>> tables;
    tables.reserve(aUnits.size());
    for (workspace_usage const& units : aUnits)
      tables.push_back(wire::CreateSpentUnits(
        mBuilder, Text(units.mWorkspace.Text()), units.mUnits, units.mDemand));
    return mBuilder.CreateVector(tables);
  }

  flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<wire::StreamOrigins>>>
  Origins(std::vector<stream_origin> const& aOrigins)
  {
    std::map<software_version, std::vector<std::uint64_t>> streams;
    for (stream_origin const& origin : aOrigins)
      streams[origin.mSoftware].push_back(origin.mStream);
    std::vector<flatbuffers::Offset<wire::StreamOrigins>> tables;
    tables.reserve(streams.size());
    for (auto const& [software, keys] : streams)
      tables.push_back(wire::CreateStreamOrigins(
        mBuilder, Text(software.Text()), mBuilder.CreateVector(keys)));
    return mBuilder.CreateVector(tables);
  }

  flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<wire::PoolSoftware>>>
  Software(std::vector<software_notice> const& aNotices)
  {
    std::vector<flatbuffers::Offset<wire::PoolSoftware>> tables;
    tables.reserve(aNotices.size());
    for (software_notice const& notice : aNotices)
      tables.push_back(wire::CreatePoolSoftware(
        mBuilder,
        Text(notice.mSoftware.mPool.Text()),
        Text(notice.mSoftware.mSoftware.Text()),
        static_cast<std::uint32_t>(notice.mAge.count())));
    return mBuilder.CreateVector(tables);
  }

  // Nothing at all without loads, as in most deployments.
  flatbuffers::Offset<flatbuffers::Vector<wire::ServerLoad const*>> Loads(
    std::vector<load_notice> const& aNotices)
  {
    if (aNotices.empty())
      return {};
    std::vector<wire::ServerLoad> structs;
    structs.reserve(aNotices.size());
    for (load_notice const& notice : aNotices)
      structs.emplace_back(notice.mServer,
                           notice.mRunning,
                           notice.mWaiting,
                           notice.mSlowdownPercent,
                           notice.mAgeMs);
    return mBuilder.CreateVectorOfStructs(structs);
  }

  flatbuffers::Offset<wire::KeyedRecord> Record(keyed_record const& aRecord)
  {
    flatbuffers::Offset<flatbuffers::String> const key = Text(aRecord.mKey);
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> value;
    if (aRecord.mValue)
      value = mBuilder.CreateVector(
        reinterpret_cast<std::uint8_t const*>(aRecord.mValue->data()),
        aRecord.mValue->size());
    return wire::CreateKeyedRecord(
      mBuilder, aRecord.mPosition.Number(), key, value);
  }

  flatbuffers::FlatBufferBuilder& mBuilder;
};

}

encoded_body
EncodeFleetMessage(flatbuffers::FlatBufferBuilder& aBuilder,
                   fleet_message const& aMessage)
{
  return std::visit(fleet_encoder{ aBuilder }, aMessage);
}

}
