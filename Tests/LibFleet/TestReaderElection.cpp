#include <LibFleet/ReaderElection.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
constexpr store_position kOwnEnd{ store_era{}, 5 };
constexpr store_position kPeerEnd{ store_era{}, 6 };

// True when a read is due within a time in which a peer that is ahead and one
// that lags too report in turn.
bool
IsReadDueWithin(milliseconds aTime, store_position aOwnEnd)
{
  reader_election election;
  for (milliseconds at{}; at <= aTime; at += milliseconds{ 150 }) {
    election.OnPeerEnd(kNow + at, aOwnEnd, kPeerEnd);
    election.OnPeerEnd(kNow + at, aOwnEnd, kOwnEnd);
    if (election.IsDue(kNow + at, true))
      return true;
  }
  return false;
}

// Guards against a configuration that is in force seconds late: on hunted days
// of two sites an instance that had just started read it and passed it on to
// the one peer that it had. The others saw that peer ahead, but each report of
// another lagging peer made them take themselves for up to date.
TEST(TestReaderElection, LaggingInstanceReadsAlthoughOtherPeersLagToo)
{
  EXPECT_FALSE(IsReadDueWithin(milliseconds{ 150 }, kOwnEnd));
  EXPECT_TRUE(IsReadDueWithin(milliseconds{ 600 }, kOwnEnd));
}

TEST(TestReaderElection, InstanceThatIsUpToDateDoesNotRead)
{
  EXPECT_FALSE(IsReadDueWithin(seconds{ 5 }, kPeerEnd));
}

// A store whose reads lag doesn't give the records that a peer has.
TEST(TestReaderElection, ReadThatDoesNotCatchUpIsRepeatedAtIntervals)
{
  reader_election election;
  int reads = 0;
  for (milliseconds at{}; at < seconds{ 10 }; at += milliseconds{ 50 }) {
    election.OnPeerEnd(kNow + at, kOwnEnd, kPeerEnd);
    if (!election.IsDue(kNow + at, true))
      continue;
    election.OnReadStart(kNow + at);
    ++reads;
  }
  EXPECT_GE(reads, 5);
  EXPECT_LE(reads, 10);
}

}

}
