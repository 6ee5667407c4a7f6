#include <LibDispatch/StreamOrigins.h>
#include <LibFleet/SoftwareHistory.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
pool_software const kOld{ pool_name{ "p" }, software_version{ "v1" } };
pool_software const kNew{ pool_name{ "p" }, software_version{ "v2" } };

std::vector<registered_server>
Servers(std::initializer_list<pool_software> aSoftware)
{
  std::vector<registered_server> servers;
  for (pool_software const& software : aSoftware)
    servers.push_back(
      { .mPool = software.mPool, .mSoftware = software.mSoftware });
  return servers;
}

// Guards against a stream that goes on at the newer software because the last
// server of the older one is just gone.
TEST(TestSoftwareHistory, SoftwareStaysKnownAsLongAsItsStreamsMayBeResumed)
{
  software_history history{ kNow };
  history.OnServers(kNow, Servers({ kOld, kNew }));
  instant const gone = kNow + seconds{ 1 };
  history.OnServers(gone, Servers({ kNew }));
  EXPECT_EQ(history.List(gone).size(), 2U);
  instant const later = kNow + stream_origins::kLifetime + seconds{ 1 };
  history.OnServers(later, Servers({ kNew }));
  EXPECT_EQ(history.List(later), std::vector{ kNew });
}

// Two peers must not keep each other's knowledge of software that is gone.
TEST(TestSoftwareHistory, NoticesOfPeersKeepTheirAge)
{
  software_history history{ kNow };
  history.OnServers(kNow, Servers({ kOld }));
  instant const later = kNow + seconds{ 15 };
  software_history peer{ later };
  peer.Merge(later, history.Notices(later));
  EXPECT_EQ(peer.List(later), std::vector{ kOld });
  EXPECT_TRUE(peer.List(later + seconds{ 6 }).empty());
}

TEST(TestSoftwareHistory, IsCompleteOnceEarlierStreamsCannotBeResumed)
{
  software_history history{ kNow };
  EXPECT_FALSE(history.IsComplete(kNow + seconds{ 1 }));
  EXPECT_TRUE(
    history.IsComplete(kNow + stream_origins::kLifetime + seconds{ 1 }));
  history.SetComplete();
  EXPECT_TRUE(history.IsComplete(kNow));
}

}

}
