#include <LibEvents/EventLog.h>
#include <LibFleet/RelayLog.h>

#include <chrono>

namespace lycheeseam {

namespace {

constexpr std::chrono::seconds kInterval{ 1 };

}

void
relay_log::OnRelay(instant aNow, topic_relay const& aRelay, bool aWasNew)
{
  if (aNow - mWrittenAt >= kInterval)
    Write(aNow);
  if (aWasNew) {
    ++mNewRelays;
    return;
  }
  ++mKnownRelays;
  mKnownRecords += static_cast<std::int64_t>(aRelay.mRecords.size());
}

void
relay_log::Write(instant aNow)
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
