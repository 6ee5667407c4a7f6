#include <LibEvents/EventLog.h>
#include <LibFleet/RelayFilter.h>

#include <chrono>

namespace lycheeseam {

namespace {

constexpr std::chrono::seconds kLogInterval{ 1 };

// Snapshots without anything new are for peers that missed a record. The
// elected reader takes one every 3 s.
constexpr std::chrono::seconds kSnapshotInterval{ 2 };

}

// After an outage of the store all instances read the same records. Whoever
// knows them already has passed them on, or got them from a peer that passes
// them on to the same instances.
bool
relay_filter::PassesOnRead(instant aNow, topic_relay const& aRelay, bool aIsNew)
{
  instant& snapshotAt = mSnapshotAt[aRelay.mTopic];
  bool const isSnapshotDue =
    aRelay.mIsSnapshot && aNow - snapshotAt >= kSnapshotInterval;
  if (!aIsNew && !isSnapshotDue)
    return false;
  if (aRelay.mIsSnapshot)
    snapshotAt = aNow;
  return true;
}

bool
relay_filter::PassesOnRelayed(instant aNow,
                              topic_relay const& aRelay,
                              bool aIsNew)
{
  Count(aNow, aRelay, aIsNew);
  return PassesOnRead(aNow, aRelay, aIsNew);
}

void
relay_filter::Count(instant aNow, topic_relay const& aRelay, bool aIsNew)
{
  if (aNow - mWrittenAt >= kLogInterval)
    Write(aNow);
  if (aIsNew) {
    ++mNewRelays;
    return;
  }
  ++mKnownRelays;
  mKnownRecords += static_cast<std::int64_t>(aRelay.mRecords.size());
}

void
relay_filter::Write(instant aNow)
{
  if (mKnownRelays > 0)
    LogEvent(
      "relays_repeated",
      { { "repeated", mKnownRelays },
        { "records", mKnownRecords },
        { "new", mNewRelays },
        { "since_ms",
          std::int64_t{ std::chrono::duration_cast<std::chrono::milliseconds>(
                          aNow - mWrittenAt)
                          .count() } } });
  mWrittenAt = aNow;
  mNewRelays = 0;
  mKnownRelays = 0;
  mKnownRecords = 0;
}

}
