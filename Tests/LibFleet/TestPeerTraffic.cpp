#include "SimulatedFleet.h"
#include "StoreFixture.h"
#include <LibFleet/RelayRange.h>
#include <LibFleet/ServerChanges.h>
#include <LibPeer/PeerCodec.h>

#include <map>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPoll{ 400 };
constexpr milliseconds kHeartbeat{ 1'200 };
constexpr int kPolls = 15;
constexpr int kPollsPerSnapshot = 7;

/// The servers' topic, in which each server writes an entry each 1.2 s.
class heartbeats
{
public:
  explicit heartbeats(int aServers)
    : mServers(aServers)
  {
  }

  /// The next part of the topic.
  topic_page Next(int aCount)
  {
    topic_page page;
    for (int index = 0; index < aCount; ++index, ++mWritten)
      page.mRecords.push_back(
        { .mPosition = { store_era{}, static_cast<std::uint64_t>(mWritten) },
          .mKey = "engine-" + std::to_string(mWritten % mServers),
          .mValue = Entry("ready", mWritten / mServers + 1) });
    page.mEnd = { store_era{}, static_cast<std::uint64_t>(mWritten) };
    return page;
  }

private:
  int mServers;
  int mWritten = 0;
};

/// Bytes a second.
struct traffic
{
  double mBusiest = 0;
  double mCrossing = 0;
};

/// Runs a fleet whose instance 7 reads the topic each 400 ms and all servers
/// each 3 s, and counts the bytes of all frames. As at 2e58af3, aIsOld relays
/// each record and each snapshot, and no root says that it spreads relays, so
/// that roots send to all roots.
traffic
Measure(int aInstances, int aServers, bool aIsOld)
{
  simulated_fleet fleet{ aInstances };
  fleet.SetSpreadingRelays(!aIsOld);
  fleet.Run(seconds{ 6 });

  fleet_records<platform::store_dialect> records;
  server_changes<platform::store_dialect> changes{ records.Servers() };
  topic_state state;
  relay_range range;
  heartbeats topic{ aServers };
  topic_page const first = topic.Next(aServers);
  records.Apply(fleet.Now(),
                store_topic::Servers,
                state.Apply(first, true),
                page_source::Store);
  range.OnSent(first.mEnd);
  fleet.Run(seconds{ 1 });

  std::map<instance_id, double> sent;
  double crossing = 0;
  fleet.Observe([&](peer_hello const& aFrom,
                    peer_hello const& aTo,
                    fleet_message const& aMessage) {
    double const bytes =
      static_cast<double>(EncodePeerMessage(aMessage)->size());
    sent[aFrom.mIdentity.mInstance] += bytes;
    if (aFrom.mFailureDomain != aTo.mFailureDomain)
      crossing += bytes;
  });
  simulated_fleet::member& reader = fleet.Member(7);
  for (int poll = 1; poll <= kPolls; ++poll) {
    topic_page page =
      topic.Next(static_cast<int>(aServers * kPoll / kHeartbeat));
    store_position const from = state.RecordsFrom({}).back().mPosition.Plus(1);
    std::vector<keyed_record> selected = changes.Select(page.mRecords, state);
    records.Apply(fleet.Now(),
                  store_topic::Servers,
                  state.Apply(page, false),
                  page_source::Store);
    topic_relay relay{ .mTopic = store_topic::Servers,
                       .mFrom = from,
                       .mEnd = page.mEnd,
                       .mRecords = std::move(page.mRecords) };
    if (!aIsOld)
      relay = *range.Make(
        fleet.Now(), relay.mTopic, from, relay.mEnd, std::move(selected));
    fleet.Read(reader, relay);
    if (aIsOld && poll % kPollsPerSnapshot == 0)
      fleet.Read(reader,
                 { .mTopic = store_topic::Servers,
                   .mIsSnapshot = true,
                   .mEnd = relay.mEnd,
                   .mRecords = state.Records() });
    fleet.Run(kPoll);
  }
  traffic measured;
  double const time = std::chrono::duration<double>(kPolls * kPoll).count();
  for (auto const& [id, bytes] : sent)
    measured.mBusiest = std::max(measured.mBusiest, bytes / time);
  measured.mCrossing = crossing / time;
  std::printf("%d instances, %d servers%s: busiest %.0f kB/s, between domains "
              "%.0f kB/s\n",
              aInstances,
              aServers,
              aIsOld ? ", relays as at 2e58af3" : "",
              measured.mBusiest / 1'000,
              measured.mCrossing / 1'000);
  return measured;
}

// Guards against links that fill as instances and servers become more.
TEST(TestPeerTraffic, BusiestInstanceSendsLittleInSteadyState)
{
  EXPECT_LT(Measure(300, 3'000, false).mBusiest, 500'000);
}

// Guards against bytes between failure domains, which are priced. The former
// figure is measured in the same run by relays and roots as at 2e58af3.
TEST(TestPeerTraffic, DomainsExchangeAQuarterOfTheFormerBytes)
{
  traffic const former = Measure(100, 1'000, true);
  EXPECT_LE(Measure(100, 1'000, false).mCrossing, former.mCrossing / 4);
}

}
}
